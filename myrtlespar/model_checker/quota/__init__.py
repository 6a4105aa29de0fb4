"""Model checker of fleet limits: the real coordinators of three members under all schedules with few faults.

A run follows one default order of events; a fault departs from it at any step. All runs with at most a given number of
faults are explored, each until the whole limit must be in use again. The invariants are: no more is in use than the
limit and its maximum excess allow, a shard never has two leaders, the code raises no error, and the limit is in full
use again after the last fault. Larger fleets and more concurrent faults are not covered.

`explore` is the entry point, `plans` defines the runs, `world` the simulated state, and `fault_actions` the faults.
"""
