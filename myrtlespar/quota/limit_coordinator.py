"""One member's part in the fleet's limits: holder of what it uses, voter, and keeper of the ranges that fall to it.

The driver hands in monotonic milliseconds, messages with the sender's name and life, and whom membership believes
here; `tick` is called at `next_at()` or as soon after as can be. Messages to oneself are handed over at once.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from myrtlespar.quota.budget import BudgetAccount, BudgetBalance, BudgetJournal, BudgetPeriod, period
from myrtlespar.quota.grant_holder import ADMITTED, AdmissionCheck, GrantHolder
from myrtlespar.quota.grant_ledger import GrantLedger
from myrtlespar.quota.lease import Incarnation, LeaseElection, LeaseVoter
from myrtlespar.quota.lease_session import EngineReply, EngineRequest, LeaseSession
from myrtlespar.quota.messages import (
    BudgetDrawRequest,
    BudgetDrawResponse,
    BudgetReserveRequest,
    BudgetReserveResponse,
    CountEvent,
    GrantRequest,
    GrantResponse,
    KeyDemand,
    LeaseRequest,
    LeaseVote,
    LimitMessage,
    PersistThenSend,
    SendMessage,
)
from myrtlespar.quota.settings import CountedUnit, GrantSettings, Limit

WANTS_MOST = 11  # of one ask, so that it fits a datagram
HOLDS_MOST = 14  # of one promise
FORGET_MS = 60_000.0  # between looks for entries of budgets that are over
LimitEffect = SendMessage | CountEvent | PersistThenSend


def shard_of(key: str, ranges: int) -> int:
    """The range of a key, the same on every member."""
    return zlib.crc32(key.encode()) % ranges


def leader_of(rng: int, names: Iterable[str]) -> str:
    """Who of these is to keep a range: rendezvous hashing, so that one member's end moves its own ranges only."""
    return max(names, key=lambda name: (zlib.crc32(f"{rng} {name}".encode()), name), default="")


@dataclass(slots=True)
class Shard:
    """One range as a possible keeper has it."""

    election: LeaseElection
    ledger: GrantLedger | None = None
    asked_at: float = float("-inf")  # by a holder; a range that nobody asks for has no keeper
    stood_at: float = float("-inf")


