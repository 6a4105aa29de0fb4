"""Runs the overload controller in the simulator: reads batches of events as JSON and writes actions as JSON.

Each line of input is a batch of events of all instances (simulated servers), and each line of output has their actions.
This module only translates; all decisions are made in `myrtlespar.policy`. An error in one instance is reported as an
action "bug" of that instance; only an input line that is not a batch ends the program.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable
from typing import Any, TextIO

from myrtlespar.errors import MyrtlesparError
from myrtlespar.policy import messages as api
from myrtlespar.policy.policy import Policy
from myrtlespar.policy.settings_reader import InvalidSettingError, Json, MissingSettingError, read_settings

OUTCOMES_BY_STATUS = {
    100: api.RunOutcome.OK,
    301: api.RunOutcome.ERROR,
    302: api.RunOutcome.REJECTED,
    303: api.RunOutcome.TIMED_OUT,
    304: api.RunOutcome.UNREACHABLE,
    305: api.RunOutcome.CUT_OFF,
    306: api.RunOutcome.STOPPED,
    307: api.RunOutcome.MOOT,
}

# Bits of the field `bits` in an "accept" event.
HINT_VALID_BIT = 1
IS_RETRY_BIT = 2


class MalformedInputError(MyrtlesparError):
    """A line of input is not a valid batch of events."""


def _read_arrival(event: Json) -> api.Arrival:
    bits = event.get("bits") or 0
    return api.Arrival(
        id=event["xid"],
        class_index=event.get("grade", 0),
        memory_kb=event.get("mem_kb", 0.0),
        waited_ms=event.get("queued_for_ms", 0.0),
        deadline=event.get("drop_dead_ms", 0.0),
        tenant=event.get("user_group", 0),
        sender=event.get("neighbour", 0),
        rank=event.get("rank", 0.0),
        prior=event.get("dup_of") or "",
        is_retry=bool(bits & IS_RETRY_BIT),
        cost_hint_ms=(event.get("hint_ms") or 0.0) if bits & HINT_VALID_BIT else 0.0,
    )


EVENT_READERS: dict[str, Callable[[Json], api.Event]] = {
    "accept": _read_arrival,
    "finished": lambda event: api.RunEnded(
        event["xid"], OUTCOMES_BY_STATUS[event["status"]], event.get("elapsed_ms", 0.0)
    ),
    "wants_call": lambda event: api.CallNeeded(event["xid"]),
    "returned": lambda event: api.CallEnded(
        event["xid"], OUTCOMES_BY_STATUS[event["status"]], event.get("elapsed_ms", 0.0)
    ),
    "abandoned": lambda event: api.CallerGone(event["xid"]),
    "drain": lambda event: api.Drain(event["drop_dead_ms"]),
    "timer": lambda event: api.Tick(event.get("nonce", 0), event.get("feedback") or []),
}

ACTION_WRITERS: dict[type, Callable[[Any], Json]] = {
    api.Run: lambda action: {"type": "start", "xid": action.id},
    api.Reject: lambda action: {
        "type": "refuse",
        "xid": action.id,
        **({"hold_off_ms": round(action.retry_after_ms, 3)} if action.retry_after_ms > 0 else {}),
        **({"last": True} if action.last else {}),
    },
    api.Fail: lambda action: {"type": "abort", "xid": action.id},
    api.Stop: lambda action: {"type": "stop", "xid": action.id},
    api.ReuseResult: lambda action: {"type": "answer_from", "xid": action.id},
    api.KeepKey: lambda action: {"type": "keep", "xid": action.id, "hold_for_ms": round(action.for_ms, 3)},
    api.ForgetKey: lambda action: {"type": "unpin", "xid": action.id},
    api.Call: lambda action: {"type": "call_dep", "xid": action.id, "limit_ms": round(action.limit_ms, 3)},
    api.SkipCall: lambda action: {"type": "do_without", "xid": action.id},
    api.Advertise: lambda action: {"type": "publish", "amount": round(action.value, 4)},
    api.SetHealth: lambda action: {
        "type": "status",
        "on": action.good,
        **({"light": True} if action.is_cached else {}),
    },
    api.CloseIdle: lambda action: {"type": "idle", "hold_for_ms": round(action.after_ms, 3)},
    api.Wake: lambda action: {"type": "sleep", "from_now_ms": round(action.after_ms, 3), "nonce": action.token},
    api.Log: lambda action: {"type": "print", "message": action.text},
}


class PolicyHost:
    """Runs one independent policy for each instance."""

    def __init__(self) -> None:
        self._policies: dict[str, Policy] = {}

    def batch(self, batch: Json) -> Json:
        """Pass the events of a batch to their instances, and return the actions of instances that have any."""
        now = float(batch["sim_time_ms"])
        replies = []
        for row in batch["backends"]:
            actions = self._decide_or_report_bug(now, row["backend"], row["arrivals"])
            if actions:
                replies.append({"backend": row["backend"], "out": actions})
        return {"backends": replies}

    def _decide_or_report_bug(self, now: float, name: str, rows: list[Json]) -> list[Json]:
        try:
            return self._decide(now, name, rows)
        except (MissingSettingError, InvalidSettingError) as error:
            self._policies.pop(name, None)
            return [{"type": "bug", "message": str(error)}]
        except Exception as error:
            return [{"type": "bug", "message": f"{type(error).__name__}: {error}"}]

    def _decide(self, now: float, name: str, rows: list[Json]) -> list[Json]:
        events: list[api.Event] = []
        for row in rows:
            kind = row.get("type")
            if kind == "halt":
                self._policies.pop(name, None)
                events.clear()
            elif kind == "begin":
                settings = read_settings(row.get("params") or {})
                self._policies[name] = Policy(settings, int(row.get("prng", 0)))
                events.clear()
            elif kind in EVENT_READERS:
                events.append(EVENT_READERS[kind](row))
        policy = self._policies.get(name)
        if policy is None:
            return []
        return [ACTION_WRITERS[type(action)](action) for action in policy.handle(now, events)]


def parse_batch(line: str, line_number: int) -> Json:
    """Parse one line of input.

    Raises:
        MalformedInputError: The line is not a batch; the message names the line and the error.
    """
    try:
        batch = json.loads(line)
    except ValueError as error:
        raise MalformedInputError(f"input line {line_number}: not JSON: {error}") from None
    if not isinstance(batch, dict):
        raise MalformedInputError(f"input line {line_number}: not a batch: expected a JSON object")
    if isinstance(batch.get("sim_time_ms"), bool) or not isinstance(batch.get("sim_time_ms"), int | float):
        raise MalformedInputError(f"input line {line_number}: not a batch: sim_time_ms is missing or not a number")
    _check_entries(batch.get("backends"), line_number)
    return batch


def _check_entries(entries: Any, line_number: int) -> None:
    if not isinstance(entries, list):
        raise MalformedInputError(f"input line {line_number}: not a batch: backends is missing or not a list")
    for entry in entries:
        if not (isinstance(entry, dict) and isinstance(entry.get("backend"), str)):
            raise MalformedInputError(
                f"input line {line_number}: not a batch: an entry of backends has no string 'backend'"
            )
        events = entry.get("arrivals")
        if not (isinstance(events, list) and all(isinstance(event, dict) for event in events)):
            raise MalformedInputError(
                f"input line {line_number}: not a batch: arrivals is missing or not a list of objects"
            )


def serve(lines: Iterable[str], out: TextIO) -> None:
    """Write one line of output for each line of input until the input ends."""
    host = PolicyHost()
    for line_number, line in enumerate(lines, start=1):
        reply = host.batch(parse_batch(line, line_number))
        out.write(json.dumps(reply, separators=(",", ":")) + "\n")
        out.flush()


def main() -> int:
    """Process standard input to standard output; return exit code 1 after malformed input, else 0."""
    try:
        serve(sys.stdin, sys.stdout)
    except MalformedInputError as error:
        print(error, file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
