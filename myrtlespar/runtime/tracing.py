"""The opt-in trace of transitions: one log line for each step of each machine. Off, it costs nothing."""

from __future__ import annotations

import structlog

from myrtlespar.state_machines import TABLES
from myrtlespar.state_machines.transition_table import Transition, TransitionTable

log = structlog.get_logger()


def _line(table: TransitionTable, who: str, state: int, event: int, row: Transition | None) -> None:
    log.info(
        "step",
        machine=table.name,
        who=who,
        state=table.states(state).name,
        on=table.events(event).name,
        to=table.states(row.next_state).name if row else "impossible",
    )


def trace_to_log() -> None:
    """Write every step from now on. `myrtlespar check trace` reads such lines."""
    for table in TABLES:
        table.observer = _line
