"""Weights of one observation in the moving averages of the policy, and how many observations make a sure one."""

from __future__ import annotations

SLOW_WEIGHT = 0.02  # of one observation in a long-term average
FAST_WEIGHT = 0.15  # of one observation in a present value
SURE_RUNS = 20  # runs of a class before its figures are trusted to tell a slow or hanging server
