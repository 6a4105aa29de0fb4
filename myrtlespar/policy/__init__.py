"""The overload controller of one server: it decides which requests start, wait, are rejected or are failed.

`policy.Policy` takes batches of events and returns actions (`messages`); docs/design.md describes the mechanism and
the modules. Decisions depend only on the settings, the events and the times passed with them: the package does no I/O,
reads no clock and draws no random numbers. The one exception is `Policy.fleet`: if it is set, the policy calls it to
apply the limits of the whole fleet, and its results affect the decisions.

The package neither carries out its actions nor communicates with other servers or monitors them. It detects faults only
of this server's own runs (`fault_detection`) and of calls to the dependency (`circuit_breaker`).
"""
