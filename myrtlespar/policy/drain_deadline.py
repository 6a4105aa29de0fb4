"""Deadlines of a graceful shutdown: until when arrivals still run, and when all answers are due."""

from __future__ import annotations

from myrtlespar.policy.policy_clock import PolicyClock
from myrtlespar.policy.settings import Settings

MARGIN_TICKS = 3  # ticks before the end of the process by which all answers are due


class DrainDeadline:
    """When this server got the notice to drain and when its answers are due, in ms on the policy's clock.

    Attributes:
        drain_at: When the notice to drain came; infinity before.
        answers_due_at: When every answer must have been sent; infinity before the notice.
    """

    def __init__(self, settings: Settings, clock: PolicyClock) -> None:
        self._clock = clock
        self._grace_ms = settings.drain_grace_ms
        self._round_ms = settings.round_ms
        self.drain_at = float("inf")
        self.answers_due_at = float("inf")

    def start(self, kill_at: float) -> None:
        """Begin to drain, as the process is killed at `kill_at`; a later notice never moves a time back.

        The process may stand still at times. The notice may therefore be as old as the previous batch of events,
        and answers are due early enough that a standstill as long as the longest so far would not cover the kill,
        but at most half of the time left earlier.
        """
        clock = self._clock
        self.drain_at = min(self.drain_at, clock.previous)
        standstill_ms = min(clock.longest_standstill_ms, max(0.0, kill_at - clock.now) / 2)
        margin_ms = MARGIN_TICKS * clock.tick_ms + standstill_ms
        self.answers_due_at = min(self.answers_due_at, kill_at - margin_ms)

    def is_draining(self) -> bool:
        """Return whether the notice to drain has come."""
        return self.drain_at <= self._clock.now

    def came_too_late(self, arrived: float) -> bool:
        """Return whether a request arrived after the grace period that follows the notice, so that it must not run."""
        return arrived > self.drain_at + self._grace_ms - self._round_ms
