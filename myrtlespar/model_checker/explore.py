"""Breadth-first exploration of every state of a scenario, so that the first counter-example is a shortest one."""

from __future__ import annotations

import multiprocessing
import resource
import signal
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from concurrent.futures.process import BrokenProcessPool
from dataclasses import dataclass, field
from typing import Any

from myrtlespar.errors import MyrtlesparError
from myrtlespar.model_checker.enabled_events import enabled_events
from myrtlespar.model_checker.events import apply, begin
from myrtlespar.model_checker.invariants import TransitionCoverage, broken_rules
from myrtlespar.model_checker.scenarios import Scenario
from myrtlespar.model_checker.state_decoding import unpack
from myrtlespar.model_checker.state_encoding import PackedState, deserialize, digest, serialize
from myrtlespar.model_checker.world import Event, World

CHUNK_STATES = 200  # handed to a worker at a time
MAX_STEP_S = 1.0  # of processor time for one event, a thousand times what one takes
UsedTransitions = set[tuple[str, int, int]]


class NonTerminatingError(MyrtlesparError):
    """A state machine that does not end its work on one event."""


def limit_steps() -> None:
    """Interrupt events that do not end, in this process; `step` reports them as broken rules."""
    signal.signal(signal.SIGVTALRM, _raise_non_terminating)


def _raise_non_terminating(*_: Any) -> None:
    raise NonTerminatingError


@dataclass(slots=True)
class ExplorationResult:
    """What an exploration found. It is no verdict unless `complete`: a bound stopped it."""

    scenario: str
    states: int = 0
    steps: int = 0
    depth: int = 0
    seconds: float = 0.0
    complete: bool = True
    stopped_by: str = ""
    violations: list[str] = field(default_factory=list)
    path: list[Event] = field(default_factory=list)
    used_transitions: UsedTransitions = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Bounds:
    """When to stop without a verdict."""

    seconds: float = 3600.0
    states: int = 20_000_000
    memory_mb: int = 6000  # of the process that holds the visited set


def step(
    scenario: Scenario, packed: PackedState, event: Event, coverage: TransitionCoverage
) -> tuple[World, list[str]]:
    """The world after one event, and the rules that it broke."""
    world = unpack(scenario, packed)
    signal.setitimer(signal.ITIMER_VIRTUAL, MAX_STEP_S)
    try:
        apply(world, event)
    except NonTerminatingError:
        return world, ["every step ends"]
    except (AssertionError, AttributeError, IndexError, KeyError, TypeError, ValueError):
        return world, ["no machine fails"]
    finally:
        signal.setitimer(signal.ITIMER_VIRTUAL, 0.0)
    return world, broken_rules(world, coverage, event[0] == "tick")


FoundState = tuple[int, bytes, int, tuple[str, ...]]  # digest, state, digest of the state before, broken rules


class Expander:
    """Expands chunks of states, in this process or in a worker."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.coverage = TransitionCoverage()
        self.sent: set[int] = set()  # what this worker has handed back already

    def __call__(self, chunk: list[tuple[int, bytes]]) -> tuple[list[FoundState], int]:
        """Expand states, given with their digests, into the new states after them and the number of steps."""
        result: list[FoundState] = []
        steps = 0
        for before, data in chunk:
            packed = deserialize(data)
            for event in enabled_events(unpack(self.scenario, packed)):
                steps += 1
                world, violations = step(self.scenario, packed, event, self.coverage)
                state = serialize(world)
                after = digest(state)
                if after not in self.sent or violations:
                    self.sent.add(after)
                    result.append((after, state, before, tuple(violations)))
        return result, steps


_expander: Expander | None = None


def _start_worker(scenario: Scenario) -> None:
    global _expander
    _expander = Expander(scenario)
    limit_steps()


def _expand(chunk: list[tuple[int, bytes]]) -> tuple[list[FoundState], int, UsedTransitions]:
    assert _expander is not None
    found, steps = _expander(chunk)
    used_transitions = _expander.coverage.used_transitions
    _expander.coverage.used_transitions = set()
    return found, steps, used_transitions


def _chunks(frontier: list[tuple[int, bytes]], size: int) -> Iterator[list[tuple[int, bytes]]]:
    for at in range(0, len(frontier), size):
        yield frontier[at : at + size]


def explore(
    scenario: Scenario, bounds: Bounds, jobs: int = 1, progress: Callable[[ExplorationResult], None] | None = None
) -> ExplorationResult:
    """Visit every state, or stop at the first broken rule, or at a bound."""
    if jobs == 1:
        _start_worker(scenario)
        return _explore_by_level(
            scenario, bounds, lambda frontier: map(_expand, _chunks(frontier, CHUNK_STATES)), progress
        )
    context = multiprocessing.get_context("fork")
    with ProcessPoolExecutor(jobs, context, _start_worker, (scenario,)) as pool:
        try:
            return _explore_by_level(
                scenario, bounds, lambda frontier: pool.map(_expand, _chunks(frontier, CHUNK_STATES)), progress
            )
        except BrokenProcessPool:  # such as one killed for memory: nothing is known of what it had in hand
            return ExplorationResult(scenario.name, complete=False, stopped_by="a worker that died")
        finally:
            pool.shutdown(cancel_futures=True)


def _explore_by_level(
    scenario: Scenario,
    bounds: Bounds,
    expand: Callable[[list[tuple[int, bytes]]], Any],
    progress: Callable[[ExplorationResult], None] | None,
) -> ExplorationResult:
    began = time.monotonic()
    first = serialize(begin(scenario))
    root = digest(first)
    before: dict[int, int] = {root: root}
    frontier = [(root, first)]
    result = ExplorationResult(scenario.name, states=1)
    while frontier:
        next_frontier: list[tuple[int, bytes]] = []
        for found, steps, used_transitions in expand(frontier):
            result.steps += steps
            result.used_transitions |= used_transitions
            for after, data, parent, violations in found:
                if violations:
                    result.violations = list(violations)
                    result.path = retrace(scenario, before, parent, violations)
                    result.seconds = time.monotonic() - began
                    return result
                if after not in before:
                    before[after] = parent
                    next_frontier.append((after, data))
            result.states = len(before)
            result.seconds = time.monotonic() - began
            result.stopped_by = _exceeded_bound(result, bounds)
            if result.stopped_by:
                result.complete = False
                return result
        result.depth += bool(next_frontier)
        frontier = next_frontier
        if progress is not None:
            progress(result)
    return result


def _exceeded_bound(result: ExplorationResult, bounds: Bounds) -> str:
    if result.seconds > bounds.seconds:
        return "time"
    if result.states > bounds.states:
        return "number of states"
    return "memory" if resource.getrusage(resource.RUSAGE_SELF).ru_maxrss > bounds.memory_mb * 1024 else ""


def retrace(scenario: Scenario, before: dict[int, int], last: int, violations: tuple[str, ...]) -> list[Event]:
    """The events from the beginning to the state `last`, and the one after it that broke the rules."""
    chain = [last]
    while before[chain[-1]] != chain[-1]:
        chain.append(before[chain[-1]])
    packed = deserialize(serialize(begin(scenario)))
    path: list[Event] = []
    coverage = TransitionCoverage()
    for wanted in reversed(chain[:-1]):
        for event in enabled_events(unpack(scenario, packed)):
            state = serialize(step(scenario, packed, event, coverage)[0])
            if digest(state) == wanted:
                path.append(event)
                packed = deserialize(state)
                break
    path.append(
        next(
            event
            for event in enabled_events(unpack(scenario, packed))
            if tuple(step(scenario, packed, event, coverage)[1]) == violations
        )
    )
    return path
