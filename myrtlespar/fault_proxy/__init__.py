"""Network faults between real processes under test. For tests only: the server never imports this package.

`faults` decides what happens to a packet; it does no I/O and is shared with the simulation. `relay` is the process that
forwards all traffic of a fleet and applies the faults in force, without parsing the bytes.
"""
