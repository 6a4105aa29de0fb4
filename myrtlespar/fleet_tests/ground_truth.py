"""The ground truth of a run: which members ran and which links worked, at each time.

It is derived from the actions of the launcher or the simulation, not from what members log. Times are milliseconds
from the start of a run.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from myrtlespar.fault_proxy.faults import ActiveFaults, FaultRule, LinkFaults

Matrix = list[list[bool]]  # [sender's kind][receiver's kind]; TruthInterval explains kinds


@dataclass(frozen=True, slots=True)
class FaultAction:
    """One action of the launcher or the simulation.

    Attributes:
        at: When it was done, in ms.
        kind: `up`, `down`, `pause`, `resume`, `left`, `rule_on` or `rule_off`.
        name: The member; empty for a rule.
        number: Identifies a rule from `rule_on` to `rule_off`.
        rule: The fault on links of `rule_on`.
    """

    at: float
    kind: str
    name: str = ""
    number: int = 0
    rule: FaultRule | None = None


@dataclass(slots=True)
class TruthInterval:
    """The state of members and links from `at` until the next interval.

    Members that the same fault rules name on the same side are of one kind, as their links behave alike. Links are
    stored by kinds, not by members, to keep an interval of thousands of members small.
    """

    at: float
    running: frozenset[str]  # members whose process ran and was not paused
    left: frozenset[str]  # members that ended gracefully
    kinds: Mapping[str, int]  # the kind of each running member
    counts: list[int]  # the number of running members of each kind
    reliable: Matrix  # loss and delay are, both ways, within the bounds for which membership makes promises
    all_links_good: bool  # each link is cut, or loses and delays too little for refutations to be common
    reachable: Matrix  # there is a path over links that are not cut

    def linked(self, first: str, second: str) -> bool:
        """Return whether both members run and reach each other over reliable links, directly or through one other."""
        if first not in self.running or second not in self.running:
            return False
        first_kind = self.kinds[first]
        second_kind = self.kinds[second]
        return self.reliable[first_kind][second_kind] or any(
            self.reliable[first_kind][middle]
            and self.reliable[middle][second_kind]
            and count > (middle == first_kind) + (middle == second_kind)  # a member other than these two has that kind
            for middle, count in enumerate(self.counts)
        )

    def apart(self, observer: str, member: str) -> bool:
        """Return whether a running observer should believe the member gone.

        This is so if the member is down, or if no path leads from one to the other in at least one direction.

        If the only links between the two are lossy, the observer may believe either, and both `linked` and `apart`
        are false.
        """
        if observer not in self.running:
            return False
        if member not in self.running:
            return True
        observer_kind = self.kinds[observer]
        member_kind = self.kinds[member]
        return not (self.reachable[observer_kind][member_kind] and self.reachable[member_kind][observer_kind])


class GroundTruth:
    """The intervals of one run, ordered by time."""

    def __init__(self, members: Sequence[str], actions: Iterable[FaultAction], end: float, short_ms: float) -> None:
        """Derive the intervals from the actions; all times are ms from the start of the run.

        Pauses (SIGSTOP) of at most `short_ms` are ignored: members must not be declared failed for them.
        """
        self.members = tuple(members)
        self.end = end
        self.actions = _without_short_pauses(sorted(actions, key=lambda action: action.at), short_ms)
        self.intervals = _intervals(self.actions)
        self._starts = [interval.at for interval in self.intervals]

    def spans(self, holds: Callable[[TruthInterval], bool]) -> list[tuple[float, float]]:
        """Return the longest time spans in which `holds(interval)` is true, as (start, end)."""
        spans: list[tuple[float, float]] = []
        for index, interval in enumerate(self.intervals):
            end = self.intervals[index + 1].at if index + 1 < len(self.intervals) else self.end
            if holds(interval):
                if spans and spans[-1][1] == interval.at:
                    spans[-1] = (spans[-1][0], end)
                else:
                    spans.append((interval.at, end))
        return spans

    def between(self, start: float, end: float) -> list[TruthInterval]:
        """Return the intervals that overlap [start, end]."""
        first = max(0, bisect_right(self._starts, start) - 1)
        return self.intervals[first : bisect_right(self._starts, end)]


class _FleetState:
    """The state of members and links after the actions applied so far."""

    def __init__(self) -> None:
        self.up: set[str] = set()
        self.paused: set[str] = set()
        self.left: set[str] = set()
        self.faults = ActiveFaults()

    def apply(self, action: FaultAction) -> None:
        """Apply one action."""
        if action.kind == "up":
            self.up.add(action.name)
            self.left.discard(action.name)
            self.paused.discard(action.name)
        elif action.kind in ("down", "left"):
            self.up.discard(action.name)
            self.paused.discard(action.name)
            if action.kind == "left":
                self.left.add(action.name)
        elif action.kind == "pause":
            self.paused.add(action.name)
        elif action.kind == "resume":
            self.paused.discard(action.name)
        elif action.kind == "rule_on" and action.rule is not None:
            self.faults.add_rule(action.number, action.rule)
        else:
            self.faults.remove_rule(action.number)

    def interval(self, at: float) -> TruthInterval:
        """Return the interval that begins at this time with the present state."""
        running = self.up - self.paused
        kinds = self._kinds(running)
        count = max(kinds.values(), default=-1) + 1
        counts = [0] * count
        examples = [""] * count
        for name, kind in kinds.items():
            counts[kind] += 1
            examples[kind] = name
        # Whether a rule applies to a link depends only on the kinds of its two ends, also for ends of the same kind.
        links = [[self.faults.link(first, second) for second in examples] for first in examples]
        return TruthInterval(
            at,
            frozenset(running),
            frozenset(self.left),
            kinds,
            counts,
            [[links[a][b].is_reliable and links[b][a].is_reliable for b in range(count)] for a in range(count)],
            all(link.cut or link.is_good for row in links for link in row),
            _reachable(links, counts),
        )

    def _kinds(self, running: set[str]) -> dict[str, int]:
        """Return the number of each member's kind; members that the same rules name on the same side share one."""
        rules = list(self.faults.rules.values())
        numbers: dict[tuple[tuple[bool, bool], ...], int] = {}
        kinds = {}
        for name in sorted(running):
            sides = tuple((name in rule.first, name in rule.second) for rule in rules)
            kinds[name] = numbers.setdefault(sides, len(numbers))
        return kinds


