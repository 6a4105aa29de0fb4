"""What every part runs on: clock, counters, log output, signals, supervision, tracing. Decides nothing."""
