"""Tables of states and events, the form of every machine in this package."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from enum import IntEnum
from typing import Any, NamedTuple


class Transition(NamedTuple):
    """What an event does in one state: the state after it, and the effects, in their order."""

    next_state: int
    effects: tuple[Any, ...] = ()


TransitionObserver = Callable[["TransitionTable", str, int, int, "Transition | None"], None]


class TransitionTable:
    """The rows of one machine. All machines of one kind share it; each holds its own state.

    `watch` is told of every step, who made it, and None for the row of an impossible one. Nothing watches unless
    a trace was asked for.
    """

    __slots__ = ("events", "invalid_counts", "name", "observer", "states", "transitions")

    def __init__(
        self, name: str, states: type[IntEnum], events: type[IntEnum], rows: Mapping[tuple[int, int], Transition]
    ) -> None:
        self.name, self.states, self.events = name, states, events
        self.transitions: list[list[Transition | None]] = [
            [rows.get((state, event)) for event in events] for state in states
        ]
        self.invalid_counts: Counter[str] = Counter()
        self.observer: TransitionObserver | None = None

    def step(self, state: int, event: int, who: str) -> Transition:
        """The row for this event. Where there is none the state stays, nothing follows, and it is counted."""
        row = self.transitions[state][event]
        if row is not None and self.observer is None:
            return row
        if self.observer is not None:
            self.observer(self, who, state, event, row)
        if row is None:
            self.invalid_counts[f"{self.states(state).name}.{self.events(event).name}"] += 1
            return Transition(state)
        return row

    def defined_transitions(self) -> list[tuple[int, int]]:
        """All states and events that have a row."""
        return [
            (state, event)
            for state, rows in enumerate(self.transitions)
            for event, row in enumerate(rows)
            if row is not None
        ]


def report_invalid_transitions(tables: tuple[TransitionTable, ...]) -> dict[str, int]:
    """Counts of impossible events by `impossible.machine.STATE.EVENT`."""
    return {
        f"impossible.{table.name}.{what}": count
        for table in tables
        for what, count in sorted(table.invalid_counts.items())
    }
