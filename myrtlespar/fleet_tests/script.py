"""The fault script: read, checked, and laid out as single steps. The form is FLEET's, to the letter."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import yaml

from myrtlespar.errors import MyrtlesparError
from myrtlespar.fault_proxy.faults import SERVICES, FaultRule, members_named
from myrtlespar.net.codec.peer import is_valid_name
from myrtlespar.quota.settings import Limit

JUDGED = ("members", "limits", "orders")  # what this build judges
NAMED = ("members", "limits", "verdicts", "orders", "site")
CLASSES = ("render", "fetch", "order")
VERBS: Mapping[str, tuple[str, ...]] = {  # beside at_s
    "cut": ("for_s", "one_way"),
    "kill": ("restart_after_s",),
    "pause": ("for_s",),
    "lose": ("for_s",),
    "leave": (),
    "replace": (),
    "link": ("drop", "delay_ms", "jitter_ms", "duplicate", "reorder", "for_s", "one_way"),
}
MOST_MEMBERS, MOST_S, MOST_EVENTS = 60, 7200.0, 500  # of real processes; the emulator scales sites up by itself


class ScriptError(MyrtlesparError):
    """One line that names the faulty key and why."""


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """Requests a second of all proxies together, by class; each is tried again at most `max_retries` times."""

    rate: float = 0.0
    mix: Mapping[str, float] = field(default_factory=dict)
    proxies: int = 0
    max_retries: int = 0
    after_ms: float = 200.0


@dataclass(frozen=True, slots=True)
class ScriptStep:
    """One thing done at one time: rule_on, rule_off, kill, start, pause, resume, lose, back, leave or replace."""

    at_ms: float
    kind: str
    names: tuple[str, ...] = ()
    number: int = 0  # of the event it comes from
    rule: FaultRule | None = None


@dataclass(frozen=True, slots=True)
class Script:
    """A whole one. `steps` are in order of time."""

    sites: Mapping[str, tuple[str, ...]]
    length_ms: float
    steps: tuple[ScriptStep, ...]
    load: LoadSettings
    checks: tuple[str, ...]
    limits: Mapping[str, Limit] = field(default_factory=dict)
    engine: bool = False

    @property
    def members(self) -> tuple[str, ...]:
        """All names, site by site."""
        return tuple(name for row in self.sites.values() for name in row)

    def site_of(self, name: str) -> str:
        """The site of a member."""
        return next(site for site, row in self.sites.items() if name in row)


class _Rows:
    """A table that names its own path in every complaint."""

    def __init__(self, rows: Any, path: str, known: tuple[str, ...]) -> None:
        if not isinstance(rows, dict):
            raise ScriptError(f"{path or 'script'}: expected a table, got {rows!r}"[:160])
        self.rows, self.path = rows, path
        for name in rows:
            if name not in known:
                raise ScriptError(f"{self.key(name)}: unknown key")

    def key(self, name: Any) -> str:
        return f"{self.path}.{name}" if self.path else str(name)

    def number(self, name: str, default: float | None, low: float, high: float) -> float:
        value = self.rows.get(name, default)
        if value is None:
            raise ScriptError(f"{self.key(name)}: missing")
        if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
            raise ScriptError(f"{self.key(name)}: expected a number from {low:g} to {high:g}, got {value!r}")
        return float(value)

    def flag(self, name: str) -> bool:
        value = self.rows.get(name, False)
        if not isinstance(value, bool):
            raise ScriptError(f"{self.key(name)}: expected true or false, got {value!r}")
        return value


def read(path: Path, members: int = 0) -> Script:
    """The script in a file, its sites grown in proportion to so many members, if any number is given. ScriptError:
    it can't be read, or has a fault.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ScriptError(f"{path}: cannot be read: {error}".splitlines()[0]) from None
    return parse(text, members)


