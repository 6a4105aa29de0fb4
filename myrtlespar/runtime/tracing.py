"""The optional trace: one log line for each transition of a state machine and each admission under a fleet limit.

While it is disabled, it has no cost.
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
    """Log that a request was admitted under the fleet's limits, by a decision made `age_ms` ago."""
    log.info("admitted", id=request_id, age_ms=age_ms)


def _log_transition(
    table: TransitionTable, machine_id: str, state: int, event: int, transition: Transition | None
) -> None:
    """Log one event of a state machine; `transition` is None if the event is invalid in the current state."""
    log.info(
        "step",
        machine=table.name,
        who=machine_id,
        state=table.states(state).name,
        on=table.events(event).name,
        to=table.states(transition.next_state).name if transition else "impossible",
    )