def _reachable(links: list[list[LinkFaults]], counts: list[int]) -> Matrix:
    """Return the kinds between which there is a path over links that are not cut (the transitive closure)."""
    kinds = range(len(counts))
    reachable = [[not links[a][b].cut and (a != b or counts[a] > 1) for b in kinds] for a in kinds]
    for middle in kinds:
        for a in kinds:
            if reachable[a][middle]:
                for b in kinds:
                    reachable[a][b] = reachable[a][b] or reachable[middle][b]
    return reachable


def _intervals(actions: Sequence[FaultAction]) -> list[TruthInterval]:
    state = _FleetState()
    intervals: list[TruthInterval] = []
    for index, action in enumerate(actions):
        state.apply(action)
        is_last_of_its_time = index + 1 == len(actions) or actions[index + 1].at > action.at
        if is_last_of_its_time:
            intervals.append(state.interval(action.at))
    return intervals


def _without_short_pauses(actions: list[FaultAction], short_ms: float) -> list[FaultAction]:
    kept: list[FaultAction] = []
    pauses: dict[str, FaultAction] = {}
    for action in actions:
        if action.kind == "resume" and action.name in pauses:
            pause = pauses.pop(action.name)
            if action.at - pause.at <= short_ms:
                kept.remove(pause)
                continue
        if action.kind == "pause":
            pauses[action.name] = action
        kept.append(action)
    return kept
