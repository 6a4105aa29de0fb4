"""The time as the caller of the policy passes it; the policy reads no clock."""

from __future__ import annotations

import math

MAX_TICK_MS = 50.0  # between housekeeping ticks; also at most half the answer slack, so no due time is missed
STANDSTILL_TICKS = 2.0  # ticks without an event, after which the whole process is taken to have stood still


class PolicyClock:
    """The present moment, and how long the process has stood still.

    Attributes:
        now: The latest time passed, in ms. It never goes back.
        previous: What `now` was at the previous batch of events.
        started_at: Time of the first batch; -1 before it.
        resumed_at: End of the latest standstill of the process; minus infinity before the first.
        longest_standstill_ms: The longest time between two batches, less one tick.
        tick_ms: Time between housekeeping ticks.
        max_step_ms: A longer time between two batches is taken for a standstill of the process.
    """

    def __init__(self, answer_slack_ms: float) -> None:
        self.tick_ms = min(MAX_TICK_MS, max(1.0, answer_slack_ms / 2))
        self.now = -1.0
        self.previous = 0.0
        self.started_at = -1.0
        self.resumed_at = -math.inf
        self.longest_standstill_ms = 0.0
        self.max_step_ms = STANDSTILL_TICKS * self.tick_ms

    def start(self, now: float) -> None:
        """Begin at `now`."""
        self.started_at = now
        self.now = now
        self.previous = now

    def advance(self, now: float) -> float:
        """Move to `now` and return the ms that have passed, 0 if the clock went back."""
        step_ms = max(0.0, now - self.now)
        self.previous = self.now
        self.now = max(now, self.now)
        self.longest_standstill_ms = max(self.longest_standstill_ms, step_ms - self.tick_ms)
        if step_ms > self.max_step_ms:
            self.resumed_at = now
        return step_ms
