"""The network between real processes under test, and its faults. For tests only: the server never imports it.

`faults` decides what happens to a packet (pure, shared with the simulation). `relay` is the one process that all links
of a fleet run through; it applies the faults in force, and knows nothing of what the bytes mean.
"""
