"""Model checker of membership: the real code of three members under all schedules with a bounded number of faults.

A run follows one default order: each packet arrives after `HOP_MS`, in the order of sending. A *fault* departs from it
at any step: a packet is lost, duplicated or delayed; a member crashes and restarts (also with its clock set back), is
stopped or leaves; a member or a pair is cut off in one or both directions. All runs with at most a given number of
faults are explored, each until the last fault is so long ago that all invariants must hold. Larger fleets, more
concurrent faults and other random numbers than the seeded ones are not covered.
"""
