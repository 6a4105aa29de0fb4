"""The reserved totals of budgets that a voter has persisted."""

from __future__ import annotations

from collections.abc import Mapping

from myrtlespar.quota.budget import BudgetPeriod, period_number
from myrtlespar.quota.messages import BudgetReserveRequest, BudgetReserveResponse
from myrtlespar.quota.settings import Limit


class BudgetJournal:
    """The greatest reserved total of each budget period.

    The driver writes it to disk before it sends any response that reports it.
    """

    def __init__(self, totals: Mapping[BudgetPeriod, int] | None = None) -> None:
        self.totals: dict[BudgetPeriod, int] = dict(totals or {})

    def reserve(self, request: BudgetReserveRequest) -> BudgetReserveResponse:
        """Record the total and return the response, which may be sent once the journal is on disk."""
        period = BudgetPeriod(request.key, request.period)
        total = max(request.reserved_total, self.totals.get(period, 0))
        if total:
            self.totals[period] = total
        return BudgetReserveResponse(request.shard_id, request.epoch, request.key, request.period, total)

    def drop_expired(self, limits: Mapping[str, Limit], wall_ms: float) -> None:
        """Drop the periods that have ended by every member's clock; `wall_ms` is Unix time."""
        for period in list(self.totals):
            limit = limits.get(period.key.partition("/")[0])
            if limit is None or period.number < period_number(limit, wall_ms) - 1:
                del self.totals[period]
