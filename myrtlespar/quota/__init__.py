"""Limits that hold for the whole fleet: grants, shard leaders, guaranteed shares and budgets.

Pure: times and messages come in, effects go out. The wall clock is used only for the periods of budgets; each
monotonic clock may run fast or slow by `drift`.
"""
