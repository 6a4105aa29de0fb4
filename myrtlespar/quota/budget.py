"""Budgets: an amount a period (a day) that holds over restarts, of one member or of all at once.

Three parts, all counting up only, so that any message may be lost, doubled or late. A member's **purse** draws from
the keeper of the key's range and spends; what it has and does not spend before it ends is lost to that period, so it
draws for some seconds only and gives back what lies idle. The keeper's **chest** hands out no more than it has
reserved. Each member's **vault** writes the reserved total down before it agrees, and a reservation counts once a
majority agreed. A new keeper starts from the greatest total that a majority tells, so nothing is handed out twice.

    spent in a period, by the clocks of those who spend, over all members and lives <= reserved <= the budget
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from myrtlespar.quota.grant_holder import ADMITTED, AdmissionCheck
from myrtlespar.quota.lease import Incarnation
from myrtlespar.quota.messages import BudgetDrawRequest, BudgetDrawResponse, BudgetReserveRequest, BudgetReserveResponse
from myrtlespar.quota.settings import GrantSettings, Limit
from myrtlespar.quota.usage_windows import UsageWindow

AHEAD_S = 1.0  # of its demand a member has in hand
AHEAD = 2  # times what is short a keeper reserves at once, and at least a hundredth of the budget
BudgetPeriod = tuple[str, int]  # a key, and the number of a period


def period(limit: Limit, wall_ms: float) -> int:
    """Which one it is by this Unix time."""
    return int(wall_ms // limit.period_ms)


@dataclass(slots=True)
class BudgetBalance:
    """What one member has of one entry, all counted up: got, given back, spent."""

    limit: Limit
    tries: UsageWindow
    got: int = 0
    back: int = 0
    spent: int = 0
    keeper: str = ""  # who answered last, under which epoch, and what was given back to it
    epoch: int = 0
    back_there: int = 0
    left: int = -1  # of the whole budget, as the keeper said last; -1: not known
    wanted_at: float = 0.0

    @property
    def free(self) -> int:
        """What may be spent."""
        return self.got - self.back - self.spent


class BudgetAccount:
    """One member's pockets. They are kept for the period: a pocket that was lost could be filled twice."""

    def __init__(self, terms: GrantSettings) -> None:
        self.terms = terms
        self.pockets: dict[BudgetPeriod, BudgetBalance] = {}
        self._latest: dict[str, int] = {}  # period of each limit: a clock that is set back opens none again

    def pocket(self, wall_ms: float, key: str, limit: Limit) -> BudgetBalance:
        """That of a key's present period."""
        name = key.partition("/")[0]
        number = self._latest[name] = max(period(limit, wall_ms), self._latest.get(name, 0))
        found = self.pockets.get((key, number))
        if found is None:
            found = self.pockets[key, number] = BudgetBalance(limit, UsageWindow(self.terms.waited(1000)))
        return found

    def look(self, now: float, wall_ms: float, key: str, limit: Limit, ahead: int, again: bool) -> AdmissionCheck:
        """Whether one may be spent behind so many that wait; unless it asks `again`, it counts as demand."""
        one = self.pocket(wall_ms, key, limit)
        one.wanted_at = now
        if not again:
            one.tries.add(now)
        if one.free > ahead:
            return ADMITTED
        after = limit.period_ms - wall_ms % limit.period_ms if one.left == 0 else 2.0 * self.terms.ask_ms
        return AdmissionCheck(False, max(1.0, after), one.got - one.back, one.spent, one.free, 0.0)

    def draws(self, now: float) -> list[BudgetDrawRequest]:
        """What is to be asked of keepers now: more where it runs short, and what lies idle back."""
        out = []
        for (key, number), one in list(self.pockets.items()):
            if number < self._latest[key.partition("/")[0]]:
                del self.pockets[key, number]
                continue
            idle = now - one.wanted_at > self.terms.cold_ms
            if idle and one.free > 0 and one.epoch:
                one.back_there += one.free
                one.back += one.free
            want = 0 if idle else max(0, math.ceil(one.tries.look(now) * AHEAD_S) - max(0, one.free))
            if want or (one.back_there and now - one.wanted_at < 2 * self.terms.cold_ms):
                out.append(BudgetDrawRequest(0, key, number, one.got, one.epoch, one.back_there, want))
        return out

    def drawn(self, by: str, answer: BudgetDrawResponse) -> None:
        """A keeper's answer: what this life has got in all."""
        one = self.pockets.get((answer.key, answer.period))
        if one is None:
            return
        one.got = max(one.got, answer.drawn_total)
        one.left = answer.remaining
        if (answer.epoch, by) > (one.epoch, one.keeper):  # what was given back to another is lost
            one.keeper, one.epoch, one.back_there = by, answer.epoch, 0


