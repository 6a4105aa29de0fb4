"""The fleet's YAML file: read, checked, and given defaults. Each fault is one line that names the key."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import msgspec
import yaml

from myrtlespar.config import ConfigError
from myrtlespar.membership.quorum import VoterSet
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.net.codec.peer import is_valid_address, is_valid_name, split
from myrtlespar.quota.retry_budget import RetryBudgetSettings
from myrtlespar.quota.settings import GrantSettings, Limit, LimitKind

KEY = "MYRTLESPAR_FLEET"


class VoterSetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who counts for majorities, by site."""

    version: int
    sites: dict[str, list[str]]


class EngineSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An engine that says who keeps what: its etcd v3 API. Its leases are whole seconds."""

    address: str
    ttl_s: int = 2
    timeout_ms: int = 500


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file. `bind` is where this process listens (UDP and TCP), `advertise` where others reach it."""

    fleet: str
    site: str
    bind: str
    name: str = ""  # that of the platform's file, if empty
    advertise: str = ""  # `bind`, if empty
    seeds: list[str] = []
    electorate: VoterSetSettings | None = None
    membership: MembershipSettings = MembershipSettings()
    limits: dict[str, Limit] = {}
    limits_version: int = 1  # grows by one with each change of a number; `before` names the one it replaces
    grants: GrantSettings = GrantSettings()
    repeats: RetryBudgetSettings | None = None
    state: str = ""  # a folder that outlives the process, for budgets
    engine: EngineSettings | None = None  # in place of majority leases
    datagrams_per_s: int = 2000  # more are dropped and counted, so that a flood can't take the core
    clock_rate: float = 1.0  # fault_scenarios of a clock that runs fast or slow: what limits go by
    wall_shift_ms: int = 0  # fault_scenarios of a wrong clock: added to the wall clock, which matters for lives only

    @property
    def roll(self) -> VoterSet:
        """The electorate; version 0 and empty where none is set, so that no majority is claimed."""
        if self.electorate is None:
            return VoterSet(0, {})
        return VoterSet(self.electorate.version, {s: tuple(row) for s, row in self.electorate.sites.items()})


class _Loader(yaml.SafeLoader):
    """Refuses a key that stands twice in one table."""

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[Any, Any]:
        """As the parent's, after the check."""
        seen = set()
        for key, _ in node.value:
            if key.value in seen:
                raise ConfigError(f"{key.value}: stands twice in one table, line {key.start_mark.line + 1}")
            seen.add(key.value)
        return super().construct_mapping(node, deep)


def read_fleet(path: str, own_name: str) -> FleetSettings:
    """The file's settings. ConfigError names the faulty key."""
    try:
        raw = yaml.load(Path(path).read_text(), _Loader)
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{KEY}: cannot read {path}: {getattr(error, 'strerror', None) or error}") from None
    except yaml.YAMLError as error:
        raise ConfigError(f"{KEY}: not YAML: " + " ".join(str(error).split())[:160]) from None
    try:
        rows = raw.get("limits") if isinstance(raw, dict) else None
        for name, row in rows.items() if isinstance(rows, dict) else ():  # one by one, so that a fault names its limit
            path = f"limits.{name}."
            msgspec.convert(row, Limit)
        path = ""
        found = msgspec.convert(raw, FleetSettings)
    except msgspec.ValidationError as error:
        raise ConfigError(path + _line(str(error))) from None
    found = msgspec.structs.replace(found, name=found.name or own_name, advertise=found.advertise or found.bind)
    _check(found)
    return found


def _line(text: str) -> str:
    """`Expected x - at `$.a.b`` and the like, key first."""
    what, _, where = text.partition(" - at ")
    path = where.strip("`").removeprefix("$").lstrip(".")
    field = re.search(r"(missing required|unknown) field `([^`]*)`", what)
    if field:
        path = f"{path}.{field[2]}" if path else field[2]
        what = "missing" if field[1] == "missing required" else "unknown key"
    return f"{path or KEY}: {what[:1].lower()}{what[1:]}"


def _check(found: FleetSettings) -> None:
    for key, value in (("fleet", found.fleet), ("name", found.name), ("site", found.site)):
        if not is_valid_name(value):
            raise ConfigError(f"{key}: expected 1 to 48 printable characters without spaces, got {value!r}")
    places = [
        ("bind", found.bind),
        ("advertise", found.advertise),
        *((f"seeds[{n}]", seed) for n, seed in enumerate(found.seeds)),
    ]
    for key, value in places:
        if not is_valid_address(value):
            raise ConfigError(f"{key}: expected A.B.C.D:PORT, got {value!r}")
    if split(found.advertise)[0] == "0.0.0.0":
        raise ConfigError(f"advertise: others can't reach {found.advertise}")
    fault = found.membership.fault()
    if fault:
        raise ConfigError(f"membership.{fault}")
    if not 10 <= found.datagrams_per_s <= 1_000_000:
        raise ConfigError(f"datagrams_per_s: expected a number from 10 to 1000000, got {found.datagrams_per_s}")
    if not 0.5 <= found.clock_rate <= 2:
        raise ConfigError(f"clock_rate: expected 0.5 to 2, got {found.clock_rate}")
    if found.electorate is not None:
        _check_roll(found, found.electorate)
    _check_limits(found)


