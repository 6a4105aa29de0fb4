"""Services that the other packages use: clocks, counters, log output, signals, supervision, tracing.

No module here depends on requests, settings or wire formats. Only `tracing` imports another package of the project: the
state machines, whose transitions it logs.
"""
