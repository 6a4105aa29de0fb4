"""What happens to a packet on each directed link while faults are in force. No I/O; callers pass the random source."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from random import Random

# Services that members connect to, by their names in fault scripts: the dependency, the service registry, the execution
# engine, and etcd, which stores the leases of fleet limits.
SERVICES = ("store", "roster", "kernel", "engine")
# Membership guarantees nothing about a link that loses or delays more than the MAX_RELIABLE bounds. Within the MAX_GOOD
# bounds, healthy members hardly ever suspect each other.
MAX_RELIABLE_DROP = 0.2
MAX_RELIABLE_DELAY_MS = 200.0
MAX_GOOD_DROP = 0.1
MAX_GOOD_DELAY_MS = 130.0
REORDER_MS = 20.0  # a reordered packet is delayed by this plus the link's jitter, so that later packets overtake it


@dataclass(frozen=True, slots=True)
class FaultRule:
    """One fault on all directed links from `first` to `second`, and from `second` to `first` unless `one_way`.

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
        """Return whether the rule applies to the directed link from `sender` to `recipient`."""
        forward = sender in self.first and recipient in self.second
        backward = not self.one_way and recipient in self.first and sender in self.second
        return forward or backward


@dataclass(frozen=True, slots=True)
class LinkFaults:
    """Combined faults of all rules on one directed link. Times are in ms, other numbers are probabilities."""

    cut: bool = False
    drop: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0

    @property
    def is_reliable(self) -> bool:
        """Whether the guarantees of membership cover the link: not cut, and within the MAX_RELIABLE bounds."""
        return (
            not self.cut and self.drop <= MAX_RELIABLE_DROP and self.delay_ms + self.jitter_ms <= MAX_RELIABLE_DELAY_MS
        )

    @property
    def is_good(self) -> bool:
        """Whether the link is within the MAX_GOOD bounds, where healthy members hardly ever suspect each other."""
        return self.drop <= MAX_GOOD_DROP and self.delay_ms + self.jitter_ms <= MAX_GOOD_DELAY_MS

    def delays_ms(self, random: Random) -> list[float]:
        """Return the delay (ms) of each copy of one packet; an empty list if the packet is lost."""
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
    """The rules in force, by number, and the faults that they combine to on each link."""

    def __init__(self) -> None:
        self.rules: dict[int, FaultRule] = {}
        self._links: dict[tuple[str, str], LinkFaults] = {}  # by sender and recipient; cleared when rules change

    def add_rule(self, number: int, rule: FaultRule) -> None:
        """Put a rule into force; `number` identifies it for `remove_rule`."""
        self.rules[number] = rule
        self._links.clear()

    def remove_rule(self, number: int) -> None:
        """End a rule; nothing happens if none with this number is in force."""
        self.rules.pop(number, None)
        self._links.clear()

    def link(self, sender: str, recipient: str) -> LinkFaults:
        """Return the faults now in force on the directed link from `sender` to `recipient`."""
        if not self.rules:
            return NO_FAULTS
        faults = self._links.get((sender, recipient))
        if faults is None:
            faults = combine([rule for rule in self.rules.values() if rule.applies(sender, recipient)])
            self._links[sender, recipient] = faults
        return faults


def combine(rules: Sequence[FaultRule]) -> LinkFaults:
    """Combine rules on one link: probabilities as those of independent events, delays by addition."""
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
    """Return the members or the service that a name in a fault script stands for; None if the name is unknown."""
    if name == "all":
        return frozenset(member for members in sites.values() for member in members)
    if name in SERVICES:
        return frozenset((name,))
    if name.startswith("site "):
        site = sites.get(name.removeprefix("site ").strip())
        return frozenset(site) if site is not None else None
    return frozenset((name,)) if any(name in members for members in sites.values()) else None
