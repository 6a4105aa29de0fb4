"""The actions that one batch of events has led to so far, in order, and the limits on log lines."""

from __future__ import annotations

from myrtlespar.policy.messages import Action, Log
from myrtlespar.policy.policy_clock import PolicyClock

MAX_LOG_LINES = 150  # lines that one server may log from its start to its end
BOUND_LOG_INTERVAL_MS = 5000.0  # a bound that stays hit is logged once in this time


class ActionList(list[Action]):
    """The actions that the server is to carry out next; each component of the policy appends its own."""

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
        """Add a log line for the on-call staff, up to `MAX_LOG_LINES`; further lines are dropped."""
        if self._log_lines < MAX_LOG_LINES:
            self._log_lines += 1
            self.append(Log(f"{self._clock.now:.0f} {text}"))

    def log_bound(self, name: str, requests: int, on_cores: int) -> None:
        """Log that a limit was reached, at most once in `BOUND_LOG_INTERVAL_MS` for all limits together.

        Args:
            name: Which limit: "memory", or "crowd" for the survivable concurrency.
            requests: Requests that this server has now.
            on_cores: Runs that are on its cores now.
        """
        if self._clock.now >= self._bound_logged_at + BOUND_LOG_INTERVAL_MS:
            self._bound_logged_at = self._clock.now
            self.log(f"{name} bound hit: {requests} requests here, {on_cores} on the cores")
