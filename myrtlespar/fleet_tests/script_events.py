"""Parses the events of a fault script into single steps."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from myrtlespar.fault_proxy.faults import SERVICES, FaultRule, members_named
from myrtlespar.fleet_tests.script_model import ScriptError, ScriptStep, Sites
from myrtlespar.fleet_tests.script_table import MAX_MESSAGE_LENGTH, MAX_SCRIPT_S, ScriptTable

MS_PER_S = 1000
MIN_DURATION_S = 0.001
MAX_DELAY_MS = 60_000
MAX_EVENTS = 500
EVENT_KEYS: Mapping[str, tuple[str, ...]] = {  # keys by kind of event; each also has at_s
    "cut": ("for_s", "one_way"),
    "kill": ("restart_after_s",),
    "pause": ("for_s",),
    "lose": ("for_s",),
    "leave": (),
    "replace": (),
    "link": ("drop", "delay_ms", "jitter_ms", "duplicate", "reorder", "for_s", "one_way"),
}
STEP_THAT_ENDS = {"pause": "resume", "lose": "back", "kill": "start", "rule_on": "rule_off"}


def parse_events(raw: Any, sites: Sites, length_ms: float) -> list[ScriptStep]:
    """Return the steps of all events, ordered by time. Raises ScriptError, which names the invalid key."""
    events = raw or []
    if not isinstance(events, list) or len(events) > MAX_EVENTS:
        raise ScriptError(f"events: expected a list of at most {MAX_EVENTS} events, got {str(events)[:60]!r}")
    steps: list[ScriptStep] = []
    for number, event in enumerate(events):
        steps += _event(number, event, sites, length_ms)
    steps.sort(key=lambda step: step.at_ms)
    _check_running(steps, sites)
    return steps


def _event(number: int, raw: Any, sites: Sites, length_ms: float) -> list[ScriptStep]:
    path = f"events[{number}]"
    kinds = [kind for kind in EVENT_KEYS if isinstance(raw, dict) and kind in raw]
    if len(kinds) != 1:
        raise ScriptError(f"{path}: expected one of the keys {', '.join(EVENT_KEYS)}, got {raw!r}"[:MAX_MESSAGE_LENGTH])
    kind = kinds[0]
    table = ScriptTable(raw, path, ("at_s", kind, *EVENT_KEYS[kind]))
    at_ms = table.number("at_s", None, 0, length_ms / MS_PER_S) * MS_PER_S
    end_ms = _end_ms(table, "for_s", at_ms, MIN_DURATION_S)
    if kind in ("cut", "link"):
        rule = _rule(table, kind, sites)
        return _with_end(ScriptStep(at_ms, "rule_on", number=number, rule=rule), end_ms)
    names = _members(table, kind, sites)
    if kind == "kill":
        end_ms = _end_ms(table, "restart_after_s", at_ms, 0)
    return _with_end(ScriptStep(at_ms, kind, names, number), end_ms)


def _end_ms(table: ScriptTable, key: str, at_ms: float, low_s: float) -> float:
    """Return the end of a duration that begins at `at_ms`; infinity if the script sets none."""
    if key not in table.rows:
        return float("inf")
    return at_ms + table.number(key, None, low_s, MAX_SCRIPT_S) * MS_PER_S


def _with_end(step: ScriptStep, end_ms: float) -> list[ScriptStep]:
    """Return a step, followed by the step that ends it unless `end_ms` is infinite."""
    if end_ms == float("inf"):
        return [step]
    return [step, ScriptStep(end_ms, STEP_THAT_ENDS[step.kind], step.names, step.number, step.rule)]


def _members(table: ScriptTable, kind: str, sites: Sites) -> tuple[str, ...]:
    value = table.rows[kind]
    found = members_named(value, sites) if isinstance(value, str) and value not in SERVICES else None
    if found is None:
        raise ScriptError(f"{table.key(kind)}: no member or site is named {value!r}")
    return tuple(name for names in sites.values() for name in names if name in found)


def _rule(table: ScriptTable, kind: str, sites: Sites) -> FaultRule:
    ends = table.rows[kind]
    if not isinstance(ends, list) or len(ends) != 2:
        raise ScriptError(f"{table.key(kind)}: expected a list of two names, got {ends!r}"[:MAX_MESSAGE_LENGTH])
    found = [members_named(end, sites) if isinstance(end, str) else None for end in ends]
    for index, names in enumerate(found):
        if names is None:
            raise ScriptError(f"{table.key(kind)}[{index}]: no member, site or service is named {ends[index]!r}")
    first = found[0] or frozenset()
    second = found[1] or frozenset()
    if first | second <= set(SERVICES):
        raise ScriptError(
            f"{table.key(kind)}: expected a member or site at one end, got services {ends[0]} and {ends[1]}"
        )
    one_way = table.flag("one_way")
    if kind == "cut":
        return FaultRule(first, second, one_way, cut=True)
    return FaultRule(
        first,
        second,
        one_way,
        drop=table.number("drop", 0, 0, 1),
        delay_ms=table.number("delay_ms", 0, 0, MAX_DELAY_MS),
        jitter_ms=table.number("jitter_ms", 0, 0, MAX_DELAY_MS),
        duplicate=table.number("duplicate", 0, 0, 1),
        reorder=table.number("reorder", 0, 0, 1),
    )


def _check_running(steps: list[ScriptStep], sites: Sites) -> None:
    """Reject steps that end or replace a stopped member gracefully. Killing one has no effect and is allowed."""
    running = {name: True for names in sites.values() for name in names}
    for step in steps:
        for name in step.names:
            if step.kind in ("leave", "replace") and not running[name]:
                at_s = step.at_ms / MS_PER_S
                raise ScriptError(f"events[{step.number}].{step.kind}: {name} does not run at {at_s:g} s")
            if step.kind in ("kill", "lose", "leave"):
                running[name] = False
            elif step.kind in ("start", "back"):
                running[name] = True
