"""From the settings object of an instance to the module's settings; the adapter and the server share it."""

from __future__ import annotations

import math
from typing import Any

from myrtlespar import interface as api

EFFECTS = {"free": api.Effect.SAFE, "guarded": api.Effect.KEYED, "single_shot": api.Effect.UNSAFE}
SIGNALS = {"floor": api.Signal.LEVEL, "allowance": api.Signal.CREDIT, "weight": api.Signal.WEIGHT}
STOPS = ("discard", "freeze")

Json = dict[str, Any]


class MissingSetting(Exception):
    """A setting that the module cannot do without was not given."""


class FaultySetting(Exception):
    """A setting is there and means nothing; the text begins with its key."""


def _require(table: Json, key: str, path: str) -> Any:
    if not isinstance(table, dict):  # guards against a fault that would name no key
        raise FaultySetting(f"{path.rstrip('.') or 'settings'}: expected a table, got {table!r}"[:200])
    value = table.get(key)
    if value is None:
        raise MissingSetting(f"missing setting {path}{key}")
    return value


def _number(value: Any, name: str, low: float = 0.0) -> float:
    """A finite number from `low` on."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value < math.inf:
        raise FaultySetting(f"{name}: expected a number from {low:g}, got {value!r}"[:200])
    return float(value)


def _effect(value: Any, name: str) -> api.Effect:
    if not isinstance(value, str) or value not in EFFECTS:
        raise FaultySetting(f"{name}: expected one of {', '.join(EFFECTS)}, got {value!r}"[:200])
    return EFFECTS[value]


def _class(row: Json, index: int, calls: list[bool], skips: list[float]) -> api.RequestClass:
    path = f"classes[{index}]."
    return api.RequestClass(
        aim_ms=_number(_require(row, "aim_ms", path), f"{path}aim_ms"),
        give_up_ms=_number(_require(row, "give_up_ms", path), f"{path}give_up_ms"),
        worth=float(row.get("worth", 1.0)),
        late_worth=float(row.get("late_worth", 0.0)),
        effect=_effect(_require(row, "effect", path), f"{path}effect"),
        window_ms=_number(row.get("window_ms", 0.0), f"{path}window_ms"),
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
    for name, table in (("family_info", info), ("invariants", rules), ("permissions", allow)):
        if not isinstance(table, dict):
            raise FaultySetting(f"{name}: expected a table, got {table!r}"[:200])
    calls = info.get("calls_by_class") or []
    skips = info.get("degraded_worth") or []
    rows = _require(params, "classes", "")
    if not isinstance(rows, list) or not rows:
        raise FaultySetting(f"classes: expected at least one class, got {rows!r}"[:200])
    return api.Settings(
        classes=[_class(row, i, calls, skips) for i, row in enumerate(rows)],
        cores=int(_number(_require(info, "cores", "family_info."), "family_info.cores")),
        memory_kb=_number(_require(info, "memory_kb", "family_info."), "family_info.memory_kb"),
        tenant_quotas=[float(t.get("quota_rps", 0.0)) for t in params.get("projects") or []],
        over_share_worth=float(params.get("over_share_worth", 1.0)),
        servers=int(params.get("servers", 1)),
        senders=int(info.get("senders", 1)),
        tier=int(params.get("tier", 0)),
        cold=bool(info.get("cold", False)),
        cold_from=float(rules.get("cold_from", 1.0)),
        warm_up_ms=float(rules.get("warm_up_ms", 0.0)),
        fall_multiple=_number(_require(rules, "fall_multiple", "invariants."), "invariants.fall_multiple"),
        fall_ms=_number(_require(rules, "fall_ms", "invariants."), "invariants.fall_ms"),
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
