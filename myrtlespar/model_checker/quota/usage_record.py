"""Records how much of the limit all members together have in use, in true time."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

from myrtlespar.quota.budget import period_number
from myrtlespar.quota.settings import CountedUnit, Limit


@dataclass(slots=True)
class UsageRecord:
    """The recent starts, runs in flight and spent budgets of all members together."""

    recent_starts: deque[float] = field(default_factory=deque)  # times of the starts within the last window
    in_flight: int = 0
    spent: Counter[int] = field(default_factory=Counter)  # starts that were charged to a budget, by period
    starts_by_member: Counter[str] = field(default_factory=Counter)
    max_in_use: int = 0

    def record_start(self, limit: Limit, name: str, now: float, wall_ms: float) -> int:
        """Record a start, and return how much of the limit is in use with it.

        Args:
            limit: The limit, whose unit decides what counts as in use.
            name: The member that starts a run.
            now: The true time in milliseconds.
            wall_ms: The time that the member's clock shows, which decides the period of a budget.
        """
        self.starts_by_member[name] += 1
        if limit.counted_unit is CountedUnit.BUDGET:
            number = period_number(limit, wall_ms)
            self.spent[number] += 1
            in_use = self.spent[number]
        elif limit.counted_unit is CountedUnit.AT_ONCE:
            self.in_flight += 1
            in_use = self.in_flight
        else:
            while self.recent_starts and self.recent_starts[0] <= now - limit.window_ms:
                self.recent_starts.popleft()
            self.recent_starts.append(now)
            in_use = len(self.recent_starts)
        self.max_in_use = max(self.max_in_use, in_use)
        return in_use

    def total_starts(self) -> int:
        """Return the number of starts of all members."""
        return self.starts_by_member.total()
