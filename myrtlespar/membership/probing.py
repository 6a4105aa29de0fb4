"""Probes in hand, help given to others' probes, round-trip times and local health."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from random import Random

from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.membership.view import View

PROBES_MOST = 256  # in hand at a time, those made for others included


class Timers:
    """What is due when. Entries are never withdrawn: whoever takes one looks whether it still holds."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, str, str | int]] = []
        self._count = 0

    def put(self, at: float, kind: str, key: str | int = "") -> None:
        """Something is due at this time."""
        self._count += 1
        heappush(self._heap, (at, self._count, kind, key))

    def next(self) -> float:
        """When the next one is due."""
        return self._heap[0][0] if self._heap else float("inf")

    def due(self, now: float) -> Iterator[tuple[str, str | int]]:
        """Take those that are due by now, in order; those put meanwhile wait for the next turn."""
        last = self._count
        while self._heap and self._heap[0][0] <= now and self._heap[0][1] <= last:
            _, _, kind, key = heappop(self._heap)
            yield kind, key

    def shift(self, by: float) -> None:
        """Everything is due later."""
        self._heap = [(at + by, count, kind, key) for at, count, kind, key in self._heap]
        heapify(self._heap)


@dataclass(slots=True)
class Probe:
    """One probe of ours, or one made for `origin`."""

    target: str
    sent: float
    direct_by: float
    reply_by: float
    asked: int = 0  # members that were asked to help
    nacks: int = 0  # of them, those that said they heard nothing
    origin: str = ""  # the address of who asked for it
    origin_seq: int = 0
    helped: bool = False  # others told of its answer; a direct one may still come


@dataclass(slots=True)
class Suspicion:
    """One suspected member: who accuses it, and when that becomes a failure."""

    started: float
    accusers: set[str]
    deadline: float = 0.0

    def wait(self, terms: MembershipSettings, size: int) -> float:
        """From the longest to the shortest wait as independent accusers come, by the logarithm of their number."""
        most = min(terms.accusers, max(size - 2, 0))  # beside the first one
        share = min(1.0, math.log(len(self.accusers)) / math.log(most + 1)) if most else 1.0
        return terms.suspect_max_ms - (terms.suspect_max_ms - terms.suspect_min_ms) * share


class Prober:
    """Whom to probe, how long to wait."""

    def __init__(self, terms: MembershipSettings, dice: Random) -> None:
        self.terms, self.dice = terms, dice
        self.probes: dict[int, Probe] = {}
        self.busy: set[str] = set()  # targets of our own probes
        self.quick: dict[str, None] = {}  # to be probed before their turn
        self.health = 0  # 0 is well; each step makes our probes wait once more as long
        self.seq = 0
        self.rtt: dict[str, tuple[float, float]] = {}  # by site: smoothed round trip, its spread

    def better(self) -> None:
        """A probe of ours was answered."""
        self.health = max(0, self.health - 1)

    def worse(self) -> None:
        """A sign that it is we who are slow or cut off."""
        self.health = min(self.terms.health_most, self.health + 1)

    def begin(self, target: str, site: str, now: float, origin: str = "", origin_seq: int = 0) -> int:
        """A new probe; its number."""
        self.seq += 1
        slow = 1 + self.health
        direct = self.direct_ms(site) * (1 if origin else slow)
        reply = self.reply_ms(site) * (1 if origin else slow)
        self.probes[self.seq] = Probe(target, now, now + direct, now + reply, origin=origin, origin_seq=origin_seq)
        if not origin:
            self.busy.add(target)
            self.quick.pop(target, None)
        return self.seq

    def end(self, seq: int) -> Probe | None:
        """It is over."""
        probe = self.probes.pop(seq, None)
        if probe is not None and not probe.origin and not probe.helped:
            self.busy.discard(probe.target)
        return probe

    def full(self) -> bool:
        """Guards memory and bandwidth against requests to probe for others."""
        return len(self.probes) >= PROBES_MOST

    def shift(self, by: float) -> None:
        """All waits end later."""
        for probe in self.probes.values():
            probe.direct_by += by
            probe.reply_by += by

    def direct_ms(self, site: str) -> float:
        """How long a direct answer may take: the smoothed round trip and four times its spread, within bounds."""
        mean, spread = self.rtt.get(site, (self.terms.direct_min_ms, 0.0))
        return min(max(mean + 4 * spread + 5, self.terms.direct_min_ms), self.terms.direct_max_ms)

    def reply_ms(self, site: str) -> float:
        """How long a probe may take in all: longer where round trips are."""
        mean, spread = self.rtt.get(site, (0.0, 0.0))
        return min(max(2 * (mean + 4 * spread), self.terms.reply_ms), 3 * self.terms.reply_ms)

    def measure(self, site: str, ms: float) -> None:
        """One round trip."""
        mean, spread = self.rtt.get(site, (ms, ms / 2))
        spread += (abs(ms - mean) - spread) / 4
        self.rtt[site] = mean + (ms - mean) / 8, spread

    def want(self, name: str) -> None:
        """Probe it before its turn."""
        if len(self.quick) < 64 and name not in self.busy:  # more wait for their turn
            self.quick.setdefault(name)

    def targets(self, view: View) -> list[str]:
        """Whom to probe in this period: the stalest, and up to `burst` that we want to look at before their turn."""
        out: list[str] = []
        for name in list(self.quick):
            if len(out) == self.terms.burst:
                break
            del self.quick[name]
            if name in view.all and name not in self.busy:
                out.append(name)
        turn = view.stalest(self.dice, self.busy.union(out) if out else self.busy)
        return [*out, turn] if turn else out

    def helpers(self, view: View, target: str, site: str, own_site: str) -> list[str]:
        """Who may reach it if we can't: one of our site, one of its site, the others by chance, of other sites
        where there are any, so that one broken pair of sites leaves one that sees both.
        """
        without = {target}
        out: list[str] = []
        others = [pool for key, pool in view.sites.items() if key not in (site, own_site) and len(pool)]
        self.dice.shuffle(others)
        mine = [view.sites[key] for key in dict.fromkeys((site, own_site)) if key in view.sites]
        for pool in [*others[: max(1, self.terms.relays - 2)], *mine, view.all, view.all]:
            if len(out) == self.terms.relays:
                break
            out += pool.some(self.dice, 1, frozenset(without))[:1]
            without.update(out)
        return out
