"""Explores all runs of a plan and checks the invariants of each."""

from __future__ import annotations

import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from myrtlespar.model_checker.fleet.faults import Fault, fault_words
from myrtlespar.model_checker.fleet.final_invariants import run_to_convergence
from myrtlespar.model_checker.fleet.plans import PLANS, Plan
from myrtlespar.model_checker.fleet.possible_faults import possible_faults
from myrtlespar.model_checker.fleet.world import CONVERGED_MS, FAULT_WINDOW_MS, World, converged_world

__all__ = ["PLANS", "ExplorationResult", "explore"]

TASKS_PER_JOB = 8  # tasks for each worker process, so that no worker process gets most of the work


@dataclass(slots=True)
class ExplorationResult:
    """The extent of an exploration, and the first run with a broken invariant.

    `command` also reads the result of the explorer of limits, which also has `max_in_use`.
    """

    runs: int = 0
    steps: int = 0
    longest_run: int = 0  # steps of the longest run
    seconds: float = 0.0
    complete: bool = True  # all runs were explored, or the search ended early with a violation
    violations: list[str] = field(default_factory=list)  # broken invariants of that run
    counterexample: list[tuple[float, tuple[Any, ...]]] = field(default_factory=list)  # (time in ms, words of a fault)

    def add(self, other: ExplorationResult) -> None:
        """Add another result to this one."""
        self.runs += other.runs
        self.steps += other.steps
        self.longest_run = max(self.longest_run, other.longest_run)
        self.complete = self.complete and other.complete
        if other.violations and not self.violations:
            self.violations = other.violations
            self.counterexample = other.counterexample


class Task(NamedTuple):
    """One share of a plan's runs. The step and the number of the first fault decide to which share a run belongs."""

    plan: str
    share: int
    share_count: int
    deadline: float  # of the monotonic clock, in seconds


class Explorer:
    """Explores runs of one plan until an invariant is broken or a deadline passes."""

    def __init__(self, plan: Plan, deadline: float) -> None:
        self.plan = plan
        self.deadline = deadline
        self.result = ExplorationResult()

    def explore_share(self, share: int, share_count: int) -> ExplorationResult:
        """Explore the runs whose first fault belongs to one share."""
        world = converged_world()
        step = 0
        while world.now < CONVERGED_MS + FAULT_WINDOW_MS:
            if step % self.plan.first_fault_interval == 0:
                for number, fault in enumerate(possible_faults(world, self.plan.kinds)):
                    if (step * 31 + number) % share_count == share:
                        self._explore_after_fault(world.copy(), fault, self.plan.max_faults)
                        if self._should_stop():
                            return self.result
            world.step()
            step += 1
        return self.result

    def _explore_after_fault(self, world: World, fault: Fault, faults_left: int) -> None:
        """Explore the runs that continue with this fault."""
        world.apply(fault)
        if faults_left > 1:
            self._explore_further_faults(world, faults_left - 1, world.now + FAULT_WINDOW_MS)
        else:
            self._finish(world)

    def _explore_further_faults(self, world: World, faults_left: int, until: float) -> None:
        """Explore the runs with each further fault at each further step, then the run without one."""
        step = 0
        while world.now < until:
            if step % self.plan.later_fault_interval == 0:
                for fault in possible_faults(world, self.plan.kinds):
                    self._explore_after_fault(world.copy(), fault, faults_left)
                    if self._should_stop():
                        return
            world.step()
            step += 1
            if world.violations:
                break
        self._finish(world)

    def _finish(self, world: World) -> None:
        """Complete one run and add it to the result."""
        try:
            if not world.violations:
                run_to_convergence(world)
        except (AssertionError, AttributeError, IndexError, KeyError, TypeError, ValueError) as error:
            world.record_violation("no machine fails", f"{type(error).__name__}: {error}")
        run = ExplorationResult(1, world.steps, world.steps, violations=world.violations)
        if world.violations:
            run.counterexample = [(at, fault_words(fault)) for at, fault in world.history.faults]
        self.result.add(run)

    def _should_stop(self) -> bool:
        if not self.result.violations and time.monotonic() <= self.deadline:
            return False
        self.result.complete = bool(self.result.violations)
        return True


def explore(name: str, jobs: int, seconds: float) -> ExplorationResult:
    """Explore all runs of a plan, or stop at the first broken invariant or at the time limit.

    Args:
        name: The name of the plan.
        jobs: The number of worker processes.
        seconds: The time limit.
    """
    started = time.monotonic()
    total = ExplorationResult()
    share_count = jobs * TASKS_PER_JOB
    for result in _results([Task(name, share, share_count, started + seconds) for share in range(share_count)], jobs):
        total.add(result)
        if total.violations:
            break
    total.seconds = time.monotonic() - started
    return total


def _run_task(task: Task) -> ExplorationResult:
    return Explorer(PLANS[task.plan], task.deadline).explore_share(task.share, task.share_count)


def _results(tasks: list[Task], jobs: int) -> Iterator[ExplorationResult]:
    if jobs == 1:
        yield from map(_run_task, tasks)
        return
    with ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(_run_task, tasks)
        pool.shutdown(cancel_futures=True)
