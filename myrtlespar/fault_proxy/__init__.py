"""The network between real processes and its faults: `faults` says what becomes of a packet (pure, shared with the
emulator), `relay` is the one process that all links of a fleet run through.
"""
