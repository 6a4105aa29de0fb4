"""The plans of the explorer: which runs are explored, in which worlds."""

from __future__ import annotations

from dataclasses import dataclass

from myrtlespar.model_checker.quota.world_settings import (
    BOUNDED_LIMIT,
    BUDGET_LIMIT,
    CONCURRENCY_LIMIT,
    LIMIT_BEFORE_LOWERING,
    LIMIT_BEFORE_RAISING,
    LOWERED_LIMIT,
    RAISED_LIMIT,
    RATE_LIMIT,
    WorldSettings,
)

FAULT_SPAN_MS = 500.0  # time within which the first fault happens, and each further one after the one before
ALL_KINDS = frozenset(("packets", "crash", "stop", "cut", "part", "believe", "demand"))
FAST = 1.02  # rate of the fastest permitted clock
SLOW = 0.98  # rate of the slowest permitted clock
SETTINGS = {
    "true": WorldSettings(),
    "drift": WorldSettings(clock_rates=(SLOW, FAST, 1.0)),
    "drift back": WorldSettings(clock_rates=(FAST, SLOW, SLOW)),
    "loose": WorldSettings(BOUNDED_LIMIT),
    "hand": WorldSettings(CONCURRENCY_LIMIT),
    "hand drift": WorldSettings(CONCURRENCY_LIMIT, (SLOW, FAST, 1.0)),
    "engine": WorldSettings(RATE_LIMIT, (SLOW, FAST, 1.0), engine=True),
    "engine hand": WorldSettings(CONCURRENCY_LIMIT, (FAST, SLOW, 1.0), engine=True),
    "budget": WorldSettings(BUDGET_LIMIT, (SLOW, FAST, 1.0)),
    "lowered": WorldSettings(LIMIT_BEFORE_LOWERING, (SLOW, FAST, 1.0), later_limit=LOWERED_LIMIT),
    "raised": WorldSettings(LIMIT_BEFORE_RAISING, (SLOW, FAST, 1.0), later_limit=RAISED_LIMIT),
}


@dataclass(frozen=True, slots=True)
class Plan:
    """The explored runs: those with up to `max_faults` faults of these kinds, in worlds with these `SETTINGS`."""

    name: str
    max_faults: int
    first_fault_interval: int = 1  # the first fault may happen at each multiple of so many steps
    later_fault_interval: int = 1  # the same for each later fault, counted from the fault before
    settings: tuple[str, ...] = ("true", "drift", "drift back", "loose", "hand", "hand drift")
    span_ms: float = FAULT_SPAN_MS
    first_kinds: frozenset[str] = frozenset()  # kinds of the first fault, if they differ from `kinds`
    kinds: frozenset[str] = ALL_KINDS

    def kinds_at(self, faults_left: int) -> frozenset[str]:
        """Return the kinds of the next fault, given how many faults may still happen."""
        return self.first_kinds if self.first_kinds and faults_left == self.max_faults else self.kinds

    def step_interval(self, faults_left: int) -> int:
        """Return the interval in steps for the next fault, given how many faults may still happen."""
        return self.first_fault_interval if faults_left == self.max_faults else self.later_fault_interval


PLANS = {
    plan.name: plan
    for plan in (
        Plan("sample", 1, first_fault_interval=37),
        Plan("single", 1, first_fault_interval=4),
        Plan("every", 1),
        Plan("quick", 2, first_fault_interval=31, later_fault_interval=71, settings=("drift",)),
        Plan("double", 2, first_fault_interval=11, later_fault_interval=23, settings=("true", "drift", "hand")),
        Plan(
            "keepers",
            2,
            first_fault_interval=5,
            later_fault_interval=11,
            settings=("drift",),
            kinds=frozenset(("crash", "stop", "believe")),
        ),
        Plan(
            "lives",
            2,
            first_fault_interval=5,
            later_fault_interval=9,
            settings=("hand", "true"),
            kinds=frozenset(("crash", "sleep")),
        ),
        Plan(
            "fence",
            2,
            first_fault_interval=3,
            later_fault_interval=3,
            settings=("true",),
            kinds=frozenset(("sleep",)),
            first_kinds=frozenset(("late",)),
        ),
        Plan(
            "shifts",
            2,
            first_fault_interval=4,
            later_fault_interval=1,
            settings=("drift",),
            span_ms=1100.0,
            kinds=frozenset(("late",)),
            first_kinds=frozenset(("long quiet",)),
        ),
        Plan(
            "leases",
            2,
            first_fault_interval=3,
            later_fault_interval=5,
            settings=("true",),
            kinds=frozenset(("part", "sleep")),
            first_kinds=frozenset(("late",)),
        ),
        Plan(
            "voters",
            2,
            first_fault_interval=5,
            later_fault_interval=7,
            settings=("drift",),
            kinds=frozenset(("crash",)),
            first_kinds=frozenset(("shun",)),
        ),
        Plan(
            "changes",
            2,
            first_fault_interval=7,
            later_fault_interval=9,
            settings=("lowered", "raised"),
            span_ms=1000.0,
            kinds=frozenset(("crash", "part", "believe", "sleep")),
            first_kinds=frozenset(("change",)),
        ),
        Plan(
            "engine",
            2,
            first_fault_interval=7,
            later_fault_interval=13,
            settings=("engine", "engine hand"),
            kinds=frozenset(("crash", "stop", "believe", "away")),
        ),
        Plan(
            "budgets",
            2,
            first_fault_interval=17,
            later_fault_interval=13,
            settings=("budget",),
            span_ms=900.0,
            kinds=frozenset(("crash", "outage", "stop", "believe", "part")),
        ),
        Plan(
            "newer",
            1,
            first_fault_interval=23,
            settings=("budget", "engine", "engine hand"),
            kinds=frozenset(("crash", "outage", "stop", "believe", "part", "away", "packets")),
        ),
        Plan(
            "written",
            2,
            first_fault_interval=5,
            later_fault_interval=3,
            settings=("budget",),
            span_ms=300.0,
            kinds=frozenset(("crash",)),
            first_kinds=frozenset(("cut",)),
        ),
        Plan("triples", 3, first_fault_interval=37, later_fault_interval=61, settings=("drift back",)),
    )
}
