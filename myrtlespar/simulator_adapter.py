"""The adapter: reads batches of wire JSON, keeps one policy per instance, writes its actions.

It translates and nothing else; what to do is decided in decide.py.
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

OUTCOMES = {
    100: api.RunOutcome.OK,
    301: api.RunOutcome.ERROR,
    302: api.RunOutcome.REJECTED,
    303: api.RunOutcome.TIMED_OUT,
    304: api.RunOutcome.UNREACHABLE,
    305: api.RunOutcome.CUT_OFF,
    306: api.RunOutcome.STOPPED,
    307: api.RunOutcome.MOOT,
}


class MalformedInputError(MyrtlesparError):
    """A line that is not a batch of this wire."""


HINT_VALID, FURTHER_TRY = 1, 2


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
        is_retry=bool(bits & FURTHER_TRY),
        cost_hint_ms=(event.get("hint_ms") or 0.0) if bits & HINT_VALID else 0.0,
    )


READERS: dict[str, Callable[[Json], api.Event]] = {
    "accept": _read_arrival,
    "finished": lambda e: api.RunEnded(e["xid"], OUTCOMES[e["status"]], e.get("elapsed_ms", 0.0)),
    "wants_call": lambda e: api.CallNeeded(e["xid"]),
    "returned": lambda e: api.CallEnded(e["xid"], OUTCOMES[e["status"]], e.get("elapsed_ms", 0.0)),
    "abandoned": lambda e: api.CallerGone(e["xid"]),
    "drain": lambda e: api.Drain(e["drop_dead_ms"]),
    "timer": lambda e: api.Tick(e.get("nonce", 0), e.get("feedback") or []),
}

WRITERS: dict[type, Callable[[Any], Json]] = {
    api.Run: lambda a: {"type": "start", "xid": a.id},
    api.Reject: lambda a: {
        "type": "refuse",
        "xid": a.id,
        **({"hold_off_ms": round(a.retry_after_ms, 3)} if a.retry_after_ms > 0 else {}),
        **({"last": True} if a.last else {}),
    },
    api.Fail: lambda a: {"type": "abort", "xid": a.id},
    api.Stop: lambda a: {"type": "stop", "xid": a.id},
    api.Reuse: lambda a: {"type": "answer_from", "xid": a.id},
    api.Keep: lambda a: {"type": "keep", "xid": a.id, "hold_for_ms": round(a.for_ms, 3)},
    api.Forget: lambda a: {"type": "unpin", "xid": a.id},
    api.Call: lambda a: {"type": "call_dep", "xid": a.id, "limit_ms": round(a.limit_ms, 3)},
    api.SkipCall: lambda a: {"type": "do_without", "xid": a.id},
    api.Advertise: lambda a: {"type": "publish", "amount": round(a.value, 4)},
    api.SetHealth: lambda a: {
        "type": "status",
        "on": a.good,
        **({"light": True} if a.from_store else {}),
    },
    api.CloseIdle: lambda a: {"type": "idle", "hold_for_ms": round(a.after_ms, 3)},
    api.Wake: lambda a: {"type": "sleep", "from_now_ms": round(a.after_ms, 3), "nonce": a.token},
    api.Log: lambda a: {"type": "print", "message": a.text},
}


class PolicyHost:
    """All instances of one adapter process; they share nothing but this table."""

    def __init__(self) -> None:
        self._policies: dict[str, Policy] = {}

    def batch(self, batch: Json) -> Json:
        """Answer one batch of the wire."""
        now = float(batch["sim_time_ms"])
        replies = []
        for row in batch["backends"]:
            out = self._instance(now, row["backend"], row["arrivals"])
            if out:
                replies.append({"backend": row["backend"], "out": out})
        return {"backends": replies}

    def _instance(self, now: float, name: str, rows: list[Json]) -> list[Json]:
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
            elif kind in READERS:
                events.append(READERS[kind](row))
        policy = self._policies.get(name)
        if policy is None:
            return []
        return [WRITERS[type(action)](action) for action in policy.handle(now, events)]


def parse(line: str, number: int) -> Json:
    """Read one line of input, or say plainly what is wrong with it."""
    try:
        batch = json.loads(line)
    except ValueError as error:
        raise MalformedInputError(f"input line {number}: not JSON: {error}") from None
    if not isinstance(batch, dict):
        raise MalformedInputError(f"input line {number}: not a batch: expected an object")
    if isinstance(batch.get("sim_time_ms"), bool) or not isinstance(batch.get("sim_time_ms"), int | float):
        raise MalformedInputError(f"input line {number}: not a batch: sim_time_ms is missing or no number")
    _check_rows(batch.get("backends"), number)
    return batch


def _check_rows(rows: Any, number: int) -> None:
    if not isinstance(rows, list):
        raise MalformedInputError(f"input line {number}: not a batch: backends is missing or no list")
    for row in rows:
        if not (isinstance(row, dict) and isinstance(row.get("backend"), str)):
            raise MalformedInputError(f"input line {number}: not a batch: an entry of backends has no name")
        events = row.get("arrivals")
        if not (isinstance(events, list) and all(isinstance(event, dict) for event in events)):
            raise MalformedInputError(f"input line {number}: not a batch: arrivals is no list of events")


def serve(lines: Iterable[str], out: TextIO) -> None:
    """Answer every batch with one line until the input ends."""
    host = PolicyHost()
    for number, line in enumerate(lines, start=1):
        reply = host.batch(parse(line, number))
        out.write(json.dumps(reply, separators=(",", ":")) + "\n")
        out.flush()


def main() -> int:
    """Run the adapter on standard input and output."""
    try:
        serve(sys.stdin, sys.stdout)
    except MalformedInputError as error:
        print(error, file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
