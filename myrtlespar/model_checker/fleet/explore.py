"""Visits every run with at most so many faults, each through to the calm behind it, and judges it there."""

from __future__ import annotations

import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

from myrtlespar.membership.messages import PRESENT_STATES, MemberState
from myrtlespar.membership.quorum import QuorumStatus, quorum_status
from myrtlespar.model_checker.fleet.world import FAULTS_MS, HOP_MS, NAMES, TERMS, WARM_MS, Fault, World, begin, faults

STEPS_MOST = 20_000  # of one run; more is a machine that does not come to rest
ALL = frozenset(("losses", "packets", "crash", "cut", "stop", "leave"))


@dataclass(frozen=True, slots=True)
class Plan:
    """`deep` faults a run, of these kinds, the second and later ones at each `every`-th step only."""

    name: str
    deep: int
    kinds: frozenset[str] = ALL
    every: int = 1
    first: int = 1  # the first one at each so-many-th step


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


@dataclass(slots=True)
class Found:
    """What was visited, and the first run with a broken promise."""

    runs: int = 0
    steps: int = 0
    longest: int = 0  # steps of one run
    seconds: float = 0.0
    whole: bool = True
    fell: list[str] = field(default_factory=list)
    path: list[tuple[float, Fault]] = field(default_factory=list)

    def add(self, other: Found) -> None:
        """Count another's in."""
        self.runs, self.steps = self.runs + other.runs, self.steps + other.steps
        self.longest, self.whole = max(self.longest, other.longest), self.whole and other.whole
        if other.fell and not self.fell:
            self.fell, self.path = other.fell, other.path


def calm(world: World) -> None:
    """On by default until all that was promised must hold, and quorum_status it. Cuts are judged at their end as well."""
    n = len(NAMES)
    bound = TERMS.standing_ms(n)
    rest = max(bound, TERMS.heal_ms(n), TERMS.detect_ms(n)) + 300.0
    checked = -1.0
    while world.steps < STEPS_MOST:
        pending = any(kind not in ("packet", "ask", "reply") for _, _, kind, *_ in world.queue)
        if not pending and world.now > max(world.changed_at + rest, world.faults[-1][0] + rest):
            break
        if world.now > world.changed_at + bound and not world.stopped and checked != world.changed_at:
            checked = world.changed_at
            standings(world)
        world.go()
        if world.fell:
            return
    else:
        world.fall("a run comes to rest", f"not within {STEPS_MOST} steps")
        return
    standings(world)
    knowledge(world)


def linked(world: World, a: str, b: str) -> bool | None:
    """Whether both hear one another, directly or through the third. None: only round a circle of one-way links, where
    a member is suspected and refutes again and again, and no standing is promised.
    """
    third = next(name for name in NAMES if name not in (a, b))
    there = world.members[third] is not None and third not in world.gone

    def way(x: str, y: str) -> bool:
        return (x, y) not in world.cuts

    def both(x: str, y: str) -> bool:
        return way(x, y) and way(y, x)

    if both(a, b) or (there and both(a, third) and both(third, b)):
        return True
    path = [way(x, y) or (there and way(x, third) and way(third, y)) for x, y in ((a, b), (b, a))]
    return None if all(path) else False


def standings(world: World) -> None:
    """Each standing is right, and no two members that don't hear one another both claim a majority."""
    claims = []
    for name, member in world.members.items():
        if member is None or member.leaving:
            continue
        others = [
            linked(world, name, other)
            for other in NAMES
            if other != name and (there := world.members[other]) is not None and not there.leaving
        ]
        if None in others:
            continue
        here = sum(bool(one) for one in others)
        wanted, has = quorum_status(len(NAMES), here + 1, here), member.quorum.fleet.status
        if has != wanted:
            world.fall("a standing is right in time", f"{name} has {has.name}, should have {wanted.name}")
        if has >= QuorumStatus.MAJORITY:
            claims.append(name)
    for a in claims:
        for b in claims:
            if a < b and linked(world, a, b) is False:
                world.fall("two parts never both claim a majority", f"{a} and {b}")


def knowledge(world: World) -> None:
    """At rest, with all links whole: each knows all as they are, views are equal, nothing is left behind."""
    running = {name: member for name, member in world.members.items() if member is not None}
    for name, member in running.items():
        for other in NAMES:
            entry, there = member.view.entries.get(other), running.get(other)
            if other == name:
                continue
            if there is not None and (entry is None or entry.update.precedence != there.self_update.precedence):
                world.fall(
                    "all know who is there, in its present life", f"{name} has {entry and entry.update} of {other}"
                )
            if there is None and entry is not None and entry.update.state in PRESENT_STATES:
                world.fall("all know who is not there", f"{name} believes {other} here")
            if (
                there is None
                and other in world.gone
                and entry is not None
                and entry.update.state != MemberState.LEFT
                and world.lost == 0
                and len(world.faults) == 1
            ):
                world.fall("a goodbye is heard", f"{name} has {other} as {entry.update.state}")
        if member.suspicions.by_name:
            world.fall("nothing is left behind", f"{name} still suspects {sorted(member.suspicions.by_name)}")
        if len(member.outbox.dissemination) and len(member.view.present):
            world.fall("spreading ends", f"{name} still tells {len(member.outbox.dissemination)}")
        late = [p for p in member.prober.probes.values() if p.deadline < world.now - HOP_MS]
        if late:
            world.fall("nothing is left behind", f"{name} holds {len(late)} probes past their time")
        if member.prober.health and len(member.view.present):
            world.fall("who is well trusts itself again", f"{name} has health {member.prober.health}")
        if any(row.unreachable for row in member.reachability.rows.values()):
            world.fall("whole links are named whole", f"{name} has {member.reachability.rows}")
    if len({member.view.hash for member in running.values()}) > 1:
        world.fall("views at rest are equal", " ".join(sorted(running)))


def visit(world: World, plan: Plan, left: int, until: float) -> Found:
    """All runs from here: with no further fault, and with each further one at each further step."""
    out, step = Found(), 0
    while world.now < until and left:
        gap = plan.first if left == plan.deep else plan.every
        if step % gap == 0:
            for fault in faults(world, plan.kinds):
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
    return visit(world, plan, left - 1, world.now + FAULTS_MS) if left > 1 else finish(world)


def finish(world: World) -> Found:
    """One run to its end."""
    try:
        if not world.fell:
            calm(world)
    except (AssertionError, AttributeError, IndexError, KeyError, TypeError, ValueError) as error:
        world.fall("no machine fails", f"{type(error).__name__}: {error}")
    return Found(1, world.steps, world.steps, 0.0, True, world.fell, world.faults if world.fell else [])


_deadline = float("inf")


def _task(job: tuple[str, int, int, float]) -> Found:
    """The runs whose first fault comes in one share of the steps."""
    global _deadline
    name, share, shares, _deadline = job
    plan, world, out, step = PLANS[name], begin(), Found(), 0
    while world.now < WARM_MS + FAULTS_MS:
        if step % plan.first == 0:
            for number, fault in enumerate(faults(world, plan.kinds)):
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
    shares = jobs * 8
    for found in _results([(name, share, shares, began + seconds) for share in range(shares)], jobs):
        out.add(found)
        if out.fell:
            break
    out.seconds = time.monotonic() - began
    return out


def _results(work: list[tuple[str, int, int, float]], jobs: int) -> Iterator[Found]:
    if jobs == 1:
        yield from map(_task, work)
        return
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(_task, work)
        pool.shutdown(cancel_futures=True)
