"""Model checker of membership: the real code of three members under all schedules with a bounded number of faults.

A run follows one default order (packets arrive after one hop, first sent first). A *fault* departs from it at any
step: a packet lost, duplicated or delayed, a member crashed and restarted (also with its clock set back), stopped,
leaving, a member or a pair cut off, one way or both. All runs with at most so many faults are explored, each until
the network has been quiet for so long that all promises must hold. Larger fleets, more faults at a time and other
random numbers than the seeded ones are not covered.
"""
