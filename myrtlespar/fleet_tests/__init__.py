"""A whole fleet on loopback: the fault script (`script`), what was true (`truth`), the judge (`judge`), and the
starter of real processes with their neighbours and load.
"""
