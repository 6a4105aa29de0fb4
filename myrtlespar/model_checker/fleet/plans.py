"""The plans of the explorer: which runs are explored."""

from __future__ import annotations

from dataclasses import dataclass

# Kinds of faults; "losses" are lost packets, "packets" are duplicated and delayed ones.
ALL_KINDS = frozenset(("losses", "packets", "crash", "cut", "stop", "leave"))


@dataclass(frozen=True, slots=True)
class Plan:
    """The number and kinds of faults in a run, and the steps at which they may happen."""

    name: str
    max_faults: int  # greatest number of faults in one run
    kinds: frozenset[str] = ALL_KINDS
    later_fault_interval: int = 1  # a later fault may happen at each multiple of so many steps after the one before
    first_fault_interval: int = 1  # the first fault may happen at each multiple of so many steps


PLANS = {
    plan.name: plan
    for plan in (
        Plan("single", 1),
        Plan("quick", 2, later_fault_interval=47, first_fault_interval=41),
        Plan("double", 2, later_fault_interval=23, first_fault_interval=17),
        Plan("pairs", 2, later_fault_interval=4, first_fault_interval=2),
        Plan("full", 2),
        Plan("deaf", 2, frozenset(("cut", "stop")), later_fault_interval=2, first_fault_interval=5),
        Plan("late", 2, frozenset(("losses", "stop")), later_fault_interval=3, first_fault_interval=7),
        Plan("triples", 3, later_fault_interval=29, first_fault_interval=23),
    )
}
