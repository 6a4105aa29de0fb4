"""Counters of the usage of an allowance: starts in a sliding window, and runs in flight.

Times are the caller's monotonic milliseconds.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

STEPS_PER_WINDOW = 256  # starts within one step of a window are counted together, as of the latest of them


@dataclass(slots=True)
class WindowStep:
    """Starts that are counted together."""

    first_at: float
    latest_at: float
    count: int


class UsageWindow:
    """Starts within the last `span_ms`.

    Starts within one step count as of the latest of them, so that none is forgotten early.
    """

    __slots__ = ("_step_ms", "count", "span_ms", "steps")

    def __init__(self, span_ms: float) -> None:
        self.span_ms = span_ms
        self._step_ms = span_ms / STEPS_PER_WINDOW
        self.steps: deque[WindowStep] = deque()
        self.count = 0

    def in_use(self, now: float) -> int:
        """Return the starts in the window that ends now."""
        steps = self.steps
        window_start = now - self.span_ms
        while steps and steps[0].latest_at <= window_start:
            self.count -= steps.popleft().count
        return self.count

    def record(self, now: float, starts: int = 1) -> None:
        """Count so many starts as of now."""
        if self.steps and now - self.steps[-1].first_at < self._step_ms:
            step = self.steps[-1]
            step.latest_at = max(step.latest_at, now)
            step.count += starts
        else:
            self.steps.append(WindowStep(now, now, starts))
        self.count += starts

    def give_back(self, recorded_at: float) -> None:
        """Count one start less that was recorded at that time, as it did not take place."""
        for step in reversed(self.steps):
            if step.first_at <= recorded_at <= step.latest_at and step.count:
                step.count -= 1
                self.count -= 1
                return

    def available_at(self, now: float, allowance: int, ahead: int = 0) -> float:
        """Return when one more may start behind `ahead` waiting ones, if those start as soon as they can.

        The result is infinite without an allowance.
        """
        if allowance <= 0:
            return float("inf")
        must_expire = self.in_use(now) + ahead - allowance + 1
        if must_expire <= 0:
            return now
        full_windows = max(0, -((self.count - must_expire) // allowance)) if must_expire > self.count else 0
        must_expire -= full_windows * allowance  # those ahead use up the allowance so many times
        expired = 0
        available_at = now
        for step in self.steps:
            expired += step.count
            available_at = step.latest_at + self.span_ms
            if expired >= must_expire:
                break
        return available_at + full_windows * self.span_ms


class ConcurrencyCounter:
    """Runs in flight."""

    __slots__ = ("count",)

    def __init__(self) -> None:
        self.count = 0

    def in_use(self, now: float) -> int:
        """Return the runs in flight."""
        return self.count

    def record(self, now: float, starts: int = 1) -> None:
        """Count so many more runs; each ends by `release`."""
        self.count += starts

    def release(self) -> None:
        """Count the end of one run."""
        self.count -= 1

    def give_back(self, recorded_at: float) -> None:
        """Count one run less, as it did not take place."""
        if self.count > 0:
            self.count -= 1

    def available_at(self, now: float, allowance: int, ahead: int = 0) -> float:
        """Return `now` if there is capacity, otherwise infinity, as the end of a run is not known."""
        return now if self.count + ahead < allowance else float("inf")