def parse(text: str, members: int = 0) -> Script:
    """The same from its text."""
    try:
        raw = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise ScriptError("script: not YAML: " + " ".join(str(error).split())[:160]) from None
    rows = _Rows(raw, "", ("fleet", "load", "limits", "length_s", "events", "judge"))
    sites = _sites(_Rows(rows.rows.get("fleet"), "fleet", ("sites", "engine")), members)
    limits = _limits(rows.rows.get("limits"))
    length_ms = rows.number("length_s", None, 0.1, MOST_S) * 1000
    events = rows.rows.get("events") or []
    if not isinstance(events, list) or len(events) > MOST_EVENTS:
        raise ScriptError(f"events: expected a list of at most {MOST_EVENTS}, got {str(events)[:60]!r}")
    steps: list[ScriptStep] = []
    for n, event in enumerate(events):
        steps += _event(n, event, sites, length_ms)
    steps.sort(key=lambda step: step.at_ms)
    _running(steps, sites)
    engine = _Rows(rows.rows["fleet"], "fleet", ("sites", "engine")).flag("engine")
    for step in steps:
        if not engine and step.rule is not None and "engine" in step.rule.first | step.rule.second:
            raise ScriptError(f"events[{step.number}]: engine: this fleet has none (fleet.engine)")
    return Script(
        sites, length_ms, tuple(steps), _load(rows.rows.get("load")), _judge(rows.rows.get("judge")), limits, engine
    )


def _sites(fleet: _Rows, members: int) -> Mapping[str, tuple[str, ...]]:
    rows = fleet.rows.get("sites")
    if not isinstance(rows, dict) or not rows:
        raise ScriptError(f"fleet.sites: expected a table of sites, got {rows!r}"[:160])
    out: dict[str, tuple[str, ...]] = {}
    for site, count in rows.items():
        if not isinstance(site, str) or not site.isidentifier() or site in (*SERVICES, "all", "site", "engine"):
            raise ScriptError(f"fleet.sites.{site}: expected a name of letters")
        if isinstance(count, bool) or not isinstance(count, int) or not 1 <= count <= MOST_MEMBERS:
            raise ScriptError(f"fleet.sites.{site}: expected a count from 1 to {MOST_MEMBERS}, got {count!r}")
        out[site] = tuple(f"{site}{n + 1}" for n in range(count))
    names = [name for row in out.values() for name in row]
    if len(set(names)) != len(names):
        raise ScriptError("fleet.sites: two members get the same name")
    if len(names) > MOST_MEMBERS:
        raise ScriptError(f"fleet.sites: at most {MOST_MEMBERS} members, got {len(names)}")
    if members:
        more = {site: max(len(row), round(members * len(row) / len(names))) for site, row in out.items()}
        out = {site: tuple(f"{site}{n + 1}" for n in range(count)) for site, count in more.items()}
    return out


def _load(raw: Any) -> LoadSettings:
    if raw is None:
        return LoadSettings()
    rows = _Rows(raw, "load", ("rate", "mix", "proxies", "retry"))
    mix = _Rows(rows.rows.get("mix", {"render": 1.0}), "load.mix", CLASSES)
    shares = {name: mix.number(name, None, 0, 1e6) for name in mix.rows}
    if not sum(shares.values()) > 0:
        raise ScriptError("load.mix: the shares sum to nothing")
    retry = _Rows(rows.rows.get("retry", {}), "load.retry", ("most", "after_ms"))
    whole = {"proxies": rows.number("proxies", 12, 1, 200), "most": retry.number("most", 0, 0, 20)}
    for name, value in whole.items():
        if value != int(value):
            raise ScriptError(f"load.{'retry.' if name == 'most' else ''}{name}: expected a whole number")
    return LoadSettings(
        rows.number("rate", None, 0, 5000),
        shares,
        int(whole["proxies"]),
        int(whole["most"]),
        retry.number("after_ms", 200, 0, 60_000),
    )


def _limits(raw: Any) -> Mapping[str, Limit]:
    """The fleet's limits, as in its file. One that names no class counts the class that its own name begins with
    (`order-farms` counts orders), or else all.
    """
    if raw is None:
        return {}
    if not isinstance(raw, dict):
        raise ScriptError(f"limits: expected a table, got {raw!r}"[:160])
    out: dict[str, Limit] = {}
    for name, row in raw.items():
        if not isinstance(name, str) or not is_valid_name(name) or "/" in name or len(name) > 32:
            raise ScriptError(f"limits.{name}: expected a name of at most 32 characters without spaces and slashes")
        try:
            limit = msgspec.convert(row, Limit)
        except msgspec.ValidationError as error:
            what, _, where = str(error).partition(" - at ")
            raise ScriptError(f"limits.{name}{where.strip('`').removeprefix('$')}: {what}") from None
        first = name.partition("-")[0]
        if not limit.cls and first in CLASSES:
            limit = msgspec.structs.replace(limit, cls=first)
        if limit.cls and limit.cls not in CLASSES:
            raise ScriptError(f"limits.{name}.class: {limit.cls!r} is none of {', '.join(CLASSES)}")
        if limit.fault():
            raise ScriptError(f"limits.{name}.{limit.fault()}")
        out[name] = limit
    return out


