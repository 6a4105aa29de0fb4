"""Limits that hold for the whole fleet: rates, runs in flight and budgets.

A limit is divided into a guaranteed share for each member, used without any message, and a pool that the leader of
the key's shard grants to the members that request it. A leader has its shard by a lease: from a majority of the
voters, or from an engine (etcd). `LimitCoordinator` is one member's part in all of this and the entry point;
`AdmissionQueue` admits requests through it and lets them wait for capacity.

Promised: a strict limit is never exceeded while each clock's error is within `drift`, whatever is lost, cut off or
restarted; the bounds of other limits are the formulas of `settings.GrantSettings`. Not promised: that all of a limit is
usable while members are cut off, or that waiting requests are kept over a restart.

Pure: times and messages come in, effects go out; there is no I/O and no clock here. Unix time is used only for the
periods of budgets; each monotonic clock may run fast or slow by `drift`.
"""
