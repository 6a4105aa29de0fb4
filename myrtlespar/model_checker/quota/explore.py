"""Visits every run with at most so many faults, each through the calm after its last fault, and checks the promises."""

from __future__ import annotations

import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from typing import NamedTuple

from myrtlespar.model_checker.quota.events import EventKind
from myrtlespar.model_checker.quota.fault import Fault
from myrtlespar.model_checker.quota.faults import possible_faults
from myrtlespar.model_checker.quota.plans import PLANS, SETTINGS, Plan
from myrtlespar.model_checker.quota.world import World, begin
from myrtlespar.model_checker.quota.world_settings import WARM_UP_MS

CALM_MS = 3200.0  # after the end of the last fault
RECOVERED_MS = 1600.0  # the last part of the calm, in which the limit must be in use again
MIN_RECOVERED_USE = 0.75  # part of the limit
MAX_LATER_USE = 1.001  # part of the later limit, once all members have adopted it
SHARES_PER_JOB = 4  # so that no job is left with most of the work
UNFINISHED = frozenset(
    (EventKind.START, EventKind.RESUME, EventKind.HEAL, EventKind.BELIEVE, EventKind.LOUD, EventKind.ADOPT)
)  # events that end a fault
MACHINE_ERRORS = (AssertionError, AttributeError, IndexError, KeyError, TypeError, ValueError)


@dataclass(slots=True)
class Found:
    """What was visited, how near it came to the limit, and the first run with a broken promise."""

    runs: int = 0
    steps: int = 0
    longest: int = 0  # steps of the longest run
    most: int = 0  # in use at a time
    seconds: float = 0.0
    whole: bool = True  # whether all runs were visited, or one broke a promise
    fell: list[str] = field(default_factory=list)  # broken promises
    path: list[tuple[float, Fault]] = field(default_factory=list)  # the faults of that run

    def add(self, other: Found) -> None:
        """Add another result to this one."""
        self.runs += other.runs
        self.steps += other.steps
        self.most = max(self.most, other.most)
        self.longest = max(self.longest, other.longest)
        self.whole = self.whole and other.whole
        if other.fell and not self.fell:
            self.fell = other.fell
            self.path = other.path


class ExplorerJob(NamedTuple):
    """The runs of one plan in one of its settings whose first fault falls into one share of the steps."""

    plan: str
    settings: str
    share: int
    share_count: int
    deadline: float  # of `time.monotonic`


class Explorer:
    """Visits the runs of one job until a promise is broken or its time is over."""

    def __init__(self, job: ExplorerJob) -> None:
        self.job = job
        self.plan: Plan = PLANS[job.plan]

    def explore(self) -> Found:
        """Visit all runs of the job."""
        plan = self.plan
        found = Found()
        step = 0
        world = begin(SETTINGS[self.job.settings])
        while world.now < WARM_UP_MS + plan.span_ms:
            if step % plan.first == 0:
                for number, fault in enumerate(possible_faults(world, plan.kinds_at(plan.deep))):
                    if (step * 31 + number) % self.job.share_count != self.job.share:
                        continue
                    found.add(self._follow(world.copy(), fault, plan.deep))
                    if self._is_over(found):
                        found.whole = bool(found.fell)
                        return found
            world.step()
            step += 1
        return found

    def _is_over(self, found: Found) -> bool:
        return bool(found.fell) or time.monotonic() > self.job.deadline

    def _follow(self, world: World, fault: Fault, faults_left: int) -> Found:
        """Visit the runs that go on from this fault."""
        world.apply(fault)
        if faults_left > 1:
            return self._visit(world, faults_left - 1, world.now + self.plan.span_ms)
        return finish(world)

    def _visit(self, world: World, faults_left: int, until: float) -> Found:
        """Visit the run without further faults, and those with each further fault at each further step."""
        found = Found()
        step = 0
        while world.now < until and faults_left:
            if step % self.plan.step_interval(faults_left) == 0:
                for fault in possible_faults(world, self.plan.kinds_at(faults_left)):
                    found.add(self._follow(world.copy(), fault, faults_left))
                    if self._is_over(found):
                        found.whole = found.whole and bool(found.fell)
                        return found
            world.step()
            step += 1
            if world.violations:
                break
        if world.faults:
            found.add(finish(world))
        return found


def finish(world: World) -> Found:
    """Follow one run to its end."""
    try:
        if not world.violations:
            calm(world)
    except MACHINE_ERRORS as error:
        world.violations.append(f"no machine fails: {type(error).__name__}: {error}")
    return Found(
        runs=1,
        steps=world.steps,
        longest=world.steps,
        most=world.usage.max_in_use,
        fell=world.violations,
        path=world.faults if world.violations else [],
    )


def calm(world: World) -> None:
    """Go on until all faults have ended and faded; then the whole limit must be in use again."""
    while any(event.kind in UNFINISHED for event in world.queue):
        world.step()
        if world.violations:
            return
    end = world.now + CALM_MS
    while world.now < end - RECOVERED_MS:
        world.step()
    starts_before = world.usage.total_starts()
    while world.now < end and not world.violations:
        world.step()
    if world.settings.limit.per_day is not None:
        return
    limit = world.settings.later_limit or world.settings.limit
    starts = world.usage.total_starts() - starts_before
    used = starts / (RECOVERED_MS / limit.linger_ms) / limit.amount
    if not world.violations and world.settings.later_limit and used > MAX_LATER_USE:
        world.violations.append(f"the later number holds: {used:.2f} of it in use at the end")
    if not world.violations and used < MIN_RECOVERED_USE:
        world.violations.append(f"all of it is in use again: {used:.2f} at the end")


def explore(name: str, jobs: int, seconds: float) -> Found:
    """Visit all runs of a plan, or stop at the first broken promise or after so many seconds."""
    began = time.monotonic()
    found = Found()
    share_count = jobs * SHARES_PER_JOB
    work = [
        ExplorerJob(name, settings, share, share_count, began + seconds)
        for settings in PLANS[name].settings
        for share in range(share_count)
    ]
    for part in _results(work, jobs):
        found.add(part)
        if found.fell:
            break
    found.seconds = time.monotonic() - began
    return found


def _run_job(job: ExplorerJob) -> Found:
    return Explorer(job).explore()


def _results(work: list[ExplorerJob], jobs: int) -> Iterator[Found]:
    if jobs == 1:
        yield from map(_run_job, work)
        return
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(_run_job, work)
        pool.shutdown(cancel_futures=True)


__all__ = ["PLANS", "Found", "explore"]
