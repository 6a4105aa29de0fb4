"""A shard leader's allocation of budgets: it reserves amounts at a majority of the voters for members to draw."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from myrtlespar.quota.budget import MIN_RESERVE_DIVISOR, RESERVE_AHEAD_FACTOR, BudgetPeriod
from myrtlespar.quota.lease import Incarnation
from myrtlespar.quota.messages import BudgetDrawRequest, BudgetDrawResponse, BudgetReserveRequest, BudgetReserveResponse
from myrtlespar.quota.settings import Limit


@dataclass(slots=True)
class DrawnTotals:
    """The totals that one incarnation has drawn from the leader and returned to it. Both only grow."""

    drawn: int
    returned: int = 0


@dataclass(slots=True)
class BudgetEntry:
    """The leader's state of one budget period.

    No amount is allocated before a majority of the voters has reported its journal.
    """

    reported_voters: set[str] = field(default_factory=set)
    is_known: bool = False  # a majority has reported its journal
    reserved: int = 0  # the total that a majority has agreed to
    requested: int = 0  # a greater total that the voters have been asked to agree to
    agreed_voters: set[str] = field(default_factory=set)
    handed_out: int = 0  # the allocated total, including all that earlier leaders reserved
    drawn_by: dict[Incarnation, DrawnTotals] = field(default_factory=dict)


class DrawResult(NamedTuple):
    """The response to the member, and the reservation request to send to all voters; None: nothing to send."""

    response: BudgetDrawResponse | None = None
    reservation: BudgetReserveRequest | None = None


class BudgetAllocator:
    """Allocates the budgets of one shard for the duration of one lease."""

    def __init__(self, voters: frozenset[str]) -> None:
        self.voters = voters
        self.majority = len(voters) // 2 + 1
        self.entries: dict[BudgetPeriod, BudgetEntry] = {}

    def draw(self, sender: Incarnation, request: BudgetDrawRequest, limit: Limit, epoch: int) -> DrawResult:
        """Allocate the amount that a member requests, as far as it is reserved; reserve more if that is too little."""
        entry = self.entries.setdefault(BudgetPeriod(request.key, request.period), BudgetEntry())
        if not entry.is_known:
            query = BudgetReserveRequest(request.shard_id, epoch, request.key, request.period, 0)
            return DrawResult(reservation=query)
        totals = entry.drawn_by.setdefault(sender, DrawnTotals(request.drawn_total))
        # A late response of an earlier leader may have raised the drawn total. The difference already counts as
        # allocated, as `handed_out` includes all that earlier leaders reserved.
        totals.drawn = max(totals.drawn, request.drawn_total)
        if request.epoch == epoch and request.returned_total > totals.returned:
            # Amounts returned to this leader can be drawn by other members.
            entry.handed_out -= request.returned_total - totals.returned
            totals.returned = request.returned_total
        has_latest_response = request.drawn_total == totals.drawn
        wanted = request.wanted if has_latest_response else 0
        amount = max(0, min(wanted, entry.reserved - entry.handed_out))
        totals.drawn += amount
        entry.handed_out += amount
        reservation = None
        if amount < wanted and entry.reserved < limit.amount:
            ahead = max(RESERVE_AHEAD_FACTOR * (wanted - amount), limit.amount // MIN_RESERVE_DIVISOR)
            entry.requested = min(limit.amount, max(entry.requested, entry.reserved + ahead))
            entry.agreed_voters = set()
            reservation = BudgetReserveRequest(request.shard_id, epoch, request.key, request.period, entry.requested)
        remaining = max(0, limit.amount - entry.handed_out)
        response = BudgetDrawResponse(request.shard_id, epoch, request.key, request.period, totals.drawn, remaining)
        return DrawResult(response, reservation)

    def accept_reservation(self, voter: str, response: BudgetReserveResponse) -> None:
        """Apply the total that a voter has persisted; it is valid whichever leader requested it."""
        entry = self.entries.get(BudgetPeriod(response.key, response.period))
        if entry is None or voter not in self.voters:
            return
        if not entry.is_known:
            entry.reported_voters.add(voter)
            entry.reserved = max(entry.reserved, response.reserved_total)
            entry.handed_out = entry.reserved
            entry.is_known = len(entry.reported_voters) >= self.majority
        elif response.reserved_total >= entry.requested > entry.reserved:
            entry.agreed_voters.add(voter)
            if len(entry.agreed_voters) >= self.majority:
                entry.reserved = entry.requested

    def drop_expired(self, current_periods: Mapping[str, int]) -> None:
        """Drop periods before the previous one, as a member's clock may be behind; `current_periods` is by limit."""
        for period in list(self.entries):
            if period.number < current_periods.get(period.key.partition("/")[0], 0) - 1:
                del self.entries[period]
