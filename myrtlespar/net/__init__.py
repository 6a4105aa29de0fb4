"""Everything that uses a socket: listeners for clients, clients of the upstream services, the admin server.

`net.codec` translates between bytes and messages. The modules here read and write the bytes, and report to the
request coordinator and the state machines, which decide.
"""
