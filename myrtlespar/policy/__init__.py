"""The overload controller of one server: it decides which requests start, wait, are rejected or are failed.

`policy.Policy` takes batches of events and returns actions (`messages`); docs/design.md describes the mechanism and
which module does what. The package promises that decisions follow from the settings, the events and the times passed
with them alone: it does no I/O, reads no clock and draws no random numbers. The one exception is `Policy.fleet`: if it
is set, it is called for the limits of the whole fleet, and its answers take part in the decisions.

It does not carry out its actions, talk to other servers or judge whether they are alive: its notion of a fault
(`fault_detection`) is of this server's own runs, and of the dependency's calls (`circuit_breaker`).
"""
