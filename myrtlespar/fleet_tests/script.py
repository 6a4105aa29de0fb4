"""Parses and validates fault scripts (YAML). Examples are in `fault_scenarios/`."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec
import yaml

from myrtlespar.fault_proxy.faults import SERVICES
from myrtlespar.fleet_tests.script_events import MS_PER_S, parse_events
from myrtlespar.fleet_tests.script_model import LoadSettings, Script, ScriptError, ScriptStep, Sites
from myrtlespar.fleet_tests.script_table import MAX_MESSAGE_LENGTH, MAX_SCRIPT_S, ScriptTable
from myrtlespar.net.codec.peer import MAX_LIMIT_NAME_LENGTH, is_valid_limit_name
from myrtlespar.quota.settings import Limit

__all__ = ["LoadSettings", "Script", "ScriptError", "ScriptStep", "parse", "read"]

CHECKED = ("members", "limits", "orders")  # the checks that are implemented
KNOWN_CHECKS = ("members", "limits", "verdicts", "orders", "site")
CLASSES = ("render", "fetch", "order")
MAX_MEMBERS = 60  # limit of the members in a script, before `read` grows its sites
MIN_SCRIPT_S = 0.1
MAX_WEIGHT = 1e6
MAX_RATE_PER_S = 5000
MAX_PROXIES = 200
MAX_RETRIES = 20
MAX_RETRY_AFTER_MS = 60_000


def read(path: Path, members: int = 0) -> Script:
    """Read the script in a file.

    Args:
        path: The file.
        members: If not 0, the sites are grown in proportion to this number of members.

    Raises:
        ScriptError: The file cannot be read, or the script is invalid.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ScriptError(f"{path}: cannot be read: {error}".splitlines()[0]) from None
    return parse(text, members)


def parse(text: str, members: int = 0) -> Script:
    """Parse the text of a script; arguments and errors are those of `read`."""
    try:
        raw = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise ScriptError("script: not YAML: " + " ".join(str(error).split())[:MAX_MESSAGE_LENGTH]) from None
    table = ScriptTable(raw, "", ("fleet", "load", "limits", "length_s", "events", "judge"))
    fleet = ScriptTable(table.rows.get("fleet"), "fleet", ("sites", "engine"))
    sites = _sites(fleet, members)
    limits = _limits(table.rows.get("limits"))
    length_ms = table.number("length_s", None, MIN_SCRIPT_S, MAX_SCRIPT_S) * MS_PER_S
    steps = parse_events(table.rows.get("events"), sites, length_ms)
    engine = fleet.flag("engine")
    for step in steps:
        if not engine and step.rule is not None and "engine" in step.rule.first | step.rule.second:
            raise ScriptError(f"events[{step.number}]: engine: this fleet has none (fleet.engine)")
    return Script(
        sites,
        length_ms,
        tuple(steps),
        _load(table.rows.get("load")),
        _checks(table.rows.get("judge")),
        limits,
        engine,
    )


def _sites(fleet: ScriptTable, members: int) -> Sites:
    rows = fleet.rows.get("sites")
    if not isinstance(rows, dict) or not rows:
        raise ScriptError(f"fleet.sites: expected a table of sites, got {rows!r}"[:MAX_MESSAGE_LENGTH])
    for site, count in rows.items():
        if not isinstance(site, str) or not site.isidentifier() or site in (*SERVICES, "all", "site", "engine"):
            raise ScriptError(
                f"fleet.sites.{site}: expected letters, digits and _, except all, site and names of services"
            )
        if isinstance(count, bool) or not isinstance(count, int) or not 1 <= count <= MAX_MEMBERS:
            raise ScriptError(f"fleet.sites.{site}: expected a count from 1 to {MAX_MEMBERS}, got {count!r}")
    sites = {site: _member_names(site, count) for site, count in rows.items()}
    names = [name for row in sites.values() for name in row]
    if len(set(names)) != len(names):
        raise ScriptError("fleet.sites: two members have the same name (a site's name followed by a number)")
    if len(names) > MAX_MEMBERS:
        raise ScriptError(f"fleet.sites: at most {MAX_MEMBERS} members, got {len(names)}")
    if not members:
        return sites
    return {
        site: _member_names(site, max(len(row), round(members * len(row) / len(names)))) for site, row in sites.items()
    }


def _member_names(site: str, count: int) -> tuple[str, ...]:
    return tuple(f"{site}{index + 1}" for index in range(count))


def _load(raw: Any) -> LoadSettings:
    if raw is None:
        return LoadSettings()
    load = ScriptTable(raw, "load", ("rate", "mix", "proxies", "retry"))
    mix = ScriptTable(load.rows.get("mix", {"render": 1.0}), "load.mix", CLASSES)
    weights = {name: mix.number(name, None, 0, MAX_WEIGHT) for name in mix.rows}
    if not sum(weights.values()) > 0:
        raise ScriptError("load.mix: expected at least one share greater than 0")
    retry = ScriptTable(load.rows.get("retry", {}), "load.retry", ("most", "after_ms"))
    proxies = load.number("proxies", 12, 1, MAX_PROXIES)
    max_retries = retry.number("most", 0, 0, MAX_RETRIES)
    for key, value in (("load.proxies", proxies), ("load.retry.most", max_retries)):
        if value != int(value):
            raise ScriptError(f"{key}: expected a whole number")
    return LoadSettings(
        load.number("rate", None, 0, MAX_RATE_PER_S),
        weights,
        int(proxies),
        int(max_retries),
        retry.number("after_ms", 200, 0, MAX_RETRY_AFTER_MS),
    )


def _limits(raw: Any) -> Mapping[str, Limit]:
    """Return the fleet limits by name; their keys are those of a fleet file."""
    if raw is None:
        return {}
    if not isinstance(raw, dict):
        raise ScriptError(f"limits: expected a table, got {raw!r}"[:MAX_MESSAGE_LENGTH])
    return {name: _limit(name, row) for name, row in raw.items()}


def _limit(name: Any, row: Any) -> Limit:
    """Return one limit.

    A limit without a class applies to the class whose name its own begins with (`order-farms` to orders), or else to
    all classes.
    """
    if not isinstance(name, str) or not is_valid_limit_name(name):
        raise ScriptError(
            f"limits.{name}: expected a name of at most {MAX_LIMIT_NAME_LENGTH} characters without spaces and slashes"
        )
    try:
        limit = msgspec.convert(row, Limit)
    except msgspec.ValidationError as error:
        what, _, where = str(error).partition(" - at ")
        raise ScriptError(f"limits.{name}{where.strip('`').removeprefix('$')}: {what}") from None
    first_word = name.partition("-")[0]
    if not limit.cls and first_word in CLASSES:
        limit = msgspec.structs.replace(limit, cls=first_word)
    if limit.cls and limit.cls not in CLASSES:
        raise ScriptError(f"limits.{name}.class: {limit.cls!r} is none of {', '.join(CLASSES)}")
    if limit.validation_error():
        raise ScriptError(f"limits.{name}.{limit.validation_error()}")
    return limit


def _checks(raw: Any) -> tuple[str, ...]:
    if raw is None:
        return CHECKED
    if not isinstance(raw, list) or not raw:
        raise ScriptError(f"judge: expected a list, got {raw!r}"[:MAX_MESSAGE_LENGTH])
    for index, name in enumerate(raw):
        if name not in KNOWN_CHECKS:
            raise ScriptError(f"judge[{index}]: {name!r} is none of {', '.join(KNOWN_CHECKS)}")
        if name not in CHECKED:
            raise ScriptError(f"judge[{index}]: this build does not check {name}")
    return tuple(raw)
