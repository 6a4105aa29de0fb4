"""Runs that the kernel no longer has, told from its own gauge of what wants a core.

The end of a run can be lost for good: with a kernel that started anew unseen, or with notices that it keeps no
longer. Such a run would hold its place for ever, and with enough of them nothing would start again. The gauge counts
every run on the cores and more (reading, checks), so that runs counted here above it, over a whole window, are gone.
"""

from __future__ import annotations

import math


class LostRunDetector:
    """Compares the runs counted here with the gauge, look by look. Times in milliseconds."""

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._since = math.inf  # when the present surplus began
        self._least = 0.0  # the smallest surplus since then

    def count_lost(self, now: float, counted: int, gauge: float | None) -> int:
        """How many of the runs counted are surely gone; `gauge` is None where there is no fresh one."""
        surplus = 0.0 if gauge is None else counted - gauge
        if surplus < 1.0:
            self._since = math.inf
            return 0
        if math.isinf(self._since):
            self._since, self._least = now, surplus
        self._least = min(self._least, surplus)
        if now - self._since < self._window_ms:
            return 0
        self._since = math.inf
        return int(self._least)
