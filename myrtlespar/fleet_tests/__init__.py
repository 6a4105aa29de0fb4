"""Tests of a complete fleet on loopback.

`script` reads fault scripts, `process_launcher` starts real processes and carries out what a script says,
`load_generator` sends requests, `ground_truth` says what was true when, and `invariants` and `limit_invariants` check
the promises against it. `runner` puts these together.
"""
