"""The network between real processes under test, and its faults.

`faults` says what happens to a packet (pure, shared with the simulation), `relay` is the one process that all links of
a fleet run through.
"""
