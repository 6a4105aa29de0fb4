"""Discrete-event simulation of a fleet in virtual time.

Runs the server's own membership and limit modules, which do no I/O, on a simulated network, from the same fault scripts
as the tests with real processes. The same script and seed give the same run.

Delay, loss, cuts, pauses and crashes are modelled; processor time is not. Bytes are counted only for messages between
members, as encoded by the server's codec.
"""
