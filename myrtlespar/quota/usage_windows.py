"""Meters: how much of an allowance is in use now. Times are the caller's monotonic milliseconds."""

from __future__ import annotations

from collections import deque

SLOTS = 256  # a window is counted in steps of this part of it, on the safe side


class UsageWindow:
    """Starts within the last `span_ms`. Starts that come within one step count as of the latest of them, so that
    none is forgotten early.
    """

    __slots__ = ("_step", "count", "rows", "span_ms")

    def __init__(self, span_ms: float) -> None:
        self.span_ms, self._step = span_ms, span_ms / SLOTS
        self.rows: deque[list[float]] = deque()  # first, latest, how many
        self.count = 0

    def look(self, now: float) -> int:
        """How many, now."""
        rows, end = self.rows, now - self.span_ms
        while rows and rows[0][1] <= end:
            self.count -= int(rows.popleft()[2])
        return self.count

    def add(self, now: float, many: int = 1) -> None:
        """So many more."""
        if self.rows and now - self.rows[-1][0] < self._step:
            row = self.rows[-1]
            row[1] = max(row[1], now)
            row[2] += many
        else:
            self.rows.append([now, now, many])
        self.count += many

    def room_at(self, now: float, allowance: int, ahead: int = 0) -> float:
        """When there is room for one more behind so many that wait, if all of them start as soon as they can;
        infinity with no allowance.
        """
        if allowance <= 0:
            return float("inf")
        need = self.look(now) + ahead - allowance + 1  # that have to fade first
        if need <= 0:
            return now
        rounds = max(0, -((self.count - need) // allowance)) if need > self.count else 0
        need -= rounds * allowance  # those ahead fill the allowance so many times over
        gone, at = 0.0, now
        for _, latest, many in self.rows:
            gone += many
            at = latest + self.span_ms
            if gone >= need:
                break
        return at + rounds * self.span_ms


class ConcurrencyCounter:
    """Runs in hand."""

    __slots__ = ("count",)

    def __init__(self) -> None:
        self.count = 0

    def look(self, now: float) -> int:
        """How many, now."""
        return self.count

    def add(self, now: float, many: int = 1) -> None:
        """So many more; they end by `drop`."""
        self.count += many

    def drop(self) -> None:
        """One has ended."""
        self.count -= 1

    def room_at(self, now: float, allowance: int, ahead: int = 0) -> float:
        """Now, or unknown: the time a run takes is not ours."""
        return now if self.count + ahead < allowance else float("inf")
