"""Explores the machines of `myrtlespar.state_machines` in every order of events that a small world can bring.

The world drives the very classes that the server runs on; kernel, store, clients and policy around them do whatever
the protocol allows them. Loaded by `myrtlespar check` only.
"""
