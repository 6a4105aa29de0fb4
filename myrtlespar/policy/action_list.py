"""The actions decided since the last batch of events, in their order."""

from __future__ import annotations

from myrtlespar.policy.messages import Action, Log
from myrtlespar.policy.policy_clock import PolicyClock

MAX_LOG_LINES = 150  # lines an instance may print in its life
BOUND_LOG_INTERVAL_MS = 5000.0  # a bound that stays hit is logged once in this time


class ActionList(list[Action]):
    """What the server is asked to do next; each part of the policy appends to it."""

    def __init__(self, clock: PolicyClock) -> None:
        super().__init__()
        self._clock = clock
        self._log_lines = 0
        self._bound_logged_at = float("-inf")

    def take(self) -> list[Action]:
        """Return the actions gathered so far and start over."""
        taken = list(self)
        self.clear()
        return taken

    def log(self, text: str) -> None:
        """Print a line for the on-call staff, unless too many were printed."""
        if self._log_lines < MAX_LOG_LINES:
            self._log_lines += 1
            self.append(Log(f"{self._clock.now:.0f} {text}"))

    def log_bound(self, name: str, requests: int, on_cores: int) -> None:
        """Say that a bound was hit, at most once in `BOUND_LOG_INTERVAL_MS`."""
        if self._clock.now >= self._bound_logged_at + BOUND_LOG_INTERVAL_MS:
            self._bound_logged_at = self._clock.now
            self.log(f"{name} bound hit: {requests} requests here, {on_cores} on the cores")
