"""Constants of the policy's exponentially weighted moving averages."""

from __future__ import annotations

SLOW_WEIGHT = 0.02  # weight of one observation in averages of long-term behaviour
FAST_WEIGHT = 0.15  # weight of one observation in averages of recent behaviour
MIN_OBSERVATIONS = 20  # observations (mostly runs of one class) from which on an average is relied on
