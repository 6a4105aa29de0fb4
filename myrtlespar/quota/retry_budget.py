"""A retry budget relative to first attempts, which prevents retries from prolonging an outage.

Each first attempt received adds `share` of a retry to the budget, up to `burst` retries. A rejection that invites the
caller to retry reserves one retry; a retry that arrives spends one at the member that receives it. Callers choose
members at random, so a retry reserved at one member may be spent at another. Members exchange no messages about the
budget, so this bound holds under any network partition:

    retries accepted by all members <= share x first attempts + burst x members
"""

from __future__ import annotations

from collections import deque

import msgspec

RETRY_RESERVATION_MS = 2000.0  # a reservation expires after this time, within which an invited caller retries
MAX_RETRIES_PER_ATTEMPT = 20
MAX_BURST = 100_000


class RetryBudgetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the retry budget. With a share of 0, each member accepts no retry beyond its initial burst."""

    share: float
    burst: int = 10

    def validation_error(self) -> str:
        """Return why the settings are invalid, beginning with the key; empty if they are valid."""
        if not 0 <= self.share <= MAX_RETRIES_PER_ATTEMPT:
            return f"share: expected 0 to {MAX_RETRIES_PER_ATTEMPT} retries per first attempt, got {self.share}"
        if not 1 <= self.burst <= MAX_BURST:
            return f"burst: expected 1 to {MAX_BURST}, got {self.burst}"
        return ""

    def max_retries(self, first_attempts: int, members: int) -> float:
        """Return the greatest number of retries that `members` together accept after `first_attempts`."""
        return self.share * first_attempts + self.burst * members


class RetryBudget:
    """One member's retry budget. It starts with a full burst."""

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self.settings = settings
        self.remaining = float(settings.burst)
        self._reservations: deque[float] = deque()  # when each reserved retry expires, in monotonic milliseconds

    def record_attempt(self, is_retry: bool) -> bool:
        """Count an attempt that was received. Returns False for a retry that exceeds the budget."""
        if not is_retry:
            self.remaining = min(float(self.settings.burst), self.remaining + self.settings.share)
            return True
        if self.remaining < 1.0:
            return False
        self.remaining -= 1.0
        if self._reservations:
            self._reservations.popleft()
        return True

    def may_retry(self, now: float) -> bool:
        """Reserve a retry for a rejected caller. Returns False if no unreserved retry is left."""
        while self._reservations and self._reservations[0] <= now:
            self._reservations.popleft()
        if self.remaining - len(self._reservations) < 1.0:
            return False
        self._reservations.append(now + RETRY_RESERVATION_MS)
        return True
