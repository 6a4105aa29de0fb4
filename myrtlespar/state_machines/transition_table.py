"""Transition tables, the common representation of the state machines in this package."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from enum import IntEnum
from typing import Any, NamedTuple


class Transition(NamedTuple):
    """The result of an event in a state: the next state, and the effects in the order in which they apply."""

    next_state: int
    effects: tuple[Any, ...] = ()


TransitionObserver = Callable[["TransitionTable", str, int, int, "Transition | None"], None]


class TransitionTable:
    """All transitions of one kind of machine.

    Every machine of the kind shares the table and holds its own state. `observer`, if set, is called for each step
    with the table, the name of the machine, its state, the event and the transition (None for an invalid event). It
    is set only while a trace is recorded.
    """

    __slots__ = ("events", "invalid_counts", "name", "observer", "states", "transitions")

    def __init__(
        self,
        name: str,
        states: type[IntEnum],
        events: type[IntEnum],
        transitions: Mapping[tuple[int, int], Transition],
    ) -> None:
        self.name = name
        self.states = states
        self.events = events
        self.transitions: list[list[Transition | None]] = [
            [transitions.get((state, event)) for event in events] for state in states
        ]
        self.invalid_counts: Counter[str] = Counter()
        self.observer: TransitionObserver | None = None

    def step(self, state: int, event: int, machine_id: str) -> Transition:
        """Return the transition for an event.

        For an invalid event the state stays the same, there are no effects, and the event is counted. `machine_id`
        only names the machine for the observer.
        """
        transition = self.transitions[state][event]
        if transition is not None and self.observer is None:
            return transition
        if self.observer is not None:
            self.observer(self, machine_id, state, event, transition)
        if transition is None:
            self.invalid_counts[f"{self.states(state).name}.{self.events(event).name}"] += 1
            return Transition(state)
        return transition

    def defined_transitions(self) -> list[tuple[int, int]]:
        """Return every pair of state and event that has a transition."""
        return [
            (state, event)
            for state, by_event in enumerate(self.transitions)
            for event, transition in enumerate(by_event)
            if transition is not None
        ]


def report_invalid_transitions(tables: tuple[TransitionTable, ...]) -> dict[str, int]:
    """Return the counts of invalid events, each under the counter name `impossible.MACHINE.STATE.EVENT`."""
    return {
        f"impossible.{table.name}.{state_and_event}": count
        for table in tables
        for state_and_event, count in sorted(table.invalid_counts.items())
    }
