"""Budgets: fleet-wide amounts per period, such as a day, that are kept across restarts of any or all members.

The protocol has three parts. All their totals only grow, so that any message may be lost, duplicated or late.

- A member's account (`budget_account`) draws amounts from the leader of the key's shard and spends them. What it has
  not spent when its process ends is lost for that period, so it draws ahead for a short time only and returns idle
  amounts.
- The leader's allocator (`budget_allocator`) allocates no more than it has reserved.
- Each voter's journal (`budget_journal`) persists the reserved total before the voter agrees to it. A reservation is
  valid once a majority has agreed. A new leader starts from the greatest total that a majority reports, so no amount is
  allocated twice.

This guarantees for each period, where `spent` is the sum over all incarnations and each determines the current period
by its own clock:

    spent <= reserved <= budget
"""

from __future__ import annotations

from typing import NamedTuple

from myrtlespar.quota.settings import Limit

DRAW_AHEAD_S = 1.0  # a member draws the amount that it needs for this time
RESERVE_AHEAD_FACTOR = 2  # a leader reserves this many times the amount missing for a request
MIN_RESERVE_DIVISOR = 100  # a reservation is at least the budget divided by this


class BudgetPeriod(NamedTuple):
    """Identifies one period of one budget key."""

    key: str
    number: int  # periods are counted from the Unix epoch


def period_number(limit: Limit, wall_ms: float) -> int:
    """Return the number of the period that contains a Unix time in ms."""
    return int(wall_ms // limit.period_ms)