def _check_limits(found: FleetSettings) -> None:
    fault = found.grants.fault()
    if fault:
        raise ConfigError(f"grants.{fault}")
    if found.engine is not None:
        if not is_valid_address(found.engine.address):
            raise ConfigError(f"engine.address: expected A.B.C.D:PORT, got {found.engine.address!r}")
        if not 1 <= found.engine.ttl_s <= 600:
            raise ConfigError(f"engine.ttl_s: expected 1 to 600, got {found.engine.ttl_s}")
        if not 10 <= found.engine.timeout_ms <= 250 * found.engine.ttl_s:
            raise ConfigError(f"engine.timeout_ms: expected 10 to a quarter of ttl_s, got {found.engine.timeout_ms}")
    if found.repeats is not None and found.repeats.fault():
        raise ConfigError(f"repeats.{found.repeats.fault()}")
    members = sum(len(row) for row in found.electorate.sites.values()) if found.electorate else 0
    if 0 < found.grants.members_most < members:
        raise ConfigError(f"grants.members_most: the roll has {members} members, got {found.grants.members_most}")
    if not 1 <= found.limits_version < 2**40:
        raise ConfigError(f"limits_version: expected a number from 1, got {found.limits_version}")
    for name, limit in found.limits.items():
        if not is_valid_name(name) or "/" in name or len(name) > 32:
            raise ConfigError(f"limits.{name}: expected a name of at most 32 characters without spaces and slashes")
        fault = limit.fault()
        if fault:
            raise ConfigError(f"limits.{name}.{fault}")
        if limit.per_day is not None and not found.state:
            raise ConfigError(f"limits.{name}.per_day: needs state, a folder that outlives the process")
        if limit.kind is not LimitKind.ADVISORY and not members:
            raise ConfigError(f"limits.{name}.kind: {limit.kind.value} needs an electorate, as else nobody may grant")


def limits_fault(old: FleetSettings, new: FleetSettings) -> str:
    """Why the limits can't change so while in service: key and cause; empty if they can. Only numbers change."""
    if new.limits_version != old.limits_version + 1:
        return (
            f"limits_version: {old.limits_version} is in force, expected {old.limits_version + 1}, "
            f"got {new.limits_version}"
        )
    if set(new.limits) != set(old.limits):
        name = min(set(new.limits) ^ set(old.limits))
        return f"limits.{name}: a limit comes or goes with a restart of all members"
    for name, limit in new.limits.items():
        was = old.limits[name]
        number = was.at_once if was.per_s is None else was.per_s
        same = msgspec.structs.replace(limit, before=was.before, per_s=was.per_s, at_once=was.at_once)
        if same != was or (limit.per_s is None) != (was.per_s is None):
            return f"limits.{name}: only its number changes in service, all else with a restart of all members"
        if (limit.per_s, limit.at_once) != (was.per_s, was.at_once) and limit.before != number:
            return f"limits.{name}.before: {number:g} is in force, got {limit.before}"
        if limit.before is not None and limit.before != number:
            return f"limits.{name}.before: {number:g} is in force, got {limit.before:g}"
    if (new.grants, new.repeats) != (old.grants, old.repeats):
        return "grants: changes with a restart"
    return ""


def _check_roll(found: FleetSettings, roll: VoterSetSettings) -> None:
    if not 1 <= roll.version < 2**53:
        raise ConfigError(f"electorate.version: expected a number from 1, got {roll.version}")
    seen: dict[str, str] = {}
    for site, names in roll.sites.items():
        for n, name in enumerate(names):
            if not is_valid_name(name) or not is_valid_name(site):
                raise ConfigError(f"electorate.sites.{site}[{n}]: expected a name, got {name!r}")
            if name in seen:
                raise ConfigError(f"electorate.sites.{site}[{n}]: {name} stands twice, also in {seen[name]}")
            seen[name] = site
    if not seen:
        raise ConfigError("electorate.sites: empty, so no majority could ever be had; leave electorate out instead")
    if seen.get(found.name, found.site) != found.site:
        raise ConfigError(f"electorate.sites.{seen[found.name]}: {found.name} is of site {found.site} here")
