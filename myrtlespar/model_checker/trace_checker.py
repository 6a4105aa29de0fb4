"""Checks a recorded trace: each step must be one that the transition tables allow in the present state."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from myrtlespar.errors import MyrtlesparError
from myrtlespar.state_machines import TABLES
from myrtlespar.state_machines.transition_table import TransitionTable

INITIAL_STATES = {
    "try": ("READ",),
    "key": ("FREE", "OWNED", "KNOWN"),
    "process": ("SERVING",),
    "link": ("DOWN",),
    "command": ("KEPT",),
    "call": ("WAITING",),
    "wire": ("OPENING",),
    "connection": ("IDLE",),
}
# Machines whose id is not unique, as several request classes may use the same key. The order of their steps can't be
# checked, only each step alone.
SHARED_ID_MACHINES = ("key",)
FINAL_STATES = ("OVER", "DONE", "CLOSED", "STOPPED")
TABLES_BY_NAME = {table.name: table for table in TABLES}


class InvalidStepError(MyrtlesparError):
    """A step of the trace that the transition tables do not allow."""


class TraceState:
    """The machines of a trace so far.

    Attributes:
        last_seen: The state of each machine after its latest step, by (table name, id).
        steps: The number of steps checked.
    """

    def __init__(self) -> None:
        self.last_seen: dict[tuple[str, str], str] = {}
        self.steps = 0

    def check_step(self, row: dict[str, Any]) -> None:
        """Check one step; after a machine has ended, its id may be used by a new one.

        Raises:
            InvalidStepError: The tables do not allow the step, or it does not follow the machine's previous step.
        """
        machine = str(row.get("machine"))
        who = str(row.get("who"))
        table = TABLES_BY_NAME.get(machine)
        if table is None:
            raise InvalidStepError(f"no machine named {machine!r}; expected one of {', '.join(TABLES_BY_NAME)}")
        state, event, after = (str(row.get(name)) for name in ("state", "on", "to"))
        expected = self._next_state(table, state, event)
        if after != expected:
            raise InvalidStepError(f"{machine} {who}: {event} leads from {state} to {expected}, not to {after}")
        before = self.last_seen.get((machine, who))
        if machine not in SHARED_ID_MACHINES:
            if before is None and state not in INITIAL_STATES[machine]:
                raise InvalidStepError(
                    f"{machine} {who}: first step starts in {state}, expected {' or '.join(INITIAL_STATES[machine])}"
                )
            if before is not None and before != state:
                raise InvalidStepError(
                    f"{machine} {who}: step starts in {state}, but the previous one ended in {before}"
                )
        self.steps += 1
        # Closed connections still receive events, and a trace has only one process, so their states stay recorded.
        if after in FINAL_STATES and machine != "process" and machine != "connection":
            self.last_seen.pop((machine, who), None)
        else:
            self.last_seen[machine, who] = after

    @staticmethod
    def _next_state(table: TransitionTable, state: str, event: str) -> str:
        try:
            row = table.transitions[table.states[state]][table.events[event]]
        except KeyError as error:
            raise InvalidStepError(f"{table.name}: no state or event named {error}") from None
        if row is None:
            raise InvalidStepError(f"{table.name}: {event} is impossible in {state}")
        return table.states(row.next_state).name


def check_trace(path: Path) -> int:
    """Check the trace in a log file, print the result, and return the exit status.

    Returns:
        0 if every step is allowed, 1 if a step is not (the first such is printed), 2 if the file can't be read or
        contains no step.
    """
    trace = TraceState()
    try:
        with path.open() as lines:
            for number, line in enumerate(lines, 1):
                if '"event": "step"' not in line:
                    continue
                try:
                    row = json.loads(line)
                except ValueError:
                    print(f"myrtlespar: {path}: line {number}: not JSON", file=sys.stderr)
                    return 2
                try:
                    trace.check_step(row)
                except InvalidStepError as error:
                    print(f"rejected at line {number}, step {trace.steps + 1}: {error}")
                    return 1
    except (OSError, UnicodeDecodeError) as error:
        print(f"myrtlespar: {path}: can't be read: {error}", file=sys.stderr)
        return 2
    if not trace.steps:
        print(f"myrtlespar: {path}: contains no step of a state machine", file=sys.stderr)
        return 2
    print(f"accepted: {trace.steps:,} steps of {len(TABLES_BY_NAME)} machines")
    return 0