def _judge(raw: Any) -> tuple[str, ...]:
    if raw is None:
        return JUDGED
    if not isinstance(raw, list) or not raw:
        raise ScriptError(f"judge: expected a list, got {raw!r}"[:160])
    for n, name in enumerate(raw):
        if name not in NAMED:
            raise ScriptError(f"judge[{n}]: {name!r} is none of {', '.join(NAMED)}")
        if name not in JUDGED:
            raise ScriptError(f"judge[{n}]: this build does not judge {name}")
    return tuple(raw)


def _event(n: int, raw: Any, sites: Mapping[str, tuple[str, ...]], length_ms: float) -> list[ScriptStep]:
    path = f"events[{n}]"
    verbs = [verb for verb in VERBS if isinstance(raw, dict) and verb in raw]
    if len(verbs) != 1:
        raise ScriptError(f"{path}: expected one of {', '.join(VERBS)}, got {raw!r}"[:160])
    verb = verbs[0]
    rows = _Rows(raw, path, ("at_s", verb, *VERBS[verb]))
    at = rows.number("at_s", None, 0, length_ms / 1000) * 1000
    end = at + rows.number("for_s", None, 0.001, MOST_S) * 1000 if "for_s" in rows.rows else float("inf")
    if verb in ("cut", "link"):
        rule = _rule(rows, verb, sites)
        return [
            ScriptStep(at, "rule_on", number=n, rule=rule),
            *_until(ScriptStep(end, "rule_off", number=n, rule=rule)),
        ]
    names = _who(rows, verb, sites)
    if verb == "kill":
        back = (
            at + rows.number("restart_after_s", None, 0, MOST_S) * 1000
            if "restart_after_s" in rows.rows
            else float("inf")
        )
        return [ScriptStep(at, "kill", names, n), *_until(ScriptStep(back, "start", names, n))]
    if verb in ("pause", "lose"):
        return [
            ScriptStep(at, verb, names, n),
            *_until(ScriptStep(end, "resume" if verb == "pause" else "back", names, n)),
        ]
    return [ScriptStep(at, verb, names, n)]


def _until(step: ScriptStep) -> list[ScriptStep]:
    return [step] if step.at_ms != float("inf") else []


def _who(rows: _Rows, verb: str, sites: Mapping[str, tuple[str, ...]]) -> tuple[str, ...]:
    value = rows.rows[verb]
    found = members_named(value, sites) if isinstance(value, str) and value not in SERVICES else None
    if found is None:
        raise ScriptError(f"{rows.key(verb)}: no member or site is named {value!r}")
    return tuple(name for row in sites.values() for name in row if name in found)


def _rule(rows: _Rows, verb: str, sites: Mapping[str, tuple[str, ...]]) -> FaultRule:
    ends = rows.rows[verb]
    if not isinstance(ends, list) or len(ends) != 2:
        raise ScriptError(f"{rows.key(verb)}: expected two names, got {ends!r}"[:160])
    found = [members_named(end, sites) if isinstance(end, str) else None for end in ends]
    for n, names in enumerate(found):
        if names is None:
            raise ScriptError(f"{rows.key(verb)}[{n}]: no member, site or service is named {ends[n]!r}")
    first, second = found[0] or frozenset(), found[1] or frozenset()
    if first | second <= set(SERVICES):
        raise ScriptError(f"{rows.key(verb)}: no link joins {ends[0]} and {ends[1]}")
    if verb == "cut":
        return FaultRule(first, second, rows.flag("one_way"), True)
    return FaultRule(
        first,
        second,
        rows.flag("one_way"),
        False,
        rows.number("drop", 0, 0, 1),
        rows.number("delay_ms", 0, 0, 60_000),
        rows.number("jitter_ms", 0, 0, 60_000),
        rows.number("duplicate", 0, 0, 1),
        rows.number("reorder", 0, 0, 1),
    )


def _running(steps: list[ScriptStep], sites: Mapping[str, tuple[str, ...]]) -> None:
    """Guards against goodbyes of members that do not run then; killing what is dead already changes nothing."""
    up = {name: True for row in sites.values() for name in row}
    for step in steps:
        for name in step.names:
            if step.kind in ("leave", "replace") and not up[name]:
                raise ScriptError(
                    f"events[{step.number}].{step.kind}: {name} does not run at " f"{step.at_ms / 1000:g} s"
                )
            if step.kind in ("kill", "lose", "leave"):
                up[name] = False
            elif step.kind in ("start", "back"):
                up[name] = True
