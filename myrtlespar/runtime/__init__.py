"""Services that the other packages use: clocks, counters, log output, signals, supervision, tracing.

No module here knows of requests, settings or the wire. `tracing` alone imports from the project's other packages: the
state machines whose steps it logs.
"""
