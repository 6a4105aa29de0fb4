"""Detection of lost runs: runs that the execution engine no longer has, although their end was never reported.

The report of an end can be lost for good, after an unnoticed restart of the engine or when the engine has discarded
it. Such a run would occupy capacity for ever, and with enough of them no request could start. The engine's gauge counts
at least every run on its cores, so runs that are tracked here in excess of the gauge for a whole window are lost.
"""

from __future__ import annotations

import math


class LostRunDetector:
    """Compares the number of tracked runs with the engine's gauge at each check. Times are Unix milliseconds."""

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._surplus_since = math.inf  # when the present surplus began
        self._min_surplus = 0.0  # the smallest surplus since then

    def count_lost(self, now: float, counted: int, gauge: float | None) -> int:
        """Return how many runs are lost: the smallest surplus in a window in which every check found a surplus.

        `counted` is the number of tracked runs. `gauge` is None if there is no fresh value, which ends the window.
        """
        surplus = 0.0 if gauge is None else counted - gauge
        if surplus < 1.0:
            self._surplus_since = math.inf
            return 0
        if math.isinf(self._surplus_since):
            self._surplus_since = now
            self._min_surplus = surplus
        self._min_surplus = min(self._min_surplus, surplus)
        if now - self._surplus_since < self._window_ms:
            return 0
        self._surplus_since = math.inf
        return int(self._min_surplus)
