"""Sends and handles messages about budgets: to draw as a member, allocate as a leader and persist as a voter."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from myrtlespar.quota.budget import BudgetPeriod, period_number
from myrtlespar.quota.budget_account import BudgetAccount
from myrtlespar.quota.budget_journal import BudgetJournal
from myrtlespar.quota.grant_holder import GrantHolder
from myrtlespar.quota.lease import Incarnation
from myrtlespar.quota.limit_versions import LimitVersions
from myrtlespar.quota.messages import (
    BudgetDrawRequest,
    BudgetDrawResponse,
    BudgetReserveRequest,
    BudgetReserveResponse,
    LimitCounter,
)
from myrtlespar.quota.outbox import Outbox
from myrtlespar.quota.settings import CountedUnit, GrantSettings, Limit
from myrtlespar.quota.shard_leadership import ShardLeadership
from myrtlespar.quota.shards import Shard, leader_of, shard_of

JOURNAL_CLEANUP_INTERVAL_MS = 60_000.0
BudgetMessage = BudgetDrawRequest | BudgetDrawResponse | BudgetReserveRequest | BudgetReserveResponse


class BudgetExchange:
    """Exchanges messages about budgets with the other members."""

    def __init__(
        self,
        settings: GrantSettings,
        grant_holder: GrantHolder,
        versions: LimitVersions,
        leadership: ShardLeadership,
        outbox: Outbox,
        now: float,
        persisted_totals: Mapping[BudgetPeriod, int] | None,
    ) -> None:
        self.account = BudgetAccount(settings)
        self.journal = BudgetJournal(persisted_totals)
        self._settings = settings
        self._grant_holder = grant_holder
        self._versions = versions
        self._leadership = leadership
        self._outbox = outbox
        self._next_cleanup_at = now + JOURNAL_CLEANUP_INTERVAL_MS

    def current_periods(self, wall_ms: float) -> dict[str, int]:
        """Return the number of each budget's period at a Unix time in ms, by limit."""
        return {
            name: period_number(limit, wall_ms)
            for name, limit in self._versions.limits.items()
            if limit.counted_unit is CountedUnit.BUDGET
        }

    def request_draws(self, now: float, wall_ms: float, present_voters: frozenset[str]) -> None:
        """Send the draw requests that are due, and drop expired periods from the journal."""
        for request in self.account.draw_requests(now):
            shard_id = shard_of(request.key, self._settings.ranges)
            leader = leader_of(shard_id, present_voters)
            self._outbox.send(now, leader, msgspec.structs.replace(request, shard_id=shard_id))
        if now >= self._next_cleanup_at:
            self._next_cleanup_at = now + JOURNAL_CLEANUP_INTERVAL_MS
            self.journal.drop_expired(self._versions.limits, wall_ms)

    def receive(self, now: float, sender: Incarnation, message: BudgetMessage) -> None:
        """Handle one message about a budget."""
        limit = self._versions.limit_of(message.key)
        if limit is None or limit.counted_unit is not CountedUnit.BUDGET:
            self._outbox.count(LimitCounter.UNKNOWN_LIMIT)
        elif isinstance(message, BudgetDrawResponse):
            self.account.accept_draw(sender.name, message)
        elif isinstance(message, BudgetReserveRequest):
            self._reserve(sender, message)
        else:
            self._receive_as_leader(now, sender, message, limit)

    def _reserve(self, sender: Incarnation, request: BudgetReserveRequest) -> None:
        """Persist a reservation of the leader to which this voter has promised the shard; reject all others.

        This leader counts only on totals that were persisted before the promise to it. A reservation that an earlier
        leader requested must not be persisted after that, as the same amount could then be allocated twice.
        """
        promise = self._leadership.lease_voter.promises[request.shard_id]
        if promise.candidate != sender or promise.epoch != request.epoch or self._grant_holder.retired:
            self._outbox.count(LimitCounter.FENCED)
            return
        self._outbox.persist_then_send(sender.name, self.journal.reserve(request))

    def _receive_as_leader(
        self, now: float, sender: Incarnation, message: BudgetDrawRequest | BudgetReserveResponse, limit: Limit
    ) -> None:
        is_voter = sender.name in self._leadership.voters
        if isinstance(message, BudgetDrawRequest) and is_voter:
            self._leadership.shards[message.shard_id].last_requested_at = now
        shard = self._leadership.led_shard(now, message.shard_id)
        if shard is None or shard.ledger is None:
            self._outbox.count(LimitCounter.NOT_LEADER)
        elif isinstance(message, BudgetReserveResponse):
            shard.ledger.budget_allocator.accept_reservation(sender.name, message)
        elif is_voter:
            self._draw(now, sender, message, limit, shard)

    def _draw(self, now: float, sender: Incarnation, request: BudgetDrawRequest, limit: Limit, shard: Shard) -> None:
        assert shard.ledger is not None
        result = shard.ledger.budget_allocator.draw(sender, request, limit, shard.election.epoch)
        if result.reservation is not None:
            for name in sorted(self._leadership.voters):
                self._outbox.send(now, name, result.reservation)
        if result.response is not None:
            self._outbox.send(now, sender.name, result.response)
