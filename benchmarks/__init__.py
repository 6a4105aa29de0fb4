"""Measurements and long searches, each a command: `python -m benchmarks.NAME`."""
