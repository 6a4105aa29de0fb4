"""Limits that hold for the whole fleet: grants, keepers, standing shares. Pure: times and messages come in, what to
tell whom goes out; the wall clock is not used, each clock may run fast or slow by `drift`.
"""
