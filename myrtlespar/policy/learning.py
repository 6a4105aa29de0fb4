"""Weights of one observation in the moving averages of the policy, and how many observations are enough."""

from __future__ import annotations

SLOW_WEIGHT = 0.02  # of one observation in an average that changes slowly
FAST_WEIGHT = 0.15  # of one observation in an average that follows the present
SURE_RUNS = 20  # observations, mostly runs of one class, from which on an average is relied on
