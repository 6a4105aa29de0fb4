"""Counters of the use of an allowance: starts in a sliding window, and runs in flight.

Times are the caller's monotonic milliseconds.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

STEPS_PER_WINDOW = 256  # starts within one step of a window share one entry


@dataclass(slots=True)
class WindowStep:
    """Starts that share one entry of a window."""

    first_at: float
    latest_at: float
    count: int


class UsageWindow:
    """Counts the starts within the last `span_ms`.

    All starts of one step expire with the latest of them, so that none expires early.
    """

    __slots__ = ("_step_ms", "count", "span_ms", "steps")

    def __init__(self, span_ms: float) -> None:
        self.span_ms = span_ms
        self._step_ms = span_ms / STEPS_PER_WINDOW
        self.steps: deque[WindowStep] = deque()
        self.count = 0

    def in_use(self, now: float) -> int:
        """Return the number of starts in the window that ends now."""
        steps = self.steps
        window_start = now - self.span_ms
        while steps and steps[0].latest_at <= window_start:
            self.count -= steps.popleft().count
        return self.count

    def record(self, now: float, starts: int = 1) -> None:
        """Count a number of starts at the current time."""
        if self.steps and now - self.steps[-1].first_at < self._step_ms:
            step = self.steps[-1]
            step.latest_at = max(step.latest_at, now)
            step.count += starts
        else:
            self.steps.append(WindowStep(now, now, starts))
        self.count += starts

    def give_back(self, recorded_at: float) -> None:
        """Remove one start recorded at `recorded_at`, as it did not take place."""
        for step in reversed(self.steps):
            if step.first_at <= recorded_at <= step.latest_at and step.count:
                step.count -= 1
                self.count -= 1
                return

    def available_at(self, now: float, allowance: int, ahead: int = 0) -> float:
        """Return when one more request may start behind `ahead` queued ones, if those start as soon as they can.

        The result is infinity without an allowance.
        """
        if allowance <= 0:
            return float("inf")
        must_expire = self.in_use(now) + ahead - allowance + 1
        if must_expire <= 0:
            return now
        full_windows = max(0, -((self.count - must_expire) // allowance)) if must_expire > self.count else 0
        must_expire -= full_windows * allowance  # each full window uses up the whole allowance once
        expired = 0
        available_at = now
        for step in self.steps:
            expired += step.count
            available_at = step.latest_at + self.span_ms
            if expired >= must_expire:
                break
        return available_at + full_windows * self.span_ms


class ConcurrencyCounter:
    """Counts the runs in flight."""

    __slots__ = ("count",)

    def __init__(self) -> None:
        self.count = 0

    def in_use(self, now: float) -> int:
        """Return the number of runs in flight."""
        return self.count

    def record(self, now: float, starts: int = 1) -> None:
        """Count more runs; the end of each is counted by `release`."""
        self.count += starts

    def release(self) -> None:
        """Count the end of one run."""
        self.count -= 1

    def give_back(self, recorded_at: float) -> None:
        """Remove one run, as it did not take place."""
        if self.count > 0:
            self.count -= 1

    def available_at(self, now: float, allowance: int, ahead: int = 0) -> float:
        """Return `now` if there is capacity, otherwise infinity, as the end of a run can't be predicted."""
        return now if self.count + ahead < allowance else float("inf")
