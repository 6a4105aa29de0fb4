"""Benchmarks and long randomized tests; each module is a command, `python -m benchmarks.NAME`."""
