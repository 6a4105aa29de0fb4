"""One member's part in the fleet's limits: it holds grants, votes, and leads some shards.

The driver (`fleet.limits_driver`) passes in the time in monotonic milliseconds, messages with their sender, and the
members that membership reports as present. It calls `tick` at `next_at()` or as soon after as it can, and carries out
the effects that the calls return.
"""

from __future__ import annotations

from collections.abc import Mapping

from myrtlespar.quota.admission_check import ADMITTED, AdmissionCheck
from myrtlespar.quota.budget import BudgetPeriod, period_number
from myrtlespar.quota.budget_account import BudgetBalance
from myrtlespar.quota.budget_exchange import BudgetExchange
from myrtlespar.quota.grant_exchange import GrantExchange
from myrtlespar.quota.grant_holder import GrantHolder
from myrtlespar.quota.lease import Incarnation
from myrtlespar.quota.lease_session import EngineReply, EngineRequest
from myrtlespar.quota.limit_versions import LimitVersions
from myrtlespar.quota.messages import (
    GrantRequest,
    GrantResponse,
    LeaseRequest,
    LeaseVote,
    LimitCounter,
    LimitEffect,
    LimitMessage,
    PersistThenSend,
)
from myrtlespar.quota.outbox import Outbox
from myrtlespar.quota.settings import CountedUnit, GrantSettings, Limit
from myrtlespar.quota.shard_leadership import ShardLeadership
from myrtlespar.quota.shards import leader_of, shard_of


