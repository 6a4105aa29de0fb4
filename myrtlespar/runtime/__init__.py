"""Services that every other package uses: clocks, counters, log output, signals, supervision, tracing."""
