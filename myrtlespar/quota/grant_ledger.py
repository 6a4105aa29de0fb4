"""A keeper's book for one range: what each holder may have in use of each key, and how the rest is divided.

Over all holders the greatest amounts that may be in use never add up to more than the pool. An entry ends a linger
after its grant lapsed, or after its holder said that it took a later one.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from myrtlespar.quota.budget import BudgetAllocator
from myrtlespar.quota.lease import Incarnation
from myrtlespar.quota.messages import KeyDemand
from myrtlespar.quota.settings import GrantSettings, Limit

FIRM = 0.8  # of its average is a holder's part while there is not enough for all


@dataclass(slots=True)
class HolderGrant:
    """What one holder may have in use of one key: rows of (ask, amount, when it is free again)."""

    want: int = 0
    peak: int = 0
    asked_at: float = 0.0
    no: int = 0
    rows: list[list[float]] = field(default_factory=list)

    def out(self, now: float) -> int:
        """The most that may be in use."""
        if self.rows and any(row[2] <= now for row in self.rows):
            self.rows = [row for row in self.rows if row[2] > now]
        return int(max((row[1] for row in self.rows), default=0))


def divide(pool: int, wants: Mapping[Incarnation, int]) -> dict[Incarnation, int]:
    """Max-min fair whole parts: nobody gets more than it wants, and nobody less than another who got more."""
    out = dict.fromkeys(wants, 0)
    left, open_ = pool, sorted(wants, key=lambda life: (wants[life], life))
    while open_ and left > 0:
        each, rest = divmod(left, len(open_))
        life = open_[0]
        if wants[life] <= each:
            out[life] = wants[life]
            left -= wants[life]
            open_.pop(0)
            continue
        for n, one in enumerate(open_):  # none of them has all it wants: the rest goes one by one
            out[one] = each + (n < rest)
        break
    return out


def _due(pool: int, asking: Mapping[Incarnation, HolderGrant]) -> dict[Incarnation, int]:
    """Everybody's part. While not all can have what they use on average, whoever uses little has a little less: of a
    few starts a window, what is there for the average lies fallow half of the time. What is left over goes to the
    averages first, and then to what swings.
    """
    due = dict.fromkeys(asking, 0)
    rounds = (
        [int(FIRM * one.want) for one in asking.values()],
        [one.want for one in asking.values()],
        [one.peak for one in asking.values()],
    )
    for wants in rounds:
        left = pool - sum(due.values())
        if left <= 0:
            break
        more = divide(left, {life: max(0, want - due[life]) for life, want in zip(asking, wants, strict=True)})
        for life, part in more.items():
            due[life] += part
    return due


class GrantLedger:
    """One range under one lease."""

    def __init__(self, terms: GrantSettings, since: float, voters: frozenset[str]) -> None:
        self.terms, self.since = terms, since
        self.unknown = set(voters)  # electors that have not told all they hold
        self.keys: dict[str, dict[Incarnation, HolderGrant]] = {}
        self.chest = BudgetAllocator(voters)  # of budgets

    def known_at(self, limit: Limit) -> float:
        """When whatever an earlier keeper granted is over, told or not."""
        return self.since + self.terms.waited(self.terms.grant_ms + limit.linger_ms)

    def told(
        self,
        now: float,
        by: Incarnation,
        whole: bool,
        holds: tuple[tuple[str, int], ...],
        limit_of: Mapping[str, Limit],
    ) -> None:
        """An elector tells what it holds. Only what it told first counts: later ones know our own grants."""
        if by[0] not in self.unknown:
            return
        if whole:
            self.unknown.discard(by[0])
        for key, amount in holds:
            limit = limit_of.get(key)
            if limit is not None and amount > 0:
                part = self.keys.setdefault(key, {}).setdefault(by, HolderGrant())
                part.rows.append([0, amount, now + self.terms.waited(self.terms.grant_ms + limit.linger_ms)])

    def ask(self, now: float, by: Incarnation, no: int, want: KeyDemand, limit: Limit, pool: int) -> int | None:
        """What this holder may use from now on, None for an old ask."""
        parts = self.keys.setdefault(want.key, {})
        part = parts.setdefault(by, HolderGrant())
        if no <= part.no:
            return None
        part.no, part.want, part.asked_at = no, max(0, min(want.want, pool)), now
        part.peak = max(part.want, min(want.peak, pool))
        self._took(part, want)
        others = sum(one.out(now) for life, one in parts.items() if life != by)
        free = pool - others
        if limit.kind.value == "strict" and self.unknown and now < self.known_at(limit):
            # what those who have not told may hold is not known: only what this one had already
            free = part.out(now) if by[0] not in self.unknown else 0
        late = now - 4 * self.terms.ask_ms
        asking = {life: one for life, one in parts.items() if one.asked_at >= late}
        amount = max(0, min(_due(pool, asking)[by], free))
        lapse = now + self.terms.waited(self.terms.grant_ms) + self.terms.waited(limit.linger_ms)
        if part.rows and part.rows[-1][1] == amount and part.rows[-1][0]:
            part.rows[-1][0], part.rows[-1][2] = no, lapse
        elif amount or part.rows:
            part.rows.append([no, amount, lapse])
        return amount

    def _took(self, part: HolderGrant, want: KeyDemand) -> None:
        """It took the answer to that ask, so no earlier one may be used any more. What it has in use is told: starts
        in the last window, or runs in hand, that an earlier grant let in; they never grow beyond what it took.
        """
        if not any(row[0] == want.acknowledged for row in part.rows):
            return
        part.rows = [row for row in part.rows if row[0] >= want.acknowledged]
        for row in part.rows:
            if row[0] == want.acknowledged:
                row[1] = max(row[1], want.in_flight)

    def outstanding(self, now: float, key: str) -> int:
        """What may be in use of a key."""
        return sum(part.out(now) for part in self.keys.get(key, {}).values())

    def forget(self, now: float) -> None:
        """Drop holders and keys of which nothing is out or wanted."""
        late = now - self.terms.cold_ms
        for key, parts in list(self.keys.items()):
            for life in [life for life, part in parts.items() if part.asked_at < late and not part.out(now)]:
                del parts[life]
            if not parts:
                del self.keys[key]
