"""A budget of repeats against first tries, so that a bad morning is not fed by its own repeats.

Each first try that is read earns `share` of a repeat, up to `burst` of them. A refusal that leaves the caller free to
try again pledges one; a repeat that arrives spends one, here or at whichever member it reaches. Callers go to members
by chance, so what one pledges another spends; no message is needed, and the bound holds under any cut:

    repeats that are taken, over all members <= share x first tries + burst x members
"""

from __future__ import annotations

from collections import deque

import msgspec

PLEDGE_MS = 2000.0  # within which a caller that was told to try again does so


class RetryBudgetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The budget. A share of 0 lets in no repeat beyond the burst that a member starts with."""

    share: float
    burst: int = 10

    def fault(self) -> str:
        """Key and why, where it makes no sense; empty otherwise."""
        if not 0 <= self.share <= 20:
            return f"share: expected 0 to 20 repeats a first try, got {self.share}"
        if not 1 <= self.burst <= 100_000:
            return f"burst: expected 1 to 100000, got {self.burst}"
        return ""

    def most(self, first: int, members: int) -> float:
        """Promise: no more repeats are taken by so many members that read so many first tries."""
        return self.share * first + self.burst * members


class RetryBudget:
    """One member's part. Starts with a whole burst."""

    def __init__(self, terms: RetryBudgetSettings) -> None:
        self.settings, self.remaining = terms, float(terms.burst)
        self._pledged: deque[float] = deque()  # when each lapses

    def record_attempt(self, again: bool) -> bool:
        """A try was read. False: it is a repeat that there is no budget for."""
        if not again:
            self.remaining = min(float(self.settings.burst), self.remaining + self.settings.share)
            return True
        if self.remaining < 1.0:
            return False
        self.remaining -= 1.0
        if self._pledged:
            self._pledged.popleft()
        return True

    def may_retry(self, now: float) -> bool:
        """Whether a refused caller may be left free to try again; if so, that is pledged."""
        while self._pledged and self._pledged[0] <= now:
            self._pledged.popleft()
        if self.remaining - len(self._pledged) < 1.0:
            return False
        self._pledged.append(now + PLEDGE_MS)
        return True
