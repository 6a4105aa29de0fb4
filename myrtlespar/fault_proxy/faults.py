"""What happens to a packet on each directed link while faults are in force. Pure: the random source is handed in."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from random import Random

# What members connect to beside each other, as the script names it: the dependency, the service registry, the execution
# engine, and etcd with the leases of fleet limits.
SERVICES = ("store", "roster", "kernel", "engine")
MAX_RELIABLE_DROP = 0.2  # nothing is promised about a link that loses or delays more than this
MAX_RELIABLE_DELAY_MS = 200.0
MAX_GOOD_DROP = 0.1  # up to these, members hardly ever suspect each other
MAX_GOOD_DELAY_MS = 130.0
REORDER_MS = 20.0  # a reordered packet comes after what was sent within this time, and after all jitter of that


@dataclass(frozen=True, slots=True)
class FaultRule:
    """One fault on all directed links from `first` to `second` (and back unless `one_way`).

    Both are sets of members or services, not names of sites. Probabilities are from 0 to 1, times in milliseconds.
    """

    first: frozenset[str]
    second: frozenset[str]
    one_way: bool = False
    cut: bool = False
    drop: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0

    def applies(self, sender: str, recipient: str) -> bool:
        """Whether it is in force from `sender` to `recipient`."""
        forth = sender in self.first and recipient in self.second
        back = not self.one_way and recipient in self.first and sender in self.second
        return forth or back


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
        """Whether the promises of membership cover the link: not cut, and within the MAX_RELIABLE bounds."""
        return (
            not self.cut and self.drop <= MAX_RELIABLE_DROP and self.delay_ms + self.jitter_ms <= MAX_RELIABLE_DELAY_MS
        )

    @property
    def is_good(self) -> bool:
        """Whether the link is within the MAX_GOOD bounds, where healthy members hardly ever suspect each other."""
        return self.drop <= MAX_GOOD_DROP and self.delay_ms + self.jitter_ms <= MAX_GOOD_DELAY_MS

    def delays_ms(self, random: Random) -> list[float]:
        """The delay (ms) of each copy of one packet; an empty list if the packet is lost."""
        if self.cut or (self.drop and random.random() < self.drop):
            return []
        delays = []
        for _ in range(2 if self.duplicate and random.random() < self.duplicate else 1):
            delay = self.delay_ms + (self.jitter_ms * random.random() if self.jitter_ms else 0.0)
            if self.reorder and random.random() < self.reorder:
                delay += REORDER_MS + self.jitter_ms
            delays.append(delay)
        return delays


NO_FAULTS = LinkFaults()


class ActiveFaults:
    """The rules in force, by number, and what they make of each link."""

    def __init__(self) -> None:
        self.rules: dict[int, FaultRule] = {}
        self._links: dict[tuple[str, str], LinkFaults] = {}  # computed since the last change

    def add_rule(self, number: int, rule: FaultRule) -> None:
        """Put a rule into force; `number` identifies it for `remove_rule`."""
        self.rules[number] = rule
        self._links.clear()

    def remove_rule(self, number: int) -> None:
        """End a rule; nothing happens if it is not in force."""
        self.rules.pop(number, None)
        self._links.clear()

    def link(self, sender: str, recipient: str) -> LinkFaults:
        """The directed link from `sender` to `recipient` as it is now."""
        if not self.rules:
            return NO_FAULTS
        faults = self._links.get((sender, recipient))
        if faults is None:
            faults = combine([rule for rule in self.rules.values() if rule.applies(sender, recipient)])
            self._links[sender, recipient] = faults
        return faults


def combine(rules: Sequence[FaultRule]) -> LinkFaults:
    """The sum of rules on one link: probabilities combine as independent ones, delays add up."""
    delivered = 1.0
    not_duplicated = 1.0
    in_order = 1.0
    for rule in rules:
        delivered *= 1 - rule.drop
        not_duplicated *= 1 - rule.duplicate
        in_order *= 1 - rule.reorder
    return LinkFaults(
        cut=any(rule.cut for rule in rules),
        drop=1 - delivered,
        delay_ms=sum(rule.delay_ms for rule in rules),
        jitter_ms=sum(rule.jitter_ms for rule in rules),
        duplicate=1 - not_duplicated,
        reorder=1 - in_order,
    )


def members_named(name: str, sites: Mapping[str, Sequence[str]]) -> frozenset[str] | None:
    """The members (or the service) that a name of the fault script stands for; None if it stands for nothing."""
    if name == "all":
        return frozenset(member for members in sites.values() for member in members)
    if name in SERVICES:
        return frozenset((name,))
    if name.startswith("site "):
        site = sites.get(name.removeprefix("site ").strip())
        return frozenset(site) if site is not None else None
    return frozenset((name,)) if any(name in members for members in sites.values()) else None
