"""Deadlines of a graceful shutdown: until when arrivals still run, and when all answers are due."""

from __future__ import annotations

from myrtlespar.policy.policy_clock import PolicyClock
from myrtlespar.policy.settings import Settings

MARGIN_TICKS = 3  # ticks before the end of the process by which all answers are due


class DrainDeadline:
    """When this server began to drain and when its answers are due, both infinity until it drains."""

    def __init__(self, settings: Settings, clock: PolicyClock) -> None:
        self._clock = clock
        self._grace_ms = settings.drain_grace_ms
        self._round_ms = settings.round_ms
        self.drain_at = float("inf")
        self.answers_due_at = float("inf")

    def start(self, kill_at: float) -> None:
        """Drain before `kill_at`; a second notice moves nothing later.

        A process may have stood still: the notice is taken for as old as the last moment seen awake, and
        answers are due before a standstill as long as the longest so far could cover the kill.
        """
        clock = self._clock
        self.drain_at = min(self.drain_at, clock.previous)
        standstill_ms = min(clock.longest_standstill_ms, max(0.0, kill_at - clock.now) / 2)
        margin_ms = MARGIN_TICKS * clock.tick_ms + standstill_ms
        self.answers_due_at = min(self.answers_due_at, kill_at - margin_ms)

    def is_draining(self) -> bool:
        """Whether the notice to drain has come."""
        return self.drain_at <= self._clock.now

    def came_too_late(self, arrived: float) -> bool:
        """Whether a request arrived past the grace after the notice, so that it must not run."""
        return arrived > self.drain_at + self._grace_ms - self._round_ms