class BudgetJournal:
    """What an elector wrote down: the greatest total that was reserved of each entry. It is on the disk before any
    answer that tells it.
    """

    def __init__(self, rows: Mapping[BudgetPeriod, int] | None = None) -> None:
        self.rows: dict[BudgetPeriod, int] = dict(rows or {})

    def reserve(self, ask: BudgetReserveRequest) -> BudgetReserveResponse:
        """Write it down. The answer tells what is written, once it is on the disk."""
        entry = ask.key, ask.period
        total = max(ask.reserved_total, self.rows.get(entry, 0))
        if total:
            self.rows[entry] = total
        return BudgetReserveResponse(ask.shard_id, ask.epoch, ask.key, ask.period, total)

    def forget(self, limits: Mapping[str, Limit], wall_ms: float) -> None:
        """Drop entries that are over for all clocks."""
        for entry in list(self.rows):
            limit = limits.get(entry[0].partition("/")[0])
            if limit is None or entry[1] < period(limit, wall_ms) - 1:
                del self.rows[entry]


@dataclass(slots=True)
class DrawnTotals:
    """What the keeper has given one life and got back from it, all counted up."""

    given: int
    back: int = 0


@dataclass(slots=True)
class BudgetEntry:
    """One entry as its keeper has it. Nothing is handed out before a majority told what is written down of it."""

    told: set[str] = field(default_factory=set)
    known: bool = False
    reserved: int = 0  # agreed by a majority
    asking: int = 0  # a greater total that is being asked for
    agreed: set[str] = field(default_factory=set)
    handed: int = 0  # what an earlier keeper reserved counts as handed out
    lives: dict[Incarnation, DrawnTotals] = field(default_factory=dict)


class BudgetAllocator:
    """A keeper's entries of one range, for one lease."""

    def __init__(self, electors: frozenset[str]) -> None:
        self.electors, self.need = electors, len(electors) // 2 + 1
        self.stores: dict[BudgetPeriod, BudgetEntry] = {}

    def draw(
        self, by: Incarnation, ask: BudgetDrawRequest, limit: Limit, epoch: int
    ) -> tuple[BudgetDrawResponse | None, BudgetReserveRequest | None]:
        """A member draws: the answer, and what all electors are to write down first."""
        store = self.stores.setdefault((ask.key, ask.period), BudgetEntry())
        if not store.known:
            return None, BudgetReserveRequest(ask.shard_id, epoch, ask.key, ask.period, 0)
        one = store.lives.setdefault(by, DrawnTotals(ask.drawn_total))
        one.given = max(one.given, ask.drawn_total)  # a late answer of an earlier keeper: that is counted as handed out
        if ask.epoch == epoch and ask.returned_total > one.back:  # it is free for others
            store.handed -= ask.returned_total - one.back
            one.back = ask.returned_total
        want = ask.wanted if ask.drawn_total == one.given else 0  # else it has not heard yet what it was given last
        more = max(0, min(want, store.reserved - store.handed))
        one.given += more
        store.handed += more
        reserve = None
        if more < want and store.reserved < limit.amount:
            ahead = max(AHEAD * (want - more), limit.amount // 100)
            store.asking = min(limit.amount, max(store.asking, store.reserved + ahead))
            store.agreed = set()
            reserve = BudgetReserveRequest(ask.shard_id, epoch, ask.key, ask.period, store.asking)
        left = max(0, limit.amount - store.handed)
        return BudgetDrawResponse(ask.shard_id, epoch, ask.key, ask.period, one.given, left), reserve

    def written(self, by: str, answer: BudgetReserveResponse) -> None:
        """What an elector has written down of an entry, which is true whoever asked for it."""
        store = self.stores.get((answer.key, answer.period))
        if store is None or by not in self.electors:
            return
        if not store.known:
            store.told.add(by)
            store.reserved = store.handed = max(store.reserved, answer.reserved_total)
            store.known = len(store.told) >= self.need
        elif answer.reserved_total >= store.asking > store.reserved:
            store.agreed.add(by)
            if len(store.agreed) >= self.need:
                store.reserved = store.asking

    def forget(self, current: Mapping[str, int]) -> None:
        """Drop entries of periods that are over; `current` tells each limit's period."""
        for entry in [entry for entry in self.stores if entry[1] < current.get(entry[0].partition("/")[0], 0) - 1]:
            del self.stores[entry]