class LimitCoordinator:
    """Coordinates the fleet's limits for one member."""

    def __init__(
        self,
        self_id: Incarnation,
        settings: GrantSettings,
        limits: Mapping[str, Limit],
        voters: frozenset[str],
        now: float,
        version: int = 1,
        engine: bool = False,
        persisted_totals: Mapping[BudgetPeriod, int] | None = None,
    ) -> None:
        """Start with these limits (by name) in this version.

        With `engine`, an engine grants the leases of shards in place of a majority of the voters. `persisted_totals`
        is the budget journal that an earlier incarnation persisted.
        """
        self.self_id = self_id
        self.settings = settings
        self.voters = voters
        self.present_members: frozenset[str] = frozenset()  # other members that membership reports as present
        self.wall_offset_ms = 0.0  # added to the monotonic time to get Unix time; set by the driver
        self._next_at = now
        self._outbox = Outbox(self_id.name, self._deliver_to_self)
        members = settings.members_most or len(voters)
        self.grant_holder = GrantHolder(settings, members, now)
        self.versions = LimitVersions(settings, limits, version, self_id.name, voters, self.grant_holder, self._outbox)
        self.limits = self.versions.limits  # a direct reference, as every admission looks up its limit
        self._has_budgets = any(limit.counted_unit is CountedUnit.BUDGET for limit in limits.values())
        self.leadership = ShardLeadership(
            self_id, settings, voters, now, engine, self.grant_holder, self.versions, self._outbox
        )
        self._grants = GrantExchange(settings, self.grant_holder, self.versions, self.leadership, self._outbox)
        self._budgets = BudgetExchange(
            settings, self.grant_holder, self.versions, self.leadership, self._outbox, now, persisted_totals
        )
        self.shards = self.leadership.shards
        self.lease_session = self.leadership.lease_session
        self.budget_account = self._budgets.account
        self.budget_journal = self._budgets.journal

    # Admission of requests.

    def limit_of(self, key: str) -> Limit | None:
        """Return the limit of a key, which has the form `limit` or `limit/value`."""
        return self.limits.get(key.partition("/")[0])

    def check_admission(self, now: float, key: str, ahead: int = 0, is_retry: bool = False) -> AdmissionCheck:
        """Check whether a key has capacity for one more request behind `ahead` queued ones. Never blocks."""
        limit = self.limit_of(key)
        if limit is None:
            return ADMITTED
        if self._has_budgets and limit.counted_unit is CountedUnit.BUDGET:
            wall_ms = now + self.wall_offset_ms
            return self.budget_account.check_admission(now, wall_ms, key, limit, ahead, is_retry)
        return self.grant_holder.check_admission(now, key, limit, ahead, is_retry)

    def available(self, now: float, key: str) -> int:
        """Return how many more requests of a key have capacity; negative if more is in use than may be now."""
        balance = self.budget_balance(now, key)
        return self.grant_holder.available(now, key) if balance is None else balance.available

    def available_in_ms(self, now: float, key: str) -> float:
        """Return the time in ms until a key has capacity for one more request; infinity if that is not known."""
        balance = self.budget_balance(now, key)
        if balance is not None:
            return 0.0 if balance.available > 0 else float("inf")
        return self.grant_holder.available_in_ms(now, key)

    def budget_balance(self, now: float, key: str) -> BudgetBalance | None:
        """Return this member's balance of a budget's current period; None for other limits."""
        limit = self.limit_of(key) if self._has_budgets else None
        if limit is None or limit.counted_unit is not CountedUnit.BUDGET:
            return None
        return self.budget_account.balance(now + self.wall_offset_ms, key, limit)

    def consume(self, now: float, key: str) -> None:
        """Count one admitted request of a key as in use, or as spent for a budget."""
        if self._has_budgets and (balance := self.budget_balance(now, key)) is not None:
            balance.spent += 1
        else:
            self.grant_holder.consume(now, key)

    def give_back(self, consumed_at: float, key: str) -> None:
        """Undo the `consume` of a request that did not start; an amount spent of a budget stays spent."""
        limit = self.limit_of(key)
        if limit is not None and limit.counted_unit is not CountedUnit.BUDGET:
            self.grant_holder.give_back(consumed_at, key)

    def is_spent_in_current_period(self, now: float, consumed_at: float, key: str) -> bool:
        """Return whether a key belongs to a budget and `consumed_at` is within the budget's current period."""
        limit = self.limit_of(key) if self._has_budgets else None
        if limit is None or limit.counted_unit is not CountedUnit.BUDGET:
            return False
        offset = self.wall_offset_ms
        return period_number(limit, consumed_at + offset) == period_number(limit, now + offset)

    def run_ended(self, key: str) -> None:
        """Count the end of a run under a limit on runs in flight."""
        self.grant_holder.run_ended(key)

    # Versions of the limits.

    @property
    def version(self) -> int:
        """The version of the limits in use."""
        return self.versions.version

    def adopt_limits(self, now: float, limits: Mapping[str, Limit], version: int) -> list[LimitEffect]:
        """Adopt a later version of the limits, with the same names and units and other amounts."""
        self.versions.adopt(limits, version)
        self.limits = self.versions.limits
        for shard in self.shards:
            if shard.ledger is None:
                continue
            for key in shard.ledger.grants:
                limit = self.limit_of(key)
                if limit is not None:
                    self._report_lowered(key, shard.ledger.outstanding(now, key), self.versions.pool(limit))
        return self._outbox.drain()

    def _report_lowered(self, key: str, outstanding: int, pool: int) -> None:
        if outstanding > pool:
            self._outbox.count(
                LimitCounter.LOWERED,
                f"{key}: up to {outstanding} may still be in use; "
                f"grants fall to the lower pool of {pool} as that use ends",
            )

    def outdated_voters(self) -> list[str]:
        """Return the voters not known to use this version of the limits; only a shard leader knows all versions."""
        return self.versions.outdated_voters()

    # Inputs from the clock, other members and the engine.

    def next_at(self) -> float:
        """Return when `tick` is due, in monotonic milliseconds."""
        return self._next_at

    def tick(self, now: float) -> list[LimitEffect]:
        """Send the requests that are due for grants, budgets and votes."""
        if now < self._next_at or self.grant_holder.retired:
            return self._outbox.drain()
        self._next_at = now + self.settings.ask_ms
        wall_ms = now + self.wall_offset_ms
        self.versions.settle_if_due(now)
        present_voters = self._present_voters()
        self.leadership.tick(now, present_voters, self._budgets.current_periods(wall_ms))
        if self.self_id.name in self.voters:
            self._budgets.request_draws(now, wall_ms, present_voters)
            self._grants.request_grants(now, present_voters)
        return self._outbox.drain()

    def leader(self, key: str) -> str:
        """Return the member that should lead the shard of a key, by this member's view of the voters present."""
        return leader_of(shard_of(key, self.settings.ranges), self._present_voters())

    def _present_voters(self) -> frozenset[str]:
        return (self.present_members | {self.self_id.name}) & self.voters

    def receive(self, now: float, sender: Incarnation, message: LimitMessage) -> list[LimitEffect]:
        """Process a message of another member."""
        self._dispatch(now, sender, message)
        return self._outbox.drain()

    def _deliver_to_self(self, now: float, message: LimitMessage) -> None:
        self._dispatch(now, self.self_id, message)

    def _dispatch(self, now: float, sender: Incarnation, message: LimitMessage) -> None:
        if message.shard_id >= self.settings.ranges:
            self._outbox.count(LimitCounter.UNKNOWN_SHARD)
        elif isinstance(message, LeaseRequest):
            self.leadership.vote(now, sender, message)
        elif isinstance(message, LeaseVote):
            self.leadership.record_vote(now, sender, message)
        elif isinstance(message, GrantRequest):
            self._grants.answer_request(now, sender, message)
        elif isinstance(message, GrantResponse):
            self._grants.adopt_response(now, message)
        else:
            self._budgets.receive(now, sender, message)

    def persisted(self, now: float, effect: PersistThenSend) -> list[LimitEffect]:
        """Send the effect's message, as the budget journal that it depends on is now on disk."""
        self._outbox.send(now, effect.recipient, effect.message)
        return self._outbox.drain()

    def next_engine_request(self, now: float) -> tuple[EngineRequest | None, list[LimitEffect]]:
        """Return the request to the engine that is due, if any, and the effects to carry out before it is sent."""
        request = self.leadership.next_engine_request(now)
        return request, self._outbox.drain()

    def engine_replied(self, now: float, request: EngineRequest, reply: EngineReply | None) -> list[LimitEffect]:
        """Apply the engine's reply; None: the outcome is unknown."""
        self.leadership.record_engine_reply(now, request, reply)
        return self._outbox.drain()

    def retire(self) -> None:
        """Stop requesting, voting and leading, as this process ends or a second one of the same name takes over."""
        self.grant_holder.retired = True
        self.leadership.retire()
