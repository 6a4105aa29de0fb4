"""Model checker of fleet limits: the real coordinators of three members under all schedules with few faults.

A run follows one default order of events; a fault departs from it at any step. All runs with at most so many faults are
explored, each until the whole limit must be in use again. Checked: never more in use than promised, never two leaders
of a shard, no error in the code, and full use after the last fault. Larger fleets and more faults at a time are not
covered.

`explore` is the entry point, `plans` says which runs, `world` is what is simulated, `fault_actions` are the faults.
"""