class LimitCoordinator:
    """All of it for one member."""

    def __init__(
        self,
        me: Incarnation,
        terms: GrantSettings,
        limits: Mapping[str, Limit],
        electors: frozenset[str],
        now: float,
        version: int = 1,
        engine: bool = False,
        vault: Mapping[BudgetPeriod, int] | None = None,
    ) -> None:
        self.self_id, self.settings, self.limits, self.voters = me, terms, dict(limits), electors
        members = terms.members_most or len(electors)
        self.grant_holder, self.lease_voter = GrantHolder(terms, members, now), LeaseVoter(terms, now, engine)
        self.session = LeaseSession(terms) if engine else None  # who keeps what is then the engine's to say
        self.shards = [Shard(LeaseElection(terms, electors)) for _ in range(terms.ranges)]
        self.present_members: frozenset[str] = frozenset()
        self.wanted_shards: set[int] = set()  # ranges that we would keep, if the engine lets us
        self._budgets = any(limit.of is CountedUnit.BUDGET for limit in limits.values())
        self.began = now
        self.version = version  # of the limits
        self.versions: dict[str, int] = {me[0]: version}  # that electors told us, as far as we keep a range
        self._all_at: float | None = None  # since when we know that all have ours, or a later one
        self.budget_account, self.budget_journal = BudgetAccount(terms), BudgetJournal(vault)
        self.wall_ms = 0.0  # from our clock to Unix time; the driver sets it
        self._at = now
        self._no = 0
        self._forget_at = now + FORGET_MS
        self._out: list[LimitEffect] = []

    # Use.

    def limit_of(self, key: str) -> Limit | None:
        """The limit that a key belongs to: `limit` or `limit/value`."""
        return self.limits.get(key.partition("/")[0])

    def check_admission(self, now: float, key: str, ahead: int = 0, again: bool = False) -> AdmissionCheck:
        """Whether there is room for one more of a key behind so many that wait for it. Never waits."""
        limit = self.limit_of(key)
        if self._budgets and limit is not None and limit.of is CountedUnit.BUDGET:
            return self.budget_account.look(now, now + self.wall_ms, key, limit, ahead, again)
        return ADMITTED if limit is None else self.grant_holder.look(now, key, limit, ahead, again)

    def available(self, now: float, key: str) -> int:
        """How many more of a key there is room for."""
        pocket = self.budget_balance(now, key)
        return self.grant_holder.free(now, key) if pocket is None else pocket.free

    def available_in_ms(self, now: float, key: str) -> float:
        """In how long there is room for one more of a key; infinity if that is not known."""
        pocket = self.budget_balance(now, key)
        if pocket is not None:
            return 0.0 if pocket.free > 0 else float("inf")
        return self.grant_holder.room_ms(now, key)

    def budget_balance(self, now: float, key: str) -> BudgetBalance | None:
        """Ours of a budget's present period; None for other limits."""
        limit = self.limit_of(key) if self._budgets else None
        if limit is None or limit.of is not CountedUnit.BUDGET:
            return None
        return self.budget_account.pocket(now + self.wall_ms, key, limit)

    def consume(self, now: float, key: str) -> None:
        """Use one of a key that there is room for."""
        if self._budgets and (pocket := self.budget_balance(now, key)) is not None:
            pocket.spent += 1
        else:
            self.grant_holder.use(now, key)

    def leader(self, key: str) -> str:
        """Who is to keep this key, as far as we know."""
        return leader_of(shard_of(key, self.settings.ranges), (self.present_members | {self.self_id[0]}) & self.voters)

    def run_ended(self, key: str) -> None:
        """A run that a limit counts in hand is over."""
        self.grant_holder.ended(key)

    def adopt_limits(self, now: float, limits: Mapping[str, Limit], version: int) -> list[LimitEffect]:
        """Go by a later version of the limits: of the same names, in the same units, with other numbers."""
        self.limits, self.version = dict(limits), version
        self.versions[self.self_id[0]], self._all_at = version, None
        self.grant_holder.adopt(self.limits, False)
        for one in self.shards:
            for key in one.ledger.keys if one.ledger is not None else ():
                limit = self.limit_of(key)
                if limit is not None and one.ledger is not None:
                    out, pool = one.ledger.outstanding(now, key), self._pool(limit)
                    if out > pool:
                        self._note("lowered", f"{key}: {out} may be in use, {pool} will be granted as that ends")
        return self._done()

    def outdated_voters(self) -> list[str]:
        """Electors not known to go by our version of the limits; only a keeper hears of all."""
        return sorted(name for name in self.voters if self.versions.get(name, 0) < self.version)

    def _heard_version(self, now: float, name: str, version: int) -> None:
        if name not in self.voters:
            return
        if version > self.versions.get(self.self_id[0], 0) and version > self.versions.get(name, 0):
            self._note(
                "later version", f"{name} goes by version {version} of the limits, this member by " f"{self.version}"
            )
        self.versions[name] = version
        if self.outdated_voters():
            self._all_at = None
        elif self._all_at is None:
            self._all_at = now

    def _settled(self, now: float) -> bool:
        """All have our version, and whatever was granted by an earlier one has ended."""
        longest = max((limit.linger_ms for limit in self.limits.values()), default=0)
        return self._all_at is not None and now >= self._all_at + self.settings.waited(self.settings.grant_ms + longest)

    def _pool(self, limit: Limit) -> int:
        members = self.settings.members_most or len(self.voters)
        return self.settings.shares(limit, members, self.grant_holder.settled and not self.outdated_voters())[0]

    def persisted(self, now: float, keep: PersistThenSend) -> list[LimitEffect]:
        """The vault as it was at that effect, or later, is on the disk."""
        self._tell(now, keep.recipient, keep.message)
        return self._done()

    def retire(self) -> None:
        """A second process of our name goes on: nothing more is asked, promised or kept."""
        self.grant_holder.retired = True
        self.wanted_shards.clear()
        for one in self.shards:
            one.election.give_up()
            one.ledger = None

    # Driven.

    def next_at(self) -> float:
        """When `tick` is due."""
        return self._at

    def tick(self, now: float) -> list[LimitEffect]:
        """Ask, as holder and as candidate."""
        if now < self._at or self.grant_holder.retired:
            return self._done()
        self._at = now + self.settings.ask_ms
        if not self.grant_holder.settled and self._settled(now):
            self.grant_holder.adopt(self.limits, True)
        there = (self.present_members | {self.self_id[0]}) & self.voters
        mine = [rng for rng in range(self.settings.ranges) if leader_of(rng, there) == self.self_id[0]]
        for rng, one in enumerate(self.shards):
            wanted = now - one.asked_at < self.settings.cold_ms
            if rng not in mine or self.self_id[0] not in self.voters or not wanted:
                one.election.give_up()
                self.wanted_shards.discard(rng)
            elif self.session is not None:
                self.wanted_shards.add(rng)
                if one.election.has(now) and now - one.stood_at >= self.settings.renew_ms:
                    self._stand(now, rng, one)
            elif not one.election.has(now) or now - one.stood_at >= self.settings.renew_ms:
                self._stand(now, rng, one)
            if one.ledger is not None:
                if not one.election.has(now):
                    one.ledger = None
                else:
                    one.ledger.forget(now)
                    one.ledger.chest.forget(self._periods(now))
        if self.self_id[0] in self.voters:
            self._ask(now, there)
        return self._done()

    def next_engine_request(self, now: float) -> tuple[EngineRequest | None, list[LimitEffect]]:
        """What is to be asked of the engine now. What that gives up we end with before it is sent, as another may
        have it before we hear of the answer.
        """
        assert self.session is not None
        request = self.session.next(now, frozenset(self.wanted_shards))
        return request, self._seated(now)

    def engine_replied(self, now: float, request: EngineRequest, reply: EngineReply | None) -> list[LimitEffect]:
        """What came of it; None: nobody knows."""
        assert self.session is not None
        self.session.answered(now, request, reply)
        return self._seated(now)

    def _seated(self, now: float) -> list[LimitEffect]:
        """The session has changed: begin as keeper of what came, end with what went."""
        for rng, one in enumerate(self.shards):
            if self.session is not None and one.election.seated(now, self.session.epoch(now, rng), self.session.until):
                one.ledger = GrantLedger(self.settings, now, self.voters)
                self._note("keeper")
                self._stand(now, rng, one)
            elif not one.election.has(now):
                one.ledger = None
        return self._done()

    def _stand(self, now: float, rng: int, one: Shard) -> None:
        self._no += 1
        one.stood_at = now
        if self.session is not None:
            ask = LeaseRequest(rng, one.election.epoch, self._no)
        else:
            ask = one.election.stand(now, self._no)
        if not one.election.has(now):
            one.ledger = None
        for name in sorted(self.voters):
            self._tell(now, name, LeaseRequest(rng, ask.epoch, ask.sequence_number))

    def _periods(self, now: float) -> dict[str, int]:
        return {
            name: period(limit, now + self.wall_ms)
            for name, limit in self.limits.items()
            if limit.of is CountedUnit.BUDGET
        }

    def _draw(self, now: float, there: frozenset[str]) -> None:
        for draw in self.budget_account.draws(now):
            rng = shard_of(draw.key, self.settings.ranges)
            self._tell(now, leader_of(rng, there), msgspec.structs.replace(draw, shard_id=rng))

    def _ask(self, now: float, there: frozenset[str]) -> None:
        self._draw(now, there)
        if now >= self._forget_at:
            self._forget_at = now + FORGET_MS
            self.budget_journal.forget(self.limits, now + self.wall_ms)
        by_range: dict[int, list[KeyDemand]] = {}
        for key, want in self.grant_holder.wants(now).items():
            by_range.setdefault(shard_of(key, self.settings.ranges), []).append(want)
        for rng, wants in sorted(by_range.items()):
            keeper = leader_of(rng, there)
            for at in range(0, len(wants), WANTS_MOST):
                no = self.grant_holder.asking(now, rng)
                self._tell(now, keeper, GrantRequest(rng, no, tuple(wants[at : at + WANTS_MOST]), self.version))

    def receive(self, now: float, sender: Incarnation, message: LimitMessage) -> list[LimitEffect]:
        """One message of another member."""
        self._hear(now, sender, message)
        return self._done()

    def _hear(self, now: float, sender: Incarnation, message: LimitMessage) -> None:
        if message.shard_id >= self.settings.ranges:
            return self._note("other ranges")
        if isinstance(message, LeaseRequest):
            if sender[0] in self.voters and self.self_id[0] in self.voters and not self.grant_holder.retired:
                self._tell(now, sender[0], self._promise(now, sender, message))
                return None
            return None
        if isinstance(message, LeaseVote):
            self._promised(now, sender, message)
            return None
        if isinstance(message, GrantRequest):
            self._asked(now, sender, message)
            return None
        if isinstance(message, BudgetDrawRequest | BudgetDrawResponse | BudgetReserveRequest | BudgetReserveResponse):
            self._budget(now, sender, message)
            return None
        self._granted(now, message)
        return None

    def _promise(self, now: float, sender: Incarnation, ask: LeaseRequest) -> LeaseVote:
        promise = self.lease_voter.asked(now, sender, ask)
        if not promise.granted:
            return msgspec.structs.replace(promise, version=self.version)
        ours = {
            key: ask.shard_id for key in self.grant_holder.shares if shard_of(key, self.settings.ranges) == ask.shard_id
        }
        holds = self.grant_holder.holds(now, ours)
        longest = max((limit.linger_ms for limit in self.limits.values()), default=0)
        old = now < self.began + self.settings.waited(self.settings.grant_ms + longest)  # an earlier life may hold some
        return LeaseVote(
            promise.shard_id,
            promise.sequence_number,
            True,
            promise.highest_epoch,
            len(holds) <= HOLDS_MOST and not old,
            tuple(holds[:HOLDS_MOST]),
            self.version,
        )

    def _promised(self, now: float, sender: Incarnation, promise: LeaseVote) -> None:
        one = self.shards[promise.shard_id]
        self._heard_version(now, sender[0], promise.version)
        if self.session is None and one.election.answered(now, sender[0], promise):
            one.ledger = GrantLedger(self.settings, now, self.voters)
            self._note("keeper")
        if one.ledger is not None and promise.granted and promise.highest_epoch == one.election.epoch:
            known = {key: limit for key, _ in promise.allowances if (limit := self.limit_of(key)) is not None}
            one.ledger.told(now, sender, promise.complete, promise.allowances, known)

    def _asked(self, now: float, sender: Incarnation, ask: GrantRequest) -> None:
        one = self.shards[ask.shard_id]
        if sender[0] in self.voters:
            one.asked_at = now
            self._heard_version(now, sender[0], ask.version)
        if one.ledger is None or not one.election.has(now) or sender[0] not in self.voters:
            return self._note("not keeper")
        amounts = []
        for want in ask.demands:
            limit = self.limit_of(want.key)
            if limit is None:
                self._note("unknown limit")
                continue
            amount = one.ledger.ask(now, sender, ask.sequence_number, want, limit, self._pool(limit))
            if amount is not None:
                amounts.append((want.key, amount))
        if amounts:
            self._tell(
                now,
                sender[0],
                GrantResponse(
                    ask.shard_id,
                    one.election.epoch,
                    ask.sequence_number,
                    self.settings.grant_ms,
                    tuple(amounts),
                    self.version if self._settled(now) else 0,
                ),
            )
            return None
        return None

    def _budget(
        self,
        now: float,
        sender: Incarnation,
        message: BudgetDrawRequest | BudgetDrawResponse | BudgetReserveRequest | BudgetReserveResponse,
    ) -> None:
        limit, one = self.limit_of(message.key), self.shards[message.shard_id]
        if limit is None or limit.of is not CountedUnit.BUDGET:
            return self._note("unknown limit")
        if isinstance(message, BudgetDrawResponse):
            return self.budget_account.drawn(sender[0], message)
        if isinstance(message, BudgetReserveRequest):
            given = self.lease_voter.given[message.shard_id]
            if given.to != sender or given.epoch != message.epoch or self.grant_holder.retired:
                return self._note("fenced")  # whoever it promised since has been told what was written then
            self._out.append(PersistThenSend(sender[0], self.budget_journal.reserve(message)))
            return None
        if isinstance(message, BudgetDrawRequest) and sender[0] in self.voters:
            one.asked_at = now
        if one.ledger is None or not one.election.has(now):
            return self._note("not keeper")
        if isinstance(message, BudgetReserveResponse):
            one.ledger.chest.written(sender[0], message)
        elif sender[0] in self.voters:
            drawn, reserve = one.ledger.chest.draw(sender, message, limit, one.election.epoch)
            if reserve is not None:
                for name in sorted(self.voters):
                    self._tell(now, name, reserve)
            if drawn is not None:
                self._tell(now, sender[0], drawn)
        return None

    def _granted(self, now: float, grants: GrantResponse) -> None:
        if (
            grants.epoch < self.lease_voter.given[grants.shard_id].epoch
        ):  # of a keeper whose successor we have told what we hold
            return self._note("fenced")
        if grants.settled_version == self.version and not self.grant_holder.settled:
            self.grant_holder.adopt(self.limits, True)
        if not self.grant_holder.granted(
            now, grants.shard_id, grants.sequence_number, grants.duration_ms, grants.amounts
        ):
            self._note("late grant")
            return None
        return None

    # Out.

    def _tell(self, now: float, name: str, message: LimitMessage) -> None:
        if name == self.self_id[0]:
            self._hear(now, self.self_id, message)
        elif name:
            self._out.append(SendMessage(name, message))

    def _note(self, what: str, text: str = "") -> None:
        self._out.append(CountEvent(what, text))

    def _done(self) -> list[LimitEffect]:
        out, self._out = self._out, []
        return out
