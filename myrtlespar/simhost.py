"""The adapter: reads batches of wire JSON, keeps one policy per instance, writes its actions.

It translates and nothing else; what to do is decided in decide.py.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable
from typing import Any, TextIO

from myrtlespar import interface as api
from myrtlespar.decide import Policy

EFFECTS = {"free": api.Effect.SAFE, "guarded": api.Effect.KEYED, "single_shot": api.Effect.UNSAFE}
SIGNALS = {"floor": api.Signal.LEVEL, "allowance": api.Signal.CREDIT, "weight": api.Signal.WEIGHT}
STOPS = ("discard", "freeze")
OUTCOMES = {
    100: api.Outcome.OK,
    301: api.Outcome.ERROR,
    302: api.Outcome.REJECTED,
    303: api.Outcome.TIMED_OUT,
    304: api.Outcome.UNREACHABLE,
    305: api.Outcome.CUT_OFF,
    306: api.Outcome.STOPPED,
    307: api.Outcome.MOOT,
}

Json = dict[str, Any]


class BadInput(Exception):
    """A line that is not a batch of this wire."""


class MissingSetting(Exception):
    """A setting that the module cannot do without was not given."""


def _require(table: Json, key: str, path: str) -> Any:
    value = table.get(key)
    if value is None:
        raise MissingSetting(f"missing setting {path}{key}")
    return value


def _class(row: Json, index: int, calls: list[bool], skips: list[float]) -> api.RequestClass:
    path = f"classes[{index}]."
    return api.RequestClass(
        aim_ms=float(_require(row, "aim_ms", path)),
        give_up_ms=float(_require(row, "give_up_ms", path)),
        worth=float(row.get("worth", 1.0)),
        late_worth=float(row.get("late_worth", 0.0)),
        effect=EFFECTS[_require(row, "effect", path)],
        window_ms=float(row.get("window_ms", 0.0)),
        calls=bool(calls[index]) if index < len(calls) else False,
        skip_worth=float(skips[index]) if index < len(skips) else 0.0,
    )


def _longest_advice(allow: Json) -> float:
    return float(allow.get("max_retry_after_ms", 0.0)) if allow.get("retry_after", True) else 0.0


def read_settings(params: Json) -> api.Settings:
    """Turn the first message of an instance into the module's settings."""
    info = _require(params, "family_info", "")
    rules = _require(params, "invariants", "")
    allow = params.get("permissions") or {}
    calls = info.get("calls_by_class") or []
    skips = info.get("degraded_worth") or []
    rows = _require(params, "classes", "")
    return api.Settings(
        classes=[_class(row, i, calls, skips) for i, row in enumerate(rows)],
        cores=int(_require(info, "cores", "family_info.")),
        memory_kb=float(_require(info, "memory_kb", "family_info.")),
        tenant_quotas=[float(t.get("quota_rps", 0.0)) for t in params.get("projects") or []],
        over_share_worth=float(params.get("over_share_worth", 1.0)),
        servers=int(params.get("servers", 1)),
        senders=int(info.get("senders", 1)),
        tier=int(params.get("tier", 0)),
        cold=bool(info.get("cold", False)),
        cold_from=float(rules.get("cold_from", 1.0)),
        warm_up_ms=float(rules.get("warm_up_ms", 0.0)),
        fall_multiple=float(_require(rules, "fall_multiple", "invariants.")),
        fall_ms=float(_require(rules, "fall_ms", "invariants.")),
        answer_slack_ms=float(rules.get("answer_slack_ms", 0.0)),
        drain_grace_ms=float(rules.get("drain_grace_ms", 0.0)),
        round_ms=float(params.get("round_ms", 1.0)),
        run_memory_factor=float(info.get("blowup", 1.0)),
        key_kb=float(info.get("key_kb", 0.0)),
        shared_dependency=info.get("below") == "one_for_all",
        calls_share=float(info.get("calls_out", 0.0)),
        calls_over_ms=float(info.get("calls_over_ms", 1000.0)),
        linger_ms=float(info.get("linger_ms", 0.0)),
        passes_deadline=bool(info.get("passes_deadline", False)),
        tells_gone=bool(info.get("tells_gone", False)),
        list_follows=bool(info.get("list_follows", False)),
        deep_checks=bool(info.get("deep_checks", False)),
        signal=SIGNALS.get(info.get("signal", ""), api.Signal.NONE),
        can_stop=info.get("halt") in STOPS,
        marks_retries=bool((params.get("clients") or {}).get("marks_retry", False)),
        worth_by_work=params.get("worth_by") == "work",
        heeded_ms=float(info.get("heeded_ms", 1000.0)),
        caller_idle_ms=float(info.get("caller_idle_ms", 15000.0)),
        max_retry_after_ms=_longest_advice(allow),
        gauges=list(info.get("gauges") or []),
    )


HINT_VALID, FURTHER_TRY = 1, 2


def _read_arrival(event: Json) -> api.Arrival:
    bits = event.get("bits") or 0
    return api.Arrival(
        id=event["xid"],
        cls=event.get("grade", 0),
        kb=event.get("mem_kb", 0.0),
        waited_ms=event.get("queued_for_ms", 0.0),
        deadline=event.get("drop_dead_ms", 0.0),
        tenant=event.get("user_group", 0),
        sender=event.get("neighbour", 0),
        rank=event.get("rank", 0.0),
        prior=event.get("dup_of") or "",
        further_try=bool(bits & FURTHER_TRY),
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
    api.Refuse: lambda a: {
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


class Host:
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
        except MissingSetting as error:
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
        raise BadInput(f"input line {number}: not JSON: {error}") from None
    if not isinstance(batch, dict):
        raise BadInput(f"input line {number}: not a batch: expected an object")
    if isinstance(batch.get("sim_time_ms"), bool) or not isinstance(batch.get("sim_time_ms"), int | float):
        raise BadInput(f"input line {number}: not a batch: sim_time_ms is missing or no number")
    _check_rows(batch.get("backends"), number)
    return batch


def _check_rows(rows: Any, number: int) -> None:
    if not isinstance(rows, list):
        raise BadInput(f"input line {number}: not a batch: backends is missing or no list")
    for row in rows:
        if not (isinstance(row, dict) and isinstance(row.get("backend"), str)):
            raise BadInput(f"input line {number}: not a batch: an entry of backends has no name")
        events = row.get("arrivals")
        if not (isinstance(events, list) and all(isinstance(event, dict) for event in events)):
            raise BadInput(f"input line {number}: not a batch: arrivals is no list of events")


def serve(lines: Iterable[str], out: TextIO) -> None:
    """Answer every batch with one line until the input ends."""
    host = Host()
    for number, line in enumerate(lines, start=1):
        reply = host.batch(parse(line, number))
        out.write(json.dumps(reply, separators=(",", ":")) + "\n")
        out.flush()


def main() -> int:
    """Run the adapter on standard input and output."""
    try:
        serve(sys.stdin, sys.stdout)
    except BadInput as error:
        print(error, file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
