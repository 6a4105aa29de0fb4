"""What one member believes of all: the greatest statement about each name, with the age of the evidence."""

from __future__ import annotations

import hashlib
from collections.abc import Container, Iterator, Sequence
from dataclasses import dataclass
from random import Random

from myrtlespar.membership.messages import HERE, MemberState, MemberUpdate, ReachabilityRow, UpdatePrecedence

MOST = 16384  # members kept in one view; more are counted and left out
WINDOW = 1024  # of a sender's packets: one told twice, or older than this many, is dropped


@dataclass(slots=True)
class MemberEntry:
    """One other member. Times are the driver's monotonic milliseconds."""

    update: MemberUpdate
    since: float  # when it came to this state here
    evidence: float  # when the freshest evidence of this state was made
    heard: float = float("-inf")  # last packet from itself
    answered: float = float("-inf")  # last answer of itself to a probe of ours, both ways proven
    probed: float = float("-inf")  # our last probe of it began
    boot: int = 0  # of its packets
    top: int = 0  # highest number of its packets
    seen: int = 0  # the WINDOW before it, as bits
    missed: int = 0  # direct probes in a row that went unanswered while helpers' were not
    missing: float = 0.0  # since when

    @property
    def here(self) -> bool:
        """Alive or suspect."""
        return self.update.state in HERE

    def fresh(self, boot: int, no: int) -> bool:
        """Whether a packet is new: not replayed, not of an earlier boot. It is marked as seen."""
        if boot != self.boot:
            if boot < self.boot:
                return False
            self.boot, self.top, self.seen = boot, no, 1
            return True
        if no > self.top:
            self.seen = (self.seen << min(no - self.top, WINDOW) | 1) & (1 << WINDOW) - 1
            self.top = no
            return True
        back = self.top - no
        if back >= WINDOW or self.seen >> back & 1:
            return False
        self.seen |= 1 << back
        return True


def stamp(name: str, key: UpdatePrecedence) -> int:
    """One entry's share of a view's hash; suspicion is local and passing, so it counts as alive."""
    state = MemberState.ALIVE if key[2] == MemberState.SUSPECT else key[2]
    data = f"{name}\0{key[0]}\0{key[1]}\0{int(state)}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def row_stamp(row: ReachabilityRow | None) -> int:
    """A reach row's share of a view's hash; one that names nothing counts as none."""
    if row is None or not row.unreachable:
        return 0
    data = f"{row.reporter}\0{row.incarnation}\0{row.version}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


class SampledSet:
    """Names to pick from by chance, each step in constant time."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._at: dict[str, int] = {}

    def add(self, name: str) -> None:
        """Put it in, once."""
        if name not in self._at:
            self._at[name] = len(self._names)
            self._names.append(name)

    def discard(self, name: str) -> None:
        """Take it out; the last one takes its place."""
        at = self._at.pop(name, None)
        if at is not None:
            last = self._names.pop()
            if last != name:
                self._names[at], self._at[last] = last, at

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, name: object) -> bool:
        return name in self._at

    def __iter__(self) -> Iterator[str]:
        return iter(self._names)

    def some(self, dice: Random, count: int, without: frozenset[str] = frozenset()) -> list[str]:
        """At most so many different ones."""
        if count >= len(self._names):
            return [name for name in self._names if name not in without]
        out: list[str] = []
        for _ in range(4 * count):  # bounded; a few picks fewer do no harm
            name = self._names[int(dice.random() * len(self._names))]
            if name not in without and name not in out:
                out.append(name)
                if len(out) == count:
                    break
        return out


class View:
    """All members known to one, oneself included through `hash` only."""

    def __init__(self, me: str) -> None:
        self.me = me
        self.entries: dict[str, MemberEntry] = {}
        self.hash = 0
        self.gone = SampledSet()  # the failed ones
        self.all = SampledSet()  # those here
        self.sites: dict[str, SampledSet] = {}  # the same by site
        self.addresses: dict[str, str] = {}  # address: the name last known there
        self.own: UpdatePrecedence | None = None

    def set_self(self, key: UpdatePrecedence) -> None:
        """One's own life is part of the hash."""
        if self.own is not None:
            self.hash ^= stamp(self.me, self.own)
        self.own = key
        self.hash ^= stamp(self.me, key)

    def put(self, rumour: MemberUpdate, now: float) -> MemberEntry:
        """Take a greater statement over."""
        entry = self.entries.get(rumour.name)
        if entry is None:
            entry = self.entries[rumour.name] = MemberEntry(rumour, now, now - rumour.age_ms)
        else:
            self.hash ^= stamp(rumour.name, entry.update.precedence)
            if entry.update.state != rumour.state:
                entry.since = now
            if entry.update.site != rumour.site:
                self.sites[entry.update.site].discard(rumour.name)
            if entry.update.address != rumour.address and self.addresses.get(entry.update.address) == rumour.name:
                del self.addresses[entry.update.address]
            entry.update, entry.evidence = rumour, now - rumour.age_ms
        self.hash ^= stamp(rumour.name, rumour.precedence)
        self.addresses[rumour.address] = rumour.name
        self._file(rumour)
        return entry

    def fill(self, rumours: Sequence[MemberUpdate], now: float, hash: int) -> None:
        """Begin with all of these alive, oneself left out; `hash` is that of all of them, oneself included. For models
        of large fleets that have been together for long.
        """
        for rumour in rumours:
            if rumour.name != self.me:
                self.entries[rumour.name] = MemberEntry(rumour, now, now)
                self.addresses[rumour.address] = rumour.name
                self.all.add(rumour.name)
                self.sites.setdefault(rumour.site, SampledSet()).add(rumour.name)
        self.hash = hash

    def _file(self, rumour: MemberUpdate) -> None:
        name, site = rumour.name, self.sites.setdefault(rumour.site, SampledSet())
        if rumour.state in HERE:
            self.all.add(name)
            site.add(name)
        else:
            self.all.discard(name)
            site.discard(name)
        (self.gone.add if rumour.state == MemberState.FAILED else self.gone.discard)(name)

    def drop(self, name: str) -> MemberEntry:
        """Forget one."""
        entry = self.entries.pop(name)
        self.hash ^= stamp(name, entry.update.precedence)
        if self.addresses.get(entry.update.address) == name:
            del self.addresses[entry.update.address]
        for pool in (self.all, self.gone, *self.sites.values()):
            pool.discard(name)
        return entry

    def proven(self, name: str, now: float) -> None:
        """It answered us: it is probed last from now on."""
        entry = self.entries[name]
        entry.answered = entry.evidence = now

    def stalest(self, dice: Random, busy: Container[str]) -> str | None:
        """Of three picked by chance that are not being probed, the one least recently probed. Chance keeps the
        members' turns apart: in one common order all would probe one member at once, and then none for long.
        """
        some = [name for name in self.all.some(dice, 3) if name not in busy] or [
            name for name in self.all if name not in busy
        ][:3]
        return min(some, key=lambda name: self.entries[name].probed) if some else None
