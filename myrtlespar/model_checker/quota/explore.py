"""Visits every run with at most so many faults, each through to the calm behind it, and judges it all along."""

from __future__ import annotations

import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

from myrtlespar.model_checker.quota.faults import faults
from myrtlespar.model_checker.quota.world import (
    BUDGET,
    HAND,
    LESS,
    LOOSE,
    MORE,
    NAMES,
    RATE,
    WARM_MS,
    WAS,
    Fault,
    Setting,
    World,
    begin,
)

SPAN_MS = 500.0  # faults may come for so long, the second and later ones again for so long
CALM_MS = 3200.0  # behind the last fault's end
LAST_MS = 1600.0  # in which all must be well again
ALL = frozenset(("packets", "crash", "stop", "cut", "part", "believe", "demand"))
FAST, SLOW = 1.02, 0.98
SETTINGS = {
    "true": Setting(),
    "drift": Setting(rates=(SLOW, FAST, 1.0)),
    "drift back": Setting(rates=(FAST, SLOW, SLOW)),
    "loose": Setting(LOOSE),
    "hand": Setting(HAND),
    "hand drift": Setting(HAND, (SLOW, FAST, 1.0)),
    "engine": Setting(RATE, (SLOW, FAST, 1.0), engine=True),
    "engine hand": Setting(HAND, (FAST, SLOW, 1.0), engine=True),
    "budget": Setting(BUDGET, (SLOW, FAST, 1.0)),
    "lowered": Setting(WAS[LESS.amount], (SLOW, FAST, 1.0), later=LESS),
    "raised": Setting(WAS[MORE.amount], (SLOW, FAST, 1.0), later=MORE),
}


@dataclass(frozen=True, slots=True)
class Plan:
    """`deep` faults a run, the first at each `first`-th step, later ones at each `every`-th, in these settings."""

    name: str
    deep: int
    first: int = 1
    every: int = 1
    settings: tuple[str, ...] = ("true", "drift", "drift back", "loose", "hand", "hand drift")
    span_ms: float = SPAN_MS
    firsts: frozenset[str] = frozenset()  # kinds of the first fault, where they are others

    def at(self, left: int) -> frozenset[str]:
        """The kinds that may come while so many faults are left."""
        return self.firsts if self.firsts and left == self.deep else self.kinds

    kinds: frozenset[str] = ALL


PLANS = {
    plan.name: plan
    for plan in (
        Plan("sample", 1, first=37),
        Plan("single", 1, first=4),
        Plan("every", 1),
        Plan("quick", 2, first=31, every=71, settings=("drift",)),
        Plan("double", 2, first=11, every=23, settings=("true", "drift", "hand")),
        Plan("keepers", 2, first=5, every=11, settings=("drift",), kinds=frozenset(("crash", "stop", "believe"))),
        Plan("lives", 2, first=5, every=9, settings=("hand", "true"), kinds=frozenset(("crash", "sleep"))),
        Plan(
            "fence", 2, first=3, every=3, settings=("true",), kinds=frozenset(("sleep",)), firsts=frozenset(("late",))
        ),
        Plan(
            "shifts",
            2,
            first=4,
            every=1,
            settings=("drift",),
            span_ms=1100.0,
            kinds=frozenset(("late",)),
            firsts=frozenset(("long quiet",)),
        ),
        Plan(
            "leases",
            2,
            first=3,
            every=5,
            settings=("true",),
            kinds=frozenset(("part", "sleep")),
            firsts=frozenset(("late",)),
        ),
        Plan(
            "voters", 2, first=5, every=7, settings=("drift",), kinds=frozenset(("crash",)), firsts=frozenset(("shun",))
        ),
        Plan(
            "changes",
            2,
            first=7,
            every=9,
            settings=("lowered", "raised"),
            span_ms=1000.0,
            kinds=frozenset(("crash", "part", "believe", "sleep")),
            firsts=frozenset(("change",)),
        ),
        Plan(
            "engine",
            2,
            first=7,
            every=13,
            settings=("engine", "engine hand"),
            kinds=frozenset(("crash", "stop", "believe", "away")),
        ),
        Plan(
            "budgets",
            2,
            first=17,
            every=13,
            settings=("budget",),
            span_ms=900.0,
            kinds=frozenset(("crash", "outage", "stop", "believe", "part")),
        ),
        Plan(
            "newer",
            1,
            first=23,
            settings=("budget", "engine", "engine hand"),
            kinds=frozenset(("crash", "outage", "stop", "believe", "part", "away", "packets")),
        ),
        Plan(
            "written",
            2,
            first=5,
            every=3,
            settings=("budget",),
            span_ms=300.0,
            kinds=frozenset(("crash",)),
            firsts=frozenset(("cut",)),
        ),
        Plan("triples", 3, first=37, every=61, settings=("drift back",)),
    )
}


