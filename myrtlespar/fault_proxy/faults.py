"""What becomes of a packet on each directed link while faults are in force. Pure; the dice are handed in."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from random import Random

SERVICES = ("store", "roster", "kernel", "engine")  # what members talk to beside one another
FIRM_DROP, FIRM_MS = 0.2, 200.0  # a link that loses or delays more promises nothing either way
GOOD_DROP, GOOD_MS = 0.1, 130.0  # up to these, members hardly suspect one another


@dataclass(frozen=True, slots=True)
class FaultRule:
    """One fault on all directed links from `first` to `second` (and back unless `one_way`), names resolved."""

    first: frozenset[str]
    second: frozenset[str]
    one_way: bool = False
    cut: bool = False
    drop: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0

    def holds(self, a: str, b: str) -> bool:
        """Whether it is in force from a to b."""
        return (a in self.first and b in self.second) or (not self.one_way and b in self.first and a in self.second)


@dataclass(frozen=True, slots=True)
class LinkFaults:
    """The sum of all rules on one directed link. Times in ms, the rest probabilities."""

    cut: bool = False
    drop: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0

    @property
    def is_reliable(self) -> bool:
        """Good enough for promises."""
        return not self.cut and self.drop <= FIRM_DROP and self.delay_ms + self.jitter_ms <= FIRM_MS

    @property
    def is_good(self) -> bool:
        """Good enough that nobody who runs has to refute often."""
        return self.drop <= GOOD_DROP and self.delay_ms + self.jitter_ms <= GOOD_MS

    def delays_ms(self, dice: Random) -> list[float]:
        """The delay of each copy that arrives; none if it is lost. One that is reordered comes after what was sent
        within 20 ms and all jitter of it.
        """
        if self.cut or (self.drop and dice.random() < self.drop):
            return []
        out = []
        for _ in range(2 if self.duplicate and dice.random() < self.duplicate else 1):
            delay = self.delay_ms + (self.jitter_ms * dice.random() if self.jitter_ms else 0.0)
            if self.reorder and dice.random() < self.reorder:
                delay += 20.0 + self.jitter_ms
            out.append(delay)
        return out


NO_FAULTS = LinkFaults()


class ActiveFaults:
    """The rules in force, and what they make of each link."""

    def __init__(self) -> None:
        self.rules: dict[int, FaultRule] = {}
        self._known: dict[tuple[str, str], LinkFaults] = {}

    def put(self, number: int, rule: FaultRule) -> None:
        """A rule comes into force."""
        self.rules[number] = rule
        self._known.clear()

    def drop(self, number: int) -> None:
        """A rule ends."""
        self.rules.pop(number, None)
        self._known.clear()

    def link(self, a: str, b: str) -> LinkFaults:
        """The directed link from a to b as it is now."""
        if not self.rules:
            return NO_FAULTS
        known = self._known.get((a, b))
        if known is None:
            known = self._known[a, b] = combine([rule for rule in self.rules.values() if rule.holds(a, b)])
        return known


def combine(rules: Sequence[FaultRule]) -> LinkFaults:
    """Losses and copies by chance add up as independent ones, delays as they are."""
    kept, single, ordered = 1.0, 1.0, 1.0
    for rule in rules:
        kept, single, ordered = kept * (1 - rule.drop), single * (1 - rule.duplicate), ordered * (1 - rule.reorder)
    return LinkFaults(
        any(rule.cut for rule in rules),
        1 - kept,
        sum(rule.delay_ms for rule in rules),
        sum(rule.jitter_ms for rule in rules),
        1 - single,
        1 - ordered,
    )


def members_named(name: str, sites: Mapping[str, Sequence[str]]) -> frozenset[str] | None:
    """The members (or the service) that a name of the fault script means; None if it means nothing."""
    if name == "all":
        return frozenset(member for row in sites.values() for member in row)
    if name in SERVICES:
        return frozenset((name,))
    if name.startswith("site "):
        row = sites.get(name[5:].strip())
        return frozenset(row) if row is not None else None
    return frozenset((name,)) if any(name in row for row in sites.values()) else None
