"""The clock of the policy. It is set by the caller: the policy itself reads no clock."""

from __future__ import annotations

import math

MAX_TICK_MS = 50.0  # between housekeeping ticks; at most half the answer slack, so that no deadline is missed
STALL_TICKS = 2.0  # a longer time without events, in ticks, is taken for a stall of the whole process


class PolicyClock:
    """The current time, and stalls of the process.

    Attributes:
        now: The latest time passed to `advance`, in ms. It never goes back.
        previous: What `now` was at the previous batch of events.
        started_at: Time of the first batch of events; -1 before it.
        resumed_at: End of the latest stall of the process; minus infinity before the first.
        longest_stall_ms: The longest time between two batches, less one tick.
        tick_ms: Time between housekeeping ticks.
        max_step_ms: A longer time between two batches is taken for a stall of the process.
    """

    def __init__(self, answer_slack_ms: float) -> None:
        self.tick_ms = min(MAX_TICK_MS, max(1.0, answer_slack_ms / 2))
        self.now = -1.0
        self.previous = 0.0
        self.started_at = -1.0
        self.resumed_at = -math.inf
        self.longest_stall_ms = 0.0
        self.max_step_ms = STALL_TICKS * self.tick_ms

    def start(self, now: float) -> None:
        """Start the clock at `now`, in ms."""
        self.started_at = now
        self.now = now
        self.previous = now

    def advance(self, now: float) -> float:
        """Advance to `now` and return the ms that have passed; 0 if the caller's clock went back."""
        step_ms = max(0.0, now - self.now)
        self.previous = self.now
        self.now = max(now, self.now)
        self.longest_stall_ms = max(self.longest_stall_ms, step_ms - self.tick_ms)
        if step_ms > self.max_step_ms:
            self.resumed_at = now
        return step_ms
