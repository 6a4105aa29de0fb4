"""The explorer's world of three members: the real machines under every schedule with a bounded number of faults.

A run follows one default order (packets arrive after one hop, first sent first); a *fault* departs from it at any
step: a packet lost, doubled or held back, a member crashed and restarted (also with its clock set back), stopped,
gone, a member or a pair cut off, one way or both. All runs with at most so many faults are visited, each through to
the calm behind it. It says nothing of larger fleets, of more faults at a time, or of dice but the seeded ones.
"""
