"""From the settings object of an instance to the module's settings; the adapter and the server share it."""

from __future__ import annotations

import sys
from typing import Any

from myrtlespar.errors import MyrtlesparError
from myrtlespar.policy import messages as api

EFFECTS = {"free": api.Effect.SAFE, "guarded": api.Effect.KEYED, "single_shot": api.Effect.UNSAFE}
SIGNALS = {"floor": api.Signal.LEVEL, "allowance": api.Signal.CREDIT, "weight": api.Signal.WEIGHT}
STOPS = ("discard", "freeze")

Json = dict[str, Any]


class MissingSettingError(MyrtlesparError):
    """A setting that the module cannot do without was not given."""


class InvalidSettingError(MyrtlesparError):
    """A setting is there and means nothing; the text begins with its key."""


def _require(table: Json, key: str, path: str) -> Any:
    if not isinstance(table, dict):  # guards against a fault that would name no key
        raise InvalidSettingError(f"{path.rstrip('.') or 'settings'}: expected a table, got {table!r}"[:200])
    value = table.get(key)
    if value is None:
        raise MissingSettingError(f"missing setting {path}{key}")
    return value


def _number(value: Any, name: str, low: float = 0.0) -> float:
    """A finite number from `low` on."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= sys.float_info.max:
        raise InvalidSettingError(f"{name}: expected a number from {low:g}, got {value!r}"[:200])
    return float(value)


def _optional(table: Json, key: str, default: float, path: str) -> float:
    """A number that may be absent, or null, which means the same."""
    value = table.get(key)
    return default if value is None else _number(value, path + key)


def _list(table: Json, key: str, path: str) -> list[Any]:
    """A list that may be absent."""
    value = table.get(key)
    if value is not None and not isinstance(value, list):
        raise InvalidSettingError(f"{path}{key}: expected a list, got {value!r}"[:200])
    return value or []


def _table(table: Json, key: str) -> Json:
    """A table that may be absent."""
    value = table.get(key)
    if value is not None and not isinstance(value, dict):
        raise InvalidSettingError(f"{key}: expected a table, got {value!r}"[:200])
    return value or {}


def _effect(value: Any, name: str) -> api.Effect:
    if not isinstance(value, str) or value not in EFFECTS:
        raise InvalidSettingError(f"{name}: expected one of {', '.join(EFFECTS)}, got {value!r}"[:200])
    return EFFECTS[value]


def _class(row: Json, index: int, calls: list[bool], skips: list[float]) -> api.RequestClass:
    path = f"classes[{index}]."
    return api.RequestClass(
        latency_objective_ms=_number(_require(row, "aim_ms", path), f"{path}aim_ms"),
        client_timeout_ms=_number(_require(row, "give_up_ms", path), f"{path}give_up_ms"),
        priority_weight=_optional(row, "worth", 1.0, path),
        late_weight=_optional(row, "late_worth", 0.0, path),
        effect=_effect(_require(row, "effect", path), f"{path}effect"),
        window_ms=_optional(row, "window_ms", 0.0, path),
        calls=bool(calls[index]) if index < len(calls) else False,
        degraded_weight=_number(skips[index] or 0.0, f"family_info.degraded_worth[{index}]")
        if index < len(skips)
        else 0.0,
    )


def _longest_advice(allow: Json) -> float:
    return _optional(allow, "max_retry_after_ms", 0.0, "permissions.") if allow.get("retry_after", True) else 0.0


def read_settings(params: Json) -> api.Settings:
    """Turn the first message of an instance into the module's settings."""
    _require(params, "family_info", "")
    _require(params, "invariants", "")
    info, rules = _table(params, "family_info"), _table(params, "invariants")
    allow, clients = _table(params, "permissions"), _table(params, "clients")
    calls, skips = _list(info, "calls_by_class", "family_info."), _list(info, "degraded_worth", "family_info.")
    shares = _list(params, "projects", "")
    for n, share in enumerate(shares):
        if not isinstance(share, dict):
            raise InvalidSettingError(f"projects[{n}]: expected a table, got {share!r}"[:200])
    fields = "family_info."
    rows = _require(params, "classes", "")
    if not isinstance(rows, list) or not rows:
        raise InvalidSettingError(f"classes: expected at least one class, got {rows!r}"[:200])
    return api.Settings(
        classes=[_class(row, i, calls, skips) for i, row in enumerate(rows)],
        cores=int(_number(_require(info, "cores", "family_info."), "family_info.cores")),
        memory_kb=_number(_require(info, "memory_kb", "family_info."), "family_info.memory_kb"),
        tenant_quotas=[_optional(share, "quota_rps", 0.0, f"projects[{n}].") for n, share in enumerate(shares)],
        over_quota_weight=_optional(params, "over_share_worth", 1.0, ""),
        servers=int(_optional(params, "servers", 1, "")),
        senders=int(_optional(info, "senders", 1, fields)),
        tier=int(_optional(params, "tier", 0, "")),
        cold=bool(info.get("cold", False)),
        cold_from=_optional(rules, "cold_from", 1.0, "invariants."),
        warm_up_ms=_optional(rules, "warm_up_ms", 0.0, "invariants."),
        fall_multiple=_number(_require(rules, "fall_multiple", "invariants."), "invariants.fall_multiple"),
        fall_ms=_number(_require(rules, "fall_ms", "invariants."), "invariants.fall_ms"),
        answer_slack_ms=_optional(rules, "answer_slack_ms", 0.0, "invariants."),
        drain_grace_ms=_optional(rules, "drain_grace_ms", 0.0, "invariants."),
        round_ms=_optional(params, "round_ms", 1.0, ""),
        run_memory_factor=_optional(info, "blowup", 1.0, fields),
        key_kb=_optional(info, "key_kb", 0.0, fields),
        shared_dependency=info.get("below") == "one_for_all",
        calls_share=_optional(info, "calls_out", 0.0, fields),
        calls_over_ms=_optional(info, "calls_over_ms", 1000.0, fields),
        linger_ms=_optional(info, "linger_ms", 0.0, fields),
        passes_deadline=bool(info.get("passes_deadline", False)),
        reports_cancellation=bool(info.get("tells_gone", False)),
        discovery_follows_health=bool(info.get("list_follows", False)),
        deep_checks=bool(info.get("deep_checks", False)),
        signal=SIGNALS.get(str(info.get("signal")), api.Signal.NONE),
        can_stop=info.get("halt") in STOPS,
        marks_retries=bool(clients.get("marks_retry", False)),
        weight_by_work=params.get("worth_by") == "work",
        heeded_ms=_optional(info, "heeded_ms", 1000.0, fields),
        caller_idle_ms=_optional(info, "caller_idle_ms", 15000.0, fields),
        max_retry_after_ms=_longest_advice(allow),
        gauges=_list(info, "gauges", fields),
    )
