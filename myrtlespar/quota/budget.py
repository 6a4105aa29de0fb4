"""Budgets: an amount in a period, such as a day, that holds across restarts of one member or of all at once.

Three parts, whose totals only grow, so that any message may be lost, duplicated or late. A member's **account**
(`budget_account`) draws from the leader of the key's shard and spends; what it has not spent when its process ends is
lost to that period, so it draws for some seconds only and returns what is idle. The leader's **allocator**
(`budget_allocator`) hands out no more than it has reserved. Each voter's **journal** (`budget_journal`) persists the
reserved total before the voter agrees, and a reservation counts once a majority agreed. A new leader starts from the
greatest total that a majority reports, so nothing is handed out twice.

    spent in a period, by the clocks of those who spend, over all incarnations <= reserved <= the budget
"""

from __future__ import annotations

from typing import NamedTuple

from myrtlespar.quota.settings import Limit

DRAW_AHEAD_S = 1.0  # a member draws so many seconds of its demand
RESERVE_AHEAD_FACTOR = 2  # a leader reserves so many times what it lacks for a request
MIN_RESERVE_DIVISOR = 100  # and at least the budget divided by this


class BudgetPeriod(NamedTuple):
    """One period of a budget's key."""

    key: str
    number: int  # periods are counted from the Unix epoch


def period_number(limit: Limit, wall_ms: float) -> int:
    """Return the number of the period at this Unix time in milliseconds."""
    return int(wall_ms // limit.period_ms)
