"""Breadth-first exploration of all states of a scenario, so that the first counter-example is a shortest one."""

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

CHUNK_STATES = 200  # number of states that a worker expands at a time
MAX_STEP_S = 1.0  # limit of processor time for one event, about a thousand times what an event needs
UsedTransitions = set[tuple[str, int, int]]


class NonTerminatingError(MyrtlesparError):
    """A state machine did not finish an event within `MAX_STEP_S`."""


def limit_steps() -> None:
    """Interrupt events of this process that exceed `MAX_STEP_S`; `step` reports them as a broken rule."""
    signal.signal(signal.SIGVTALRM, _raise_non_terminating)


def _raise_non_terminating(*_: Any) -> None:
    raise NonTerminatingError


@dataclass(slots=True)
class ExplorationResult:
    """The result of an exploration.

    Attributes:
        scenario: The name of the scenario.
        states: The number of distinct states.
        steps: The number of events applied.
        depth: The number of events on the longest path.
        seconds: The duration.
        complete: Whether no bound stopped the exploration. Otherwise it gives no verdict unless a rule is broken.
        stopped_by: The bound that stopped it; empty if there is none.
        violations: The names of the broken rules.
        path: The events of the counter-example, from the initial state.
        used_transitions: (table, state, event) of each transition that was used.
    """

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
    """The bounds at which an exploration stops without a verdict."""

    seconds: float = 3600.0
    states: int = 20_000_000
    memory_mb: int = 6000  # resident memory of the main process, which holds the set of visited states


def step(
    scenario: Scenario, packed: PackedState, event: Event, coverage: TransitionCoverage
) -> tuple[World, list[str]]:
    """Return the world after one event, and the names of the rules that the event broke."""
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


FoundState = tuple[int, bytes, int, tuple[str, ...]]  # digest, state, digest of the predecessor, broken rules


class Expander:
    """Computes the successors of chunks of states, in this process or in a worker."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.coverage = TransitionCoverage()
        self.sent: set[int] = set()  # digests of the states that this worker has returned already

    def __call__(self, chunk: list[tuple[int, bytes]]) -> tuple[list[FoundState], int]:
        """Return the new successors of these states (given with their digests), and the number of steps."""
        result: list[FoundState] = []
        steps = 0
        for parent, data in chunk:
            packed = deserialize(data)
            for event in enabled_events(unpack(self.scenario, packed)):
                steps += 1
                world, violations = step(self.scenario, packed, event, self.coverage)
                state = serialize(world)
                after = digest(state)
                if after not in self.sent or violations:
                    self.sent.add(after)
                    result.append((after, state, parent, tuple(violations)))
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
    """Visit every state, or stop at the first broken rule or at a bound."""
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
        except BrokenProcessPool:  # such as a worker that was killed for its memory: its chunk was not explored
            return ExplorationResult(scenario.name, complete=False, stopped_by="a worker process that died")
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
    predecessors: dict[int, int] = {root: root}
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
                    result.path = retrace(scenario, predecessors, parent, violations)
                    result.seconds = time.monotonic() - began
                    return result
                if after not in predecessors:
                    predecessors[after] = parent
                    next_frontier.append((after, data))
            result.states = len(predecessors)
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


def retrace(scenario: Scenario, predecessors: dict[int, int], last: int, violations: tuple[str, ...]) -> list[Event]:
    """Return the events from the initial state to the state `last`, and the next one, which broke the rules.

    Args:
        scenario: The scenario.
        predecessors: For each visited state, by digest, the digest of its predecessor; the initial state is its own.
        last: The digest of the state before the rules were broken.
        violations: The names of the broken rules.
    """
    chain = [last]
    while predecessors[chain[-1]] != chain[-1]:
        chain.append(predecessors[chain[-1]])
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
