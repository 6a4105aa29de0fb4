"""Reads the JSON settings object of a server into `Settings`, for the simulator adapter and for the server.

The keys are defined by the platform; `read_settings` and `_class` map them to fields.
"""

from __future__ import annotations

import sys
from typing import Any

from myrtlespar.errors import MyrtlesparError
from myrtlespar.policy.settings import Effect, LoadSignal, RequestClass, Settings

EFFECTS = {"free": Effect.SAFE, "guarded": Effect.KEYED, "single_shot": Effect.UNSAFE}
SIGNALS = {"floor": LoadSignal.LEVEL, "allowance": LoadSignal.CREDIT, "weight": LoadSignal.WEIGHT}
HALTS_THAT_STOP_RUNS = ("discard", "freeze")
MAX_ERROR_LENGTH = 200  # characters; longer texts are cut, as they quote values

Json = dict[str, Any]


class MissingSettingError(MyrtlesparError):
    """A required setting is missing."""


class InvalidSettingError(MyrtlesparError):
    """A setting has an invalid value; the message begins with its key."""


def _require(table: Json, key: str, path: str) -> Any:
    """Return a required value; errors name its key."""
    if not isinstance(table, dict):
        raise InvalidSettingError(
            f"{path.rstrip('.') or 'settings'}: expected a table, got {table!r}"[:MAX_ERROR_LENGTH]
        )
    value = table.get(key)
    if value is None:
        raise MissingSettingError(f"missing setting {path}{key}")
    return value


