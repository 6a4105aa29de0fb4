"""The actions that result from one batch of events, and the rate limits on log lines."""

from __future__ import annotations

from myrtlespar.policy.messages import Action, Log
from myrtlespar.policy.policy_clock import PolicyClock

MAX_LOG_LINES = 150  # lines that one server may log in its lifetime
LIMIT_LOG_INTERVAL_MS = 5000.0  # shortest time between two log lines about a limit


class ActionList(list[Action]):
    """The actions that the server must carry out next; each component of the policy appends its own."""

    def __init__(self, clock: PolicyClock) -> None:
        super().__init__()
        self._clock = clock
        self._log_lines = 0
        self._limit_logged_at = float("-inf")

    def take(self) -> list[Action]:
        """Return the collected actions and clear the list."""
        taken = list(self)
        self.clear()
        return taken

    def log(self, text: str) -> None:
        """Add a log line for the operator; after `MAX_LOG_LINES` lines, further ones are dropped."""
        if self._log_lines < MAX_LOG_LINES:
            self._log_lines += 1
            self.append(Log(f"{self._clock.now:.0f} {text}"))

    def log_limit_reached(self, name: str, requests: int, on_cores: int) -> None:
        """Log that a limit was reached, at most once in `LIMIT_LOG_INTERVAL_MS` for all limits together.

        Args:
            name: The limit as named in the log: "memory", or "crowd" for the concurrency that the server can sustain.
            requests: Number of requests in the request table.
            on_cores: Number of runs on the cores.
        """
        if self._clock.now >= self._limit_logged_at + LIMIT_LOG_INTERVAL_MS:
            self._limit_logged_at = self._clock.now
            self.log(f"{name} bound hit: {requests} requests held, {on_cores} on the cores")
