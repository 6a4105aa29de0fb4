"""Deadlines of a graceful shutdown: until when arrivals still run, and when all answers are due."""

from __future__ import annotations

from myrtlespar.policy.policy_clock import PolicyClock
from myrtlespar.policy.settings import Settings

MARGIN_TICKS = 3  # all answers are due at least this many ticks before the process is killed


class DrainDeadline:
    """When draining started and when all answers are due, in ms on the policy's clock.

    Attributes:
        drain_at: When the `Drain` event may have happened at the earliest; infinity before it.
        answers_due_at: When every answer must have been sent; infinity before the `Drain` event.
    """

    def __init__(self, settings: Settings, clock: PolicyClock) -> None:
        self._clock = clock
        self._grace_ms = settings.drain_grace_ms
        self._round_ms = settings.round_ms
        self.drain_at = float("inf")
        self.answers_due_at = float("inf")

    def start(self, kill_at: float) -> None:
        """Start draining, as the process will be killed at `kill_at`; a repeated call never postpones a deadline.

        The process may stall at times. The `Drain` event may therefore be as old as the previous batch of events. The
        answers are due early enough that a stall as long as the longest so far, just before the kill, would not prevent
        them; the margin for the stall is at most half of the time left.
        """
        clock = self._clock
        self.drain_at = min(self.drain_at, clock.previous)
        stall_ms = min(clock.longest_stall_ms, max(0.0, kill_at - clock.now) / 2)
        margin_ms = MARGIN_TICKS * clock.tick_ms + stall_ms
        self.answers_due_at = min(self.answers_due_at, kill_at - margin_ms)

    def is_draining(self) -> bool:
        """Return whether the server is draining."""
        return self.drain_at <= self._clock.now

    def arrived_after_grace(self, arrived: float) -> bool:
        """Return whether a request arrived after the grace period of the drain, so that it must not run."""
        return arrived > self.drain_at + self._grace_ms - self._round_ms
