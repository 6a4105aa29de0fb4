"""Breadth first through every state of a small world, so that the first way to break a rule is a shortest one."""

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
from myrtlespar.model_checker.events import apply, begin
from myrtlespar.model_checker.invariants import TransitionCoverage, fallen
from myrtlespar.model_checker.scenarios import Scenario
from myrtlespar.model_checker.state_encoding import Plain, digest, freeze, thaw, unpack
from myrtlespar.model_checker.world import Event, World

CHUNK = 200  # states handed to a worker at a time
STEP_S = 1.0  # of processor time for one event, a thousand times what one takes
Used = set[tuple[str, int, int]]


class NonTerminatingError(MyrtlesparError):
    """A machine that does not come to an end over one event."""


def limit_steps() -> None:
    """In this process an event that does not end is a rule that falls."""
    signal.signal(signal.SIGVTALRM, _endless)


def _endless(*_: Any) -> None:
    raise NonTerminatingError


@dataclass(slots=True)
class Result:
    """What an exploration found. `whole` is false where a bound stopped it: then it is no verdict."""

    scenario: str
    states: int = 0
    steps: int = 0
    depth: int = 0
    seconds: float = 0.0
    whole: bool = True
    stopped_by: str = ""
    fell: list[str] = field(default_factory=list)
    path: list[Event] = field(default_factory=list)
    used: Used = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Bounds:
    """When to stop without a verdict."""

    seconds: float = 3600.0
    states: int = 20_000_000
    memory_mb: int = 6000  # of the process that holds the visited set


def step(s: Scenario, plain: Plain, event: Event, watch: TransitionCoverage) -> tuple[World, list[str]]:
    """The world after one event, and the rules that fell with it."""
    world = unpack(s, plain)
    signal.setitimer(signal.ITIMER_VIRTUAL, STEP_S)
    try:
        apply(world, event)
    except NonTerminatingError:
        return world, ["every step ends"]
    except (AssertionError, AttributeError, IndexError, KeyError, TypeError, ValueError):
        return world, ["no machine fails"]
    finally:
        signal.setitimer(signal.ITIMER_VIRTUAL, 0.0)
    return world, fallen(world, watch, event[0] == "tick")


Found = tuple[int, bytes, int, tuple[str, ...]]  # digest, state, digest of the state before, rules that fell


class Expander:
    """Expands chunks of states, in this process or in a worker."""

    def __init__(self, s: Scenario) -> None:
        self.s, self.watch = s, TransitionCoverage()
        self.sent: set[int] = set()  # what this worker has handed back already

    def __call__(self, chunk: list[tuple[int, bytes]]) -> tuple[list[Found], int]:
        out: list[Found] = []
        steps = 0
        for before, data in chunk:
            plain = thaw(data)
            for event in unpack(self.s, plain).enabled():
                steps += 1
                world, fell = step(self.s, plain, event, self.watch)
                state = freeze(world)
                after = digest(state)
                if after not in self.sent or fell:
                    self.sent.add(after)
                    out.append((after, state, before, tuple(fell)))
        return out, steps


_expander: Expander | None = None


def _begin(s: Scenario) -> None:
    global _expander
    _expander = Expander(s)
    limit_steps()


def _expand(chunk: list[tuple[int, bytes]]) -> tuple[list[Found], int, Used]:
    assert _expander is not None
    found, steps = _expander(chunk)
    used, _expander.watch.used = _expander.watch.used, set()
    return found, steps, used


def _chunks(frontier: list[tuple[int, bytes]], size: int) -> Iterator[list[tuple[int, bytes]]]:
    for at in range(0, len(frontier), size):
        yield frontier[at : at + size]


def explore(s: Scenario, bounds: Bounds, jobs: int = 1, progress: Callable[[Result], None] | None = None) -> Result:
    """Visit every state, or stop at the first rule that falls, or at a bound."""
    if jobs == 1:
        _begin(s)
        return _levels(s, bounds, lambda frontier: map(_expand, _chunks(frontier, CHUNK)), progress)
    context = multiprocessing.get_context("fork")
    with ProcessPoolExecutor(jobs, context, _begin, (s,)) as pool:
        try:
            return _levels(s, bounds, lambda frontier: pool.map(_expand, _chunks(frontier, CHUNK)), progress)
        except BrokenProcessPool:  # such as one killed for memory: nothing is known of what it had in hand
            return Result(s.name, whole=False, stopped_by="a worker that died")
        finally:
            pool.shutdown(cancel_futures=True)


def _levels(
    s: Scenario,
    bounds: Bounds,
    expand: Callable[[list[tuple[int, bytes]]], Any],
    progress: Callable[[Result], None] | None,
) -> Result:
    began = time.monotonic()
    first = freeze(begin(s))
    root = digest(first)
    before: dict[int, int] = {root: root}
    frontier = [(root, first)]
    out = Result(s.name, states=1)
    while frontier:
        following: list[tuple[int, bytes]] = []
        for found, steps, used in expand(frontier):
            out.steps += steps
            out.used |= used
            for after, data, parent, fell in found:
                if fell:
                    out.fell = list(fell)
                    out.path = retrace(s, before, parent, fell)
                    out.seconds = time.monotonic() - began
                    return out
                if after not in before:
                    before[after] = parent
                    following.append((after, data))
            out.states, out.seconds = len(before), time.monotonic() - began
            out.stopped_by = _stop(out, bounds)
            if out.stopped_by:
                out.whole = False
                return out
        out.depth += bool(following)
        frontier = following
        if progress is not None:
            progress(out)
    return out


def _stop(out: Result, bounds: Bounds) -> str:
    if out.seconds > bounds.seconds:
        return "time"
    if out.states > bounds.states:
        return "number of states"
    return "memory" if resource.getrusage(resource.RUSAGE_SELF).ru_maxrss > bounds.memory_mb * 1024 else ""


def retrace(s: Scenario, before: dict[int, int], last: int, fell: tuple[str, ...]) -> list[Event]:
    """The events from the beginning to the state `last`, and the one after it with which the rules fell."""
    chain = [last]
    while before[chain[-1]] != chain[-1]:
        chain.append(before[chain[-1]])
    plain, path, watch = thaw(freeze(begin(s))), list[Event](), TransitionCoverage()
    for wanted in reversed(chain[:-1]):
        for event in unpack(s, plain).enabled():
            state = freeze(step(s, plain, event, watch)[0])
            if digest(state) == wanted:
                path.append(event)
                plain = thaw(state)
                break
    path.append(next(event for event in unpack(s, plain).enabled() if tuple(step(s, plain, event, watch)[1]) == fell))
    return path
