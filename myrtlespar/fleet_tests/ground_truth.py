"""What was true when: who ran, which links held. Built from what the starter (or the emulator) did, not from what
members say. Times are milliseconds from the start of a run.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from myrtlespar.fault_proxy.faults import ActiveFaults, FaultRule


@dataclass(frozen=True, slots=True)
class FaultAction:
    """Something done: up, down, pause, resume, left, rule_on or rule_off."""

    at: float
    kind: str
    name: str = ""
    number: int = 0
    rule: FaultRule | None = None


@dataclass(slots=True)
class TruthInterval:
    """What held from `at` until the next moment. Members that the same rules name are one kind: links are those of
    kinds, so that a moment of thousands of members is small.
    """

    at: float
    running: frozenset[str]  # members that ran and were not stopped
    left: frozenset[str]
    kind: Mapping[str, int]  # of each of `well`
    size: list[int]  # members of each kind
    reliable: list[list[bool]]  # between kinds: good both ways
    all_links_good: bool  # no link that is not cut loses or delays so much that refutations are common
    reachable: list[list[bool]]  # between kinds: some chain of links that are not cut leads from one to the other

    def linked(self, a: str, b: str) -> bool:
        """Both run, and hear one another directly or through one other member, over firm links."""
        if a not in self.running or b not in self.running:
            return False
        one, two = self.kind[a], self.kind[b]
        return self.reliable[one][two] or any(
            self.reliable[one][third] and self.reliable[third][two] and count > (third == one) + (third == two)
            for third, count in enumerate(self.size)
        )

    def apart(self, a: str, b: str) -> bool:
        """`a` runs, and `b` does not, or no chain of members leads there or none leads back."""
        if a not in self.running:
            return False
        if b not in self.running:
            return True
        one, two = self.kind[a], self.kind[b]
        return not (self.reachable[one][two] and self.reachable[two][one])


class GroundTruth:
    """The moments of one run."""

    def __init__(self, members: Sequence[str], deeds: Iterable[FaultAction], end: float, short_ms: float) -> None:
        """Stops (SIGSTOP) of at most `short_ms` count as none: nobody may notice them."""
        self.members, self.end = tuple(members), end
        self.actions = _without_short_stops(sorted(deeds, key=lambda deed: deed.at), short_ms)
        self.intervals: list[TruthInterval] = []
        self._build()
        self._times = [moment.at for moment in self.intervals]

    def _build(self) -> None:
        up, stopped, left, faults = set[str](), set[str](), set[str](), ActiveFaults()
        at = 0.0
        for n, deed in enumerate(self.actions):
            if deed.kind == "up":
                up.add(deed.name)
                left.discard(deed.name)
                stopped.discard(deed.name)
            elif deed.kind in ("down", "left"):
                up.discard(deed.name)
                stopped.discard(deed.name)
                if deed.kind == "left":
                    left.add(deed.name)
            elif deed.kind == "pause":
                stopped.add(deed.name)
            elif deed.kind == "resume":
                stopped.discard(deed.name)
            elif deed.kind == "rule_on" and deed.rule is not None:
                faults.put(deed.number, deed.rule)
            else:
                faults.drop(deed.number)
            at = deed.at
            if n + 1 == len(self.actions) or self.actions[n + 1].at > at:
                self.intervals.append(self._moment(at, up - stopped, left, faults))

    def _moment(self, at: float, well: set[str], left: set[str], faults: ActiveFaults) -> TruthInterval:
        rules = list(faults.rules.values())
        labels: dict[tuple[tuple[bool, bool], ...], int] = {}
        kind = {
            name: labels.setdefault(tuple((name in r.first, name in r.second) for r in rules), len(labels))
            for name in sorted(well)
        }
        size, some = [0] * len(labels), [""] * len(labels)
        for name, number in kind.items():
            size[number] += 1
            some[number] = name
        kinds = range(len(labels))
        # A rule holds between two members by what it says of their kinds, also within one kind.
        links = [[faults.link(some[one], some[two]) for two in kinds] for one in kinds]
        firm = [[links[one][two].is_reliable and links[two][one].is_reliable for two in kinds] for one in kinds]
        way = [[not links[one][two].cut and (one != two or size[one] > 1) for two in kinds] for one in kinds]
        for mid in kinds:
            for one in kinds:
                if way[one][mid]:
                    for two in kinds:
                        way[one][two] = way[one][two] or way[mid][two]
        good = all(link.cut or link.is_good for row in links for link in row)
        return TruthInterval(at, frozenset(well), frozenset(left), kind, size, firm, good, way)

    def spans(self, holds: object) -> list[tuple[float, float]]:
        """The longest spans in which `holds(moment)` is true."""
        assert callable(holds)
        out: list[tuple[float, float]] = []
        for n, moment in enumerate(self.intervals):
            until = self.intervals[n + 1].at if n + 1 < len(self.intervals) else self.end
            if holds(moment):
                if out and out[-1][1] == moment.at:
                    out[-1] = (out[-1][0], until)
                else:
                    out.append((moment.at, until))
        return out

    def between(self, start: float, end: float) -> list[TruthInterval]:
        """All moments that held at some time in [start, end]."""
        first = max(0, bisect_right(self._times, start) - 1)
        return self.intervals[first : bisect_right(self._times, end)]


def _without_short_stops(deeds: list[FaultAction], short_ms: float) -> list[FaultAction]:
    out: list[FaultAction] = []
    stops: dict[str, FaultAction] = {}
    for deed in deeds:
        if deed.kind == "resume" and deed.name in stops:
            stop = stops.pop(deed.name)
            if deed.at - stop.at <= short_ms:
                out.remove(stop)
                continue
        if deed.kind == "pause":
            stops[deed.name] = deed
        out.append(deed)
    return out
