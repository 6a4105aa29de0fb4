"""The plans that the explorer can run."""

from __future__ import annotations

from dataclasses import dataclass

ALL_KINDS = frozenset(("losses", "packets", "crash", "cut", "stop", "leave"))


@dataclass(frozen=True, slots=True)
class Plan:
    """How many faults a run has, of which kinds, and at which steps they are tried."""

    name: str
    deep: int  # faults of a run
    kinds: frozenset[str] = ALL_KINDS
    every: int = 1  # the second and later faults at each so-many-th step
    first: int = 1  # the first fault at each so-many-th step


PLANS = {
    plan.name: plan
    for plan in (
        Plan("single", 1),
        Plan("quick", 2, every=47, first=41),
        Plan("double", 2, every=23, first=17),
        Plan("pairs", 2, every=4, first=2),
        Plan("full", 2),
        Plan("deaf", 2, frozenset(("cut", "stop")), every=2, first=5),
        Plan("late", 2, frozenset(("losses", "stop")), every=3, first=7),
        Plan("triples", 3, every=29, first=23),
    )
}
