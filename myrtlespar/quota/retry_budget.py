"""A budget of retries relative to first attempts, which prevents retries from prolonging an outage.

Each first attempt that is read earns `share` of a retry, up to `burst` of them. A rejection that invites the caller to
retry reserves one retry; a retry that arrives spends one, at whichever member it reaches. Callers choose members at
random, so what one member reserves another spends. No message is needed, and the bound holds under any cut:

    retries accepted by all members <= share x first attempts + burst x members
"""

from __future__ import annotations

from collections import deque

import msgspec

RETRY_PLEDGE_MS = 2000.0  # a caller that was invited to retry does so within this time
MAX_RETRIES_PER_ATTEMPT = 20
MAX_BURST = 100_000


class RetryBudgetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the budget. With a share of 0 no retry is accepted beyond the initial burst of a member."""

    share: float
    burst: int = 10

    def validation_error(self) -> str:
        """Why the settings are invalid, beginning with the key; empty if they are valid."""
        if not 0 <= self.share <= MAX_RETRIES_PER_ATTEMPT:
            return f"share: expected 0 to {MAX_RETRIES_PER_ATTEMPT} repeats a first try, got {self.share}"
        if not 1 <= self.burst <= MAX_BURST:
            return f"burst: expected 1 to {MAX_BURST}, got {self.burst}"
        return ""

    def max_retries(self, first_attempts: int, members: int) -> float:
        """Return the most retries that so many members accept after so many first attempts."""
        return self.share * first_attempts + self.burst * members


class RetryBudget:
    """One member's part of the budget. It starts with a full burst."""

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self.settings = settings
        self.remaining = float(settings.burst)
        self._pledges: deque[float] = deque()  # when each reserved retry expires, in monotonic milliseconds

    def record_attempt(self, is_retry: bool) -> bool:
        """Count an attempt that was read. Returns False for a retry that exceeds the budget."""
        if not is_retry:
            self.remaining = min(float(self.settings.burst), self.remaining + self.settings.share)
            return True
        if self.remaining < 1.0:
            return False
        self.remaining -= 1.0
        if self._pledges:
            self._pledges.popleft()
        return True

    def may_retry(self, now: float) -> bool:
        """Reserve a retry for a rejected caller. Returns False if the budget has none left to offer."""
        while self._pledges and self._pledges[0] <= now:
            self._pledges.popleft()
        if self.remaining - len(self._pledges) < 1.0:
            return False
        self._pledges.append(now + RETRY_PLEDGE_MS)
        return True
