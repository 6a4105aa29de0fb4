"""Fleet-wide limits on rates, runs in flight and budgets.

A limit is divided into a guaranteed share for each member, used without any message, and a pool that the leader of
the key's shard grants to the members that request it. A leader has its shard by a lease: from a majority of the
voters, or from an engine (etcd). `LimitCoordinator` is one member's part in this protocol and the entry point of the
package; `AdmissionQueue` admits requests through it and queues those that find no capacity.

Guaranteed: a strict limit is never exceeded while each clock's rate error is within `drift`, whatever messages are
lost and whichever members are cut off or restarted; the bounds of other limits are the formulas of
`settings.GrantSettings`. Not guaranteed: that all of a limit is usable while members are cut off, or that queued
requests survive a restart.

The package is pure: callers pass in times and messages and carry out the effects that are returned; there is no I/O and
no clock here. Unix time is used only for the periods of budgets; each monotonic clock may run fast or slow by `drift`.
"""
