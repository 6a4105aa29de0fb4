"""Accepts or rejects a recorded trace: each step must be one that the transition tables allow in that state."""

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
SHARED_ID_MACHINES = ("key",)  # identified by a text that several classes may use: steps are checked, not their order
FINAL_STATES = ("OVER", "DONE", "CLOSED", "STOPPED")
TABLES_BY_NAME = {table.name: table for table in TABLES}


class InvalidStepError(MyrtlesparError):
    """The first step that the tables do not allow."""


class TraceState:
    """The states that a trace has shown so far, by machine and id."""

    def __init__(self) -> None:
        self.last_seen: dict[tuple[str, str], str] = {}
        self.steps = 0

    def check_step(self, row: dict[str, Any]) -> None:
        """Check one step. A machine whose id had ended begins anew. Raises InvalidStepError."""
        machine = str(row.get("machine"))
        who = str(row.get("who"))
        table = TABLES_BY_NAME.get(machine)
        if table is None:
            raise InvalidStepError(f"no machine named {machine!r}")
        state, event, after = (str(row.get(name)) for name in ("state", "on", "to"))
        expected = self._next_state(table, state, event)
        if after != expected:
            raise InvalidStepError(f"{machine} {who}: {event} leads from {state} to {expected}, not to {after}")
        before = self.last_seen.get((machine, who))
        if machine not in SHARED_ID_MACHINES:
            if before is None and state not in INITIAL_STATES[machine]:
                raise InvalidStepError(f"{machine} {who}: begins in {state}")
            if before is not None and before != state:
                raise InvalidStepError(f"{machine} {who}: stood in {before}, not in {state}")
        self.steps += 1
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
    """0: every step is allowed. 1: the first that is not is named. 2: the file can't be read or holds no step."""
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
        print(f"myrtlespar: {path}: no step of any machine in it", file=sys.stderr)
        return 2
    print(f"accepted: {trace.steps:,} steps of {len(TABLES_BY_NAME)} machines")
    return 0
