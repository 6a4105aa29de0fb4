"""Spreading by a bounded budget: what is new rides on every packet a few times, the least told first."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from heapq import nsmallest

from myrtlespar.membership.messages import MemberState, MemberUpdate, ReachabilityRow
from myrtlespar.membership.settings import MembershipSettings

MOST = 512  # statements waiting to be told; the most told ones make room


class TokenBucket:
    """So many tokens a second, at most two seconds' worth saved up."""

    def __init__(self, per_s: float, now: float) -> None:
        self.per_ms, self.most = per_s / 1000.0, 2 * per_s
        self.tokens, self.at = self.most, now

    def take(self, now: float) -> bool:
        """Whether there was one to spend."""
        self.tokens = min(self.most, self.tokens + (now - self.at) * self.per_ms)
        self.at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True)
class PendingUpdate:
    """One statement on its way."""

    rumour: MemberUpdate
    since: float
    times: int = 0


class Dissemination:
    """Statements to tell, newest version of each subject only."""

    def __init__(self, terms: MembershipSettings) -> None:
        self.terms = terms
        self._told: dict[str, PendingUpdate] = {}  # by subject, and accuser if there is one
        self._rows: dict[str, tuple[int, ReachabilityRow]] = {}

    def put(self, rumour: MemberUpdate, now: float) -> None:
        """Tell this from now on, in place of what was told of the same member (an accuser's word stands by itself)."""
        accused = rumour.state == MemberState.SUSPECT
        label = f"{rumour.name}\0{rumour.accuser}" if accused else rumour.name
        if not accused:
            for other in [key for key in self._told if key.startswith(rumour.name + "\0")]:
                del self._told[other]
        elif rumour.name in self._told:
            del self._told[rumour.name]
        self._told[label] = PendingUpdate(rumour, now)
        if len(self._told) > MOST:  # guards memory against a storm of changes
            del self._told[max(self._told, key=lambda key: self._told[key].times)]

    def put_row(self, row: ReachabilityRow) -> None:
        """Tell a reach row."""
        self._rows[row.reporter] = (0, row)

    def clear(self) -> None:
        """Tell nothing of what waits."""
        self._told.clear()
        self._rows.clear()

    def __len__(self) -> int:
        return len(self._told) + len(self._rows)

    def times(self, n: int) -> int:
        """How often each statement is told by one member."""
        return math.ceil(self.terms.repeat * math.log2(n + 1))

    def pick(
        self, now: float, n: int, room: int, first: Iterable[MemberUpdate] = ()
    ) -> tuple[tuple[MemberUpdate, ...], tuple[ReachabilityRow, ...]]:
        """What rides on the next packet, `room` bytes of it at the most: `first`, then the least told, `carry` in
        all, each told at most `times`.
        """
        out = list(first)
        room -= sum(weight(rumour) for rumour in out)
        told = self._told
        if told:
            most = self.times(n)
            for label in nsmallest(self.terms.carry - len(out), told, key=lambda label: told[label].times):
                entry = told[label]
                room -= weight(entry.rumour)
                if room < 0:
                    break
                out.append(aged(entry.rumour, now - entry.since))
                entry.times += 1
                if entry.times >= most:
                    del told[label]
        rows: tuple[ReachabilityRow, ...] = ()
        if self._rows and len(out) < self.terms.carry:
            by = min(self._rows, key=lambda key: self._rows[key][0])
            count, row = self._rows[by]
            if row_weight(row) <= room:
                rows = (row,)
                if count + 1 >= self.times(n):
                    del self._rows[by]
                else:
                    self._rows[by] = (count + 1, row)
        return tuple(out), rows


def weight(rumour: MemberUpdate) -> int:
    """Its bytes in a packet at the most: its texts, each with a length, and numbers of nine bytes."""
    return 38 + len(rumour.name) + len(rumour.site) + len(rumour.address) + len(rumour.accuser)


def row_weight(row: ReachabilityRow) -> int:
    """The same of a reach row."""
    return 24 + len(row.reporter) + sum(len(name) + 4 for name, _ in row.unreachable)


def aged(rumour: MemberUpdate, by_ms: float) -> MemberUpdate:
    """The same with older evidence."""
    if by_ms < 1:
        return rumour
    return MemberUpdate(
        rumour.name,
        rumour.site,
        rumour.address,
        rumour.incarnation,
        rumour.refutation,
        rumour.state,
        min(rumour.age_ms + int(by_ms), 2**31),
        rumour.accuser,
    )