def _number(value: Any, name: str, low: float = 0.0) -> float:
    """Return `value` as a float if it is a finite number of at least `low`."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= sys.float_info.max:
        raise InvalidSettingError(f"{name}: expected a number of at least {low:g}, got {value!r}"[:MAX_ERROR_LENGTH])
    return float(value)


def _optional(table: Json, key: str, default: float, path: str) -> float:
    """Return a number, or the default if it is absent or null."""
    value = table.get(key)
    return default if value is None else _number(value, path + key)


def _list(table: Json, key: str, path: str) -> list[Any]:
    """Return a list; an empty one if the key is absent."""
    value = table.get(key)
    if value is not None and not isinstance(value, list):
        raise InvalidSettingError(f"{path}{key}: expected a list, got {value!r}"[:MAX_ERROR_LENGTH])
    return value or []


def _table(table: Json, key: str) -> Json:
    """Return a table; an empty one if the key is absent."""
    value = table.get(key)
    if value is not None and not isinstance(value, dict):
        raise InvalidSettingError(f"{key}: expected a table, got {value!r}"[:MAX_ERROR_LENGTH])
    return value or {}


def _effect(value: Any, name: str) -> Effect:
    if not isinstance(value, str) or value not in EFFECTS:
        raise InvalidSettingError(f"{name}: expected one of {', '.join(EFFECTS)}, got {value!r}"[:MAX_ERROR_LENGTH])
    return EFFECTS[value]


def _class(row: Json, index: int, calls: list[bool], degraded: list[float]) -> RequestClass:
    path = f"classes[{index}]."
    degraded_weight = 0.0
    if index < len(degraded):
        degraded_weight = _number(degraded[index] or 0.0, f"family_info.degraded_worth[{index}]")
    return RequestClass(
        latency_objective_ms=_number(_require(row, "aim_ms", path), f"{path}aim_ms"),
        client_timeout_ms=_number(_require(row, "give_up_ms", path), f"{path}give_up_ms"),
        priority_weight=_optional(row, "worth", 1.0, path),
        late_weight=_optional(row, "late_worth", 0.0, path),
        effect=_effect(_require(row, "effect", path), f"{path}effect"),
        window_ms=_optional(row, "window_ms", 0.0, path),
        calls=bool(calls[index]) if index < len(calls) else False,
        degraded_weight=degraded_weight,
    )


def _max_retry_after_ms(permissions: Json) -> float:
    """Return the upper bound of Retry-After in ms; 0 if Retry-After is not allowed."""
    if not permissions.get("retry_after", True):
        return 0.0
    return _optional(permissions, "max_retry_after_ms", 0.0, "permissions.")


def _tenants(params: Json) -> list[Json]:
    """Return the tables of the tenants."""
    tenants = _list(params, "projects", "")
    for index, tenant in enumerate(tenants):
        if not isinstance(tenant, dict):
            raise InvalidSettingError(f"projects[{index}]: expected a table, got {tenant!r}"[:MAX_ERROR_LENGTH])
    return tenants


def _class_rows(params: Json) -> list[Any]:
    """Return the tables of the request classes, at least one."""
    rows = _require(params, "classes", "")
    if not isinstance(rows, list) or not rows:
        raise InvalidSettingError(f"classes: expected at least one class, got {rows!r}"[:MAX_ERROR_LENGTH])
    return rows


def read_settings(params: Json) -> Settings:
    """Return the settings in a settings object.

    Raises:
        MissingSettingError: A required setting is missing.
        InvalidSettingError: A setting has an invalid value.
    """
    # One line for each key, in the order in which errors are reported.
    _require(params, "family_info", "")
    _require(params, "invariants", "")
    info = _table(params, "family_info")
    rules = _table(params, "invariants")
    permissions = _table(params, "permissions")
    clients = _table(params, "clients")
    calls = _list(info, "calls_by_class", "family_info.")
    degraded = _list(info, "degraded_worth", "family_info.")
    tenants = _tenants(params)
    rows = _class_rows(params)
    return Settings(
        classes=[_class(row, index, calls, degraded) for index, row in enumerate(rows)],
        cores=int(_number(_require(info, "cores", "family_info."), "family_info.cores")),
        memory_kb=_number(_require(info, "memory_kb", "family_info."), "family_info.memory_kb"),
        tenant_quotas=[_optional(row, "quota_rps", 0.0, f"projects[{index}].") for index, row in enumerate(tenants)],
        over_quota_weight=_optional(params, "over_share_worth", 1.0, ""),
        servers=int(_optional(params, "servers", 1, "")),
        senders=int(_optional(info, "senders", 1, "family_info.")),
        tier=int(_optional(params, "tier", 0, "")),
        cold=bool(info.get("cold", False)),
        cold_from=_optional(rules, "cold_from", 1.0, "invariants."),
        warm_up_ms=_optional(rules, "warm_up_ms", 0.0, "invariants."),
        fall_multiple=_number(_require(rules, "fall_multiple", "invariants."), "invariants.fall_multiple"),
        fall_ms=_number(_require(rules, "fall_ms", "invariants."), "invariants.fall_ms"),
        answer_slack_ms=_optional(rules, "answer_slack_ms", 0.0, "invariants."),
        drain_grace_ms=_optional(rules, "drain_grace_ms", 0.0, "invariants."),
        round_ms=_optional(params, "round_ms", 1.0, ""),
        run_memory_factor=_optional(info, "blowup", 1.0, "family_info."),
        key_kb=_optional(info, "key_kb", 0.0, "family_info."),
        shared_dependency=info.get("below") == "one_for_all",
        calls_share=_optional(info, "calls_out", 0.0, "family_info."),
        calls_over_ms=_optional(info, "calls_over_ms", 1000.0, "family_info."),
        linger_ms=_optional(info, "linger_ms", 0.0, "family_info."),
        passes_deadline=bool(info.get("passes_deadline", False)),
        reports_cancellation=bool(info.get("tells_gone", False)),
        discovery_follows_health=bool(info.get("list_follows", False)),
        deep_checks=bool(info.get("deep_checks", False)),
        signal=SIGNALS.get(str(info.get("signal")), LoadSignal.NONE),
        can_stop=info.get("halt") in HALTS_THAT_STOP_RUNS,
        marks_retries=bool(clients.get("marks_retry", False)),
        weight_by_work=params.get("worth_by") == "work",
        heeded_ms=_optional(info, "heeded_ms", 1000.0, "family_info."),
        caller_idle_ms=_optional(info, "caller_idle_ms", 15000.0, "family_info."),
        max_retry_after_ms=_max_retry_after_ms(permissions),
        gauges=_list(info, "gauges", "family_info."),
    )
