"""One member's budget balances, and its requests to draw more and to return idle amounts."""

from __future__ import annotations

import math
from dataclasses import dataclass

from myrtlespar.quota.admission_check import ADMITTED, AdmissionCheck
from myrtlespar.quota.budget import DRAW_AHEAD_S, BudgetPeriod, period_number
from myrtlespar.quota.messages import BudgetDrawRequest, BudgetDrawResponse
from myrtlespar.quota.settings import GrantSettings, Limit
from myrtlespar.quota.usage_windows import UsageWindow

DEMAND_WINDOW_MS = 1000  # demand is measured over this time
REMAINING_UNKNOWN = -1


@dataclass(slots=True)
class BudgetBalance:
    """One member's balance of one budget period. The totals only grow."""

    limit: Limit
    demand: UsageWindow
    drawn_total: int = 0
    returned_total: int = 0
    spent: int = 0  # by requests that this incarnation admitted
    leader: str = ""  # the latest leader that answered
    epoch: int = 0  # of that leader
    returned_to_leader: int = 0  # the part of `returned_total` returned in that epoch
    remaining: int = REMAINING_UNKNOWN  # of the budget for all members, by the leader's latest response
    last_demand_at: float = 0.0

    @property
    def available(self) -> int:
        """The amount that this member may spend now."""
        return self.drawn_total - self.returned_total - self.spent


class BudgetAccount:
    """One member's balances.

    A balance is kept for its whole period: without its totals, the same amount could be drawn a second time.
    """

    def __init__(self, settings: GrantSettings) -> None:
        self.settings = settings
        # By key and period number. Plain tuples, as each admission under a budget creates one.
        self.balances: dict[tuple[str, int], BudgetBalance] = {}
        # By limit. A clock that is set back must not reopen an earlier period.
        self._latest_periods: dict[str, int] = {}

    def balance(self, wall_ms: float, key: str, limit: Limit) -> BudgetBalance:
        """Return the balance of a key's current period; `wall_ms` is Unix time."""
        name = key.partition("/")[0]
        number = max(period_number(limit, wall_ms), self._latest_periods.get(name, 0))
        self._latest_periods[name] = number
        balance = self.balances.get((key, number))
        if balance is None:
            balance = BudgetBalance(limit, UsageWindow(self.settings.safe_wait_ms(DEMAND_WINDOW_MS)))
            self.balances[key, number] = balance
        return balance

    def check_admission(
        self, now: float, wall_ms: float, key: str, limit: Limit, ahead: int, is_retry: bool
    ) -> AdmissionCheck:
        """Check whether one more request may be spent behind `ahead` queued ones.

        Unless `is_retry`, the check counts as demand, whatever its result.
        """
        balance = self.balance(wall_ms, key, limit)
        balance.last_demand_at = now
        if not is_retry:
            balance.demand.record(now)
        if balance.available > ahead:
            return ADMITTED
        period_remaining_ms = limit.period_ms - wall_ms % limit.period_ms
        retry_after_ms = period_remaining_ms if balance.remaining == 0 else 2.0 * self.settings.ask_ms
        drawn = balance.drawn_total - balance.returned_total
        return AdmissionCheck(False, max(1.0, retry_after_ms), drawn, balance.spent, balance.available, 0.0)

    def draw_requests(self, now: float) -> list[BudgetDrawRequest]:
        """Return the requests to shard leaders that are due: to draw missing amounts and to return idle ones.

        Drops the balances of past periods.
        """
        requests = []
        for (key, number), balance in list(self.balances.items()):
            if number < self._latest_periods[key.partition("/")[0]]:
                del self.balances[key, number]
                continue
            request = self._draw_request(now, BudgetPeriod(key, number), balance)
            if request is not None:
                requests.append(request)
        return requests

    def _draw_request(self, now: float, period: BudgetPeriod, balance: BudgetBalance) -> BudgetDrawRequest | None:
        idle_ms = now - balance.last_demand_at
        is_idle = idle_ms > self.settings.cold_ms
        if is_idle and balance.available > 0 and balance.epoch:
            returned = balance.available
            balance.returned_to_leader += returned
            balance.returned_total += returned
        wanted = 0
        if not is_idle:
            needed = math.ceil(balance.demand.in_use(now) * DRAW_AHEAD_S)
            wanted = max(0, needed - max(0, balance.available))
        # A return is sent repeatedly for some time, as a message may be lost.
        if wanted or (balance.returned_to_leader and idle_ms < 2 * self.settings.cold_ms):
            return BudgetDrawRequest(
                0, period.key, period.number, balance.drawn_total, balance.epoch, balance.returned_to_leader, wanted
            )
        return None

    def accept_draw(self, leader: str, response: BudgetDrawResponse) -> None:
        """Apply a leader's response, which carries the total that this incarnation has drawn."""
        balance = self.balances.get((response.key, response.period))
        if balance is None:
            return
        balance.drawn_total = max(balance.drawn_total, response.drawn_total)
        balance.remaining = response.remaining
        if (response.epoch, leader) > (balance.epoch, balance.leader):  # amounts returned to an earlier leader are lost
            balance.leader = leader
            balance.epoch = response.epoch
            balance.returned_to_leader = 0
