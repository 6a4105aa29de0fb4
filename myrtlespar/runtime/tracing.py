"""The optional trace: one log line for each transition of a state machine, and for each admission under a fleet limit.

It costs nothing while it is off.
"""

from __future__ import annotations

import structlog

from myrtlespar.state_machines import TABLES
from myrtlespar.state_machines.transition_table import Transition, TransitionTable

log = structlog.get_logger()


def trace_to_log() -> None:
    """Log every transition from now on. `myrtlespar check trace` reads these lines."""
    for table in TABLES:
        table.observer = _log_transition


def log_admission(request_id: str, age_ms: float) -> None:
    """Log that a request was admitted under the fleet's limits, by a decision that is so old."""
    log.info("admitted", id=request_id, age_ms=age_ms)


def _log_transition(
    table: TransitionTable, machine_id: str, state: int, event: int, transition: Transition | None
) -> None:
    """Log one event of one machine; `transition` is None if the table has no entry for it."""
    log.info(
        "step",
        machine=table.name,
        who=machine_id,
        state=table.states(state).name,
        on=table.events(event).name,
        to=table.states(transition.next_state).name if transition else "impossible",
    )