@dataclass(slots=True)
class Found:
    """What was visited, how near it came to the limit, and the first run with a broken promise."""

    runs: int = 0
    steps: int = 0
    longest: int = 0
    most: int = 0
    seconds: float = 0.0
    whole: bool = True
    fell: list[str] = field(default_factory=list)
    path: list[tuple[float, Fault]] = field(default_factory=list)

    def add(self, other: Found) -> None:
        """Count another's in."""
        self.runs, self.steps, self.most = self.runs + other.runs, self.steps + other.steps, max(self.most, other.most)
        self.longest, self.whole = max(self.longest, other.longest), self.whole and other.whole
        if other.fell and not self.fell:
            self.fell, self.path = other.fell, other.path


def calm(world: World) -> None:
    """On until all faults are over and forgotten, then all of the limit must be in use again."""
    while any(row[2] in ("start", "resume", "heal", "believe", "loud", "adopt") for row in world.queue):
        world.go()
        if world.fell:
            return
    end = world.now + CALM_MS
    while world.now < end - LAST_MS:
        world.go()
    before = sum(world.used.values())
    while world.now < end and not world.fell:
        world.go()
    if world.setting.limit.per_day is not None:
        return
    limit = world.setting.later or world.setting.limit
    used = (sum(world.used.values()) - before) / (LAST_MS / limit.linger_ms) / limit.amount
    if not world.fell and world.setting.later and used > 1.001:
        world.fell.append(f"the later number holds: {used:.2f} of it in use at the end")
    if not world.fell and used < 0.75:
        world.fell.append(f"all of it is in use again: {used:.2f} at the end")


def visit(world: World, plan: Plan, left: int, until: float) -> Found:
    """All runs from here: with no further fault, and with each further one at each further step."""
    out, step = Found(), 0
    while world.now < until and left:
        if step % (plan.first if left == plan.deep else plan.every) == 0:
            for fault in faults(world, plan.at(left)):
                out.add(follow(world.copy(), fault, plan, left))
                if out.fell or time.monotonic() > _deadline:
                    out.whole = out.whole and bool(out.fell)
                    return out
        world.go()
        step += 1
        if world.fell:
            break
    if world.faults:
        out.add(finish(world))
    return out


def follow(world: World, fault: Fault, plan: Plan, left: int) -> Found:
    """The runs that go on from this fault."""
    world.apply(fault)
    return visit(world, plan, left - 1, world.now + plan.span_ms) if left > 1 else finish(world)


def finish(world: World) -> Found:
    """One run to its end."""
    try:
        if not world.fell:
            calm(world)
    except (AssertionError, AttributeError, IndexError, KeyError, TypeError, ValueError) as error:
        world.fell.append(f"no machine fails: {type(error).__name__}: {error}")
    return Found(1, world.steps, world.steps, world.most, 0.0, True, world.fell, world.faults if world.fell else [])


_deadline = float("inf")


def _task(job: tuple[str, str, int, int, float]) -> Found:
    """The runs of one setting whose first fault comes in one share of the steps."""
    global _deadline
    name, setting, share, shares, until = job
    _deadline = until
    plan, out, step = PLANS[name], Found(), 0
    world = begin(SETTINGS[setting])
    while world.now < WARM_MS + plan.span_ms:
        if step % plan.first == 0:
            for number, fault in enumerate(faults(world, plan.at(plan.deep))):
                if (step * 31 + number) % shares == share:
                    out.add(follow(world.copy(), fault, plan, plan.deep))
                    if out.fell or time.monotonic() > _deadline:
                        out.whole = bool(out.fell)
                        return out
        world.go()
        step += 1
    return out


def explore(name: str, jobs: int, seconds: float) -> Found:
    """Visit all runs of a plan, or stop at the first broken promise or after so long."""
    began, out = time.monotonic(), Found()
    shares = jobs * 4
    work = [
        (name, setting, share, shares, began + seconds) for setting in PLANS[name].settings for share in range(shares)
    ]
    for found in _results(work, jobs):
        out.add(found)
        if out.fell:
            break
    out.seconds = time.monotonic() - began
    return out


def _results(work: list[tuple[str, str, int, int, float]], jobs: int) -> Iterator[Found]:
    if jobs == 1:
        yield from map(_task, work)
        return
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(_task, work)
        pool.shutdown(cancel_futures=True)


__all__ = ["NAMES", "PLANS", "RATE", "SETTINGS", "Found", "explore"]
