"""Explores and checks all runs of a plan, each until the limit must be in full use again after the last fault."""

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

RECOVERY_MS = 3200.0  # how long a run continues after the end of its last fault
RECOVERED_MS = 1600.0  # the last part of `RECOVERY_MS`, in which the limit must be in use again
MIN_RECOVERED_USE = 0.75  # least use after the recovery, as a fraction of the limit
MAX_LATER_USE = 1.001  # greatest use once all members have adopted the later limit, as a fraction of it
SHARES_PER_JOB = 4  # shares for each worker process, so that no process gets most of the work
# A fault has not ended while one of these events is scheduled.
FAULT_END_EVENTS = frozenset(
    (EventKind.START, EventKind.RESUME, EventKind.HEAL, EventKind.BELIEVE, EventKind.LOUD, EventKind.ADOPT)
)
# Exceptions that count as a failure of the tested code.
MACHINE_ERRORS = (AssertionError, AttributeError, IndexError, KeyError, TypeError, ValueError)


@dataclass(slots=True)
class ExplorationResult:
    """The extent of an exploration, the greatest use of the limit, and the first run with a broken invariant.

    `fleet.command` also reads the result of the explorer of membership, which has the same fields except `max_in_use`.
    """

    runs: int = 0
    steps: int = 0
    longest_run: int = 0  # steps of the longest run
    max_in_use: int = 0  # greatest use of the limit at a time, over all runs
    seconds: float = 0.0
    complete: bool = True  # all runs were explored, or the search ended early with a violation
    violations: list[str] = field(default_factory=list)  # broken invariants of that run
    counterexample: list[tuple[float, Fault]] = field(default_factory=list)  # its faults, with their times in ms

    def add(self, other: ExplorationResult) -> None:
        """Add another result to this one."""
        self.runs += other.runs
        self.steps += other.steps
        self.max_in_use = max(self.max_in_use, other.max_in_use)
        self.longest_run = max(self.longest_run, other.longest_run)
        self.complete = self.complete and other.complete
        if other.violations and not self.violations:
            self.violations = other.violations
            self.counterexample = other.counterexample


class ExplorerJob(NamedTuple):
    """One share of a plan's runs in one of its `SETTINGS`.

    The step and the number of the first fault decide to which share a run belongs.
    """

    plan: str
    settings: str
    share: int
    share_count: int
    deadline: float  # of the monotonic clock, in seconds


class Explorer:
    """Explores the runs of one job until an invariant is broken or the deadline passes."""

    def __init__(self, job: ExplorerJob) -> None:
        self.job = job
        self.plan: Plan = PLANS[job.plan]

    def explore(self) -> ExplorationResult:
        """Explore all runs of the job."""
        plan = self.plan
        result = ExplorationResult()
        step = 0
        world = begin(SETTINGS[self.job.settings])
        while world.now < WARM_UP_MS + plan.span_ms:
            if step % plan.first_fault_interval == 0:
                for number, fault in enumerate(possible_faults(world, plan.kinds_at(plan.max_faults))):
                    if (step * 31 + number) % self.job.share_count != self.job.share:
                        continue
                    result.add(self._explore_after_fault(world.copy(), fault, plan.max_faults))
                    if self._should_stop(result):
                        result.complete = bool(result.violations)
                        return result
            world.step()
            step += 1
        return result

    def _should_stop(self, result: ExplorationResult) -> bool:
        return bool(result.violations) or time.monotonic() > self.job.deadline

    def _explore_after_fault(self, world: World, fault: Fault, faults_left: int) -> ExplorationResult:
        """Explore the runs that continue with this fault."""
        world.apply(fault)
        if faults_left > 1:
            return self._explore_further_faults(world, faults_left - 1, world.now + self.plan.span_ms)
        return finish(world)

    def _explore_further_faults(self, world: World, faults_left: int, until: float) -> ExplorationResult:
        """Explore the runs with each further fault at each further step, and the run without one."""
        result = ExplorationResult()
        step = 0
        while world.now < until and faults_left:
            if step % self.plan.step_interval(faults_left) == 0:
                for fault in possible_faults(world, self.plan.kinds_at(faults_left)):
                    result.add(self._explore_after_fault(world.copy(), fault, faults_left))
                    if self._should_stop(result):
                        result.complete = result.complete and bool(result.violations)
                        return result
            world.step()
            step += 1
            if world.violations:
                break
        if world.faults:
            result.add(finish(world))
        return result


def finish(world: World) -> ExplorationResult:
    """Complete one run without further faults, and return its result."""
    try:
        if not world.violations:
            run_to_recovery(world)
    except MACHINE_ERRORS as error:
        world.violations.append(f"no machine fails: {type(error).__name__}: {error}")
    return ExplorationResult(
        runs=1,
        steps=world.steps,
        longest_run=world.steps,
        max_in_use=world.usage.max_in_use,
        violations=world.violations,
        counterexample=world.faults if world.violations else [],
    )


def run_to_recovery(world: World) -> None:
    """Continue until all faults have ended and the members have recovered, and check that the limit is in use again."""
    while any(event.kind in FAULT_END_EVENTS for event in world.queue):
        world.step()
        if world.violations:
            return
    end = world.now + RECOVERY_MS
    while world.now < end - RECOVERED_MS:
        world.step()
    starts_before = world.usage.total_starts()
    while world.now < end and not world.violations:
        world.step()
    if world.settings.limit.per_day is not None:  # of a budget, only the greatest use is checked
        return
    limit = world.settings.later_limit or world.settings.limit
    starts = world.usage.total_starts() - starts_before
    used = starts / (RECOVERED_MS / limit.linger_ms) / limit.amount
    if not world.violations and world.settings.later_limit and used > MAX_LATER_USE:
        world.violations.append(f"the later number holds: {used:.2f} of it in use at the end")
    if not world.violations and used < MIN_RECOVERED_USE:
        world.violations.append(f"all of it is in use again: {used:.2f} at the end")


def explore(name: str, jobs: int, seconds: float) -> ExplorationResult:
    """Explore all runs of a plan, or stop at the first broken invariant or at the time limit.

    Args:
        name: The name of the plan.
        jobs: The number of worker processes.
        seconds: The time limit.
    """
    started = time.monotonic()
    result = ExplorationResult()
    share_count = jobs * SHARES_PER_JOB
    explorer_jobs = [
        ExplorerJob(name, settings, share, share_count, started + seconds)
        for settings in PLANS[name].settings
        for share in range(share_count)
    ]
    for job_result in _results(explorer_jobs, jobs):
        result.add(job_result)
        if result.violations:
            break
    result.seconds = time.monotonic() - started
    return result


def _run_job(job: ExplorerJob) -> ExplorationResult:
    return Explorer(job).explore()


def _results(explorer_jobs: list[ExplorerJob], jobs: int) -> Iterator[ExplorationResult]:
    if jobs == 1:
        yield from map(_run_job, explorer_jobs)
        return
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(_run_job, explorer_jobs)
        pool.shutdown(cancel_futures=True)


__all__ = ["PLANS", "ExplorationResult", "explore"]
