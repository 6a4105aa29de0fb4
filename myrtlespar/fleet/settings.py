"""The fleet's YAML file: read, validated, and given defaults. Each fault is one line that names the key."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import msgspec
import yaml

from myrtlespar.config import ConfigError
from myrtlespar.membership.quorum import VoterSet
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.net.codec.peer import (
    MAX_LIMIT_NAME_LENGTH,
    is_valid_address,
    is_valid_limit_name,
    is_valid_name,
    split_address,
)
from myrtlespar.quota.retry_budget import RetryBudgetSettings
from myrtlespar.quota.settings import GrantSettings, Limit, LimitKind

KEY = "MYRTLESPAR_FLEET"
MIN_DATAGRAMS_PER_S = 10
MAX_DATAGRAMS_PER_S = 1_000_000
MAX_ENGINE_TTL_S = 600
MIN_ENGINE_TIMEOUT_MS = 10
MAX_LIMITS_VERSION = 2**40  # exclusive
MAX_VOTER_SET_VERSION = 2**53  # exclusive
KEYS_IN_SERVICE = frozenset(("limits", "limits_version", "electorate"))  # a reload adopts them


class VoterSetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who counts for majorities, by site."""

    version: int
    sites: dict[str, list[str]]


class EngineSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An engine with etcd's v3 API as the source of shard leases, whose length is in whole seconds."""

    address: str
    ttl_s: int = 2
    timeout_ms: int = 500


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The complete file. `bind` is where this process listens (UDP and TCP), `advertise` where others reach it."""

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
    datagrams_per_s: int = 2000  # more are dropped and counted, so that a flood can't take the processor
    clock_rate: float = 1.0  # for tests of a clock that runs fast or slow: that of the limits
    wall_shift_ms: int = 0  # for tests of a wrong clock: added to the wall clock, which sets incarnations only

    @property
    def voter_set(self) -> VoterSet:
        """Who counts for majorities; version 0 and empty where none is set, so that no majority is claimed."""
        if self.electorate is None:
            return VoterSet(0, {})
        return VoterSet(self.electorate.version, {site: tuple(names) for site, names in self.electorate.sites.items()})


class _UniqueKeyLoader(yaml.SafeLoader):
    """Rejects a key that stands twice in one table."""

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[Any, Any]:
        """Build the mapping as the parent class does. ConfigError if a key is duplicated."""
        seen = set()
        for key, _ in node.value:
            if key.value in seen:
                raise ConfigError(f"{key.value}: stands twice in one table, line {key.start_mark.line + 1}")
            seen.add(key.value)
        return super().construct_mapping(node, deep)


def read_fleet(path: str, own_name: str) -> FleetSettings:
    """The file's settings. ConfigError names the faulty key."""
    try:
        raw = yaml.load(Path(path).read_text(), _UniqueKeyLoader)
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{KEY}: cannot read {path}: {getattr(error, 'strerror', None) or error}") from None
    except yaml.YAMLError as error:
        raise ConfigError(f"{KEY}: not YAML: " + " ".join(str(error).split())[:160]) from None
    found = _convert(raw)
    found = msgspec.structs.replace(found, name=found.name or own_name, advertise=found.advertise or found.bind)
    _check(found)
    return found


def _convert(raw: Any) -> FleetSettings:
    """The settings in parsed YAML. ConfigError names the key of a wrong type."""
    path = ""
    try:
        rows = raw.get("limits") if isinstance(raw, dict) else None
        for name, row in rows.items() if isinstance(rows, dict) else ():  # one by one, so that a fault names its limit
            path = f"limits.{name}."
            msgspec.convert(row, Limit)
        path = ""
        return msgspec.convert(raw, FleetSettings)
    except msgspec.ValidationError as error:
        raise ConfigError(path + _key_first(str(error))) from None


def _key_first(text: str) -> str:
    """A message of msgspec, such as "Expected x - at `$.a.b`", with the key first."""
    what, _, where = text.partition(" - at ")
    path = where.strip("`").removeprefix("$").lstrip(".")
    field = re.search(r"(missing required|unknown) field `([^`]*)`", what)
    if field:
        path = f"{path}.{field[2]}" if path else field[2]
        what = "missing" if field[1] == "missing required" else "unknown key"
    return f"{path or KEY}: {what[:1].lower()}{what[1:]}"


def _check(found: FleetSettings) -> None:
    """Validate values. ConfigError names the first key that is faulty."""
    for key, value in (("fleet", found.fleet), ("name", found.name), ("site", found.site)):
        if not is_valid_name(value):
            raise ConfigError(f"{key}: expected 1 to 48 printable characters without spaces, got {value!r}")
    _check_addresses(found)
    validation_error = found.membership.validation_error()
    if validation_error:
        raise ConfigError(f"membership.{validation_error}")
    if not MIN_DATAGRAMS_PER_S <= found.datagrams_per_s <= MAX_DATAGRAMS_PER_S:
        raise ConfigError(
            f"datagrams_per_s: expected a number from {MIN_DATAGRAMS_PER_S} to {MAX_DATAGRAMS_PER_S}, "
            f"got {found.datagrams_per_s}"
        )
    if not 0.5 <= found.clock_rate <= 2:
        raise ConfigError(f"clock_rate: expected 0.5 to 2, got {found.clock_rate}")
    if found.electorate is not None:
        _check_voter_set(found, found.electorate)
    _check_limits(found)


def _check_addresses(found: FleetSettings) -> None:
    addresses = [
        ("bind", found.bind),
        ("advertise", found.advertise),
        *((f"seeds[{n}]", seed) for n, seed in enumerate(found.seeds)),
    ]
    for key, value in addresses:
        if not is_valid_address(value):
            raise ConfigError(f"{key}: expected A.B.C.D:PORT, got {value!r}")
    if split_address(found.advertise)[0] == "0.0.0.0":
        raise ConfigError(f"advertise: others can't reach {found.advertise}")


def _check_engine(engine: EngineSettings) -> None:
    if not is_valid_address(engine.address):
        raise ConfigError(f"engine.address: expected A.B.C.D:PORT, got {engine.address!r}")
    if not 1 <= engine.ttl_s <= MAX_ENGINE_TTL_S:
        raise ConfigError(f"engine.ttl_s: expected 1 to {MAX_ENGINE_TTL_S}, got {engine.ttl_s}")
    if not MIN_ENGINE_TIMEOUT_MS <= engine.timeout_ms <= 250 * engine.ttl_s:
        raise ConfigError(
            f"engine.timeout_ms: expected {MIN_ENGINE_TIMEOUT_MS} to a quarter of ttl_s, got {engine.timeout_ms}"
        )


def _check_limits(found: FleetSettings) -> None:
    validation_error = found.grants.validation_error()
    if validation_error:
        raise ConfigError(f"grants.{validation_error}")
    if found.engine is not None:
        _check_engine(found.engine)
    if found.repeats is not None and found.repeats.validation_error():
        raise ConfigError(f"repeats.{found.repeats.validation_error()}")
    members = sum(len(names) for names in found.electorate.sites.values()) if found.electorate else 0
    if 0 < found.grants.members_most < members:
        raise ConfigError(f"grants.members_most: the roll has {members} members, got {found.grants.members_most}")
    if not 1 <= found.limits_version < MAX_LIMITS_VERSION:
        raise ConfigError(f"limits_version: expected a number from 1, got {found.limits_version}")
    for name, limit in found.limits.items():
        _check_limit(name, limit, found.state, members)


def _check_limit(name: str, limit: Limit, state: str, members: int) -> None:
    if not is_valid_limit_name(name):
        raise ConfigError(
            f"limits.{name}: expected a name of at most {MAX_LIMIT_NAME_LENGTH} characters without spaces and slashes"
        )
    validation_error = limit.validation_error()
    if validation_error:
        raise ConfigError(f"limits.{name}.{validation_error}")
    if limit.per_day is not None and not state:
        raise ConfigError(f"limits.{name}.per_day: needs state, a folder that outlives the process")
    if limit.kind is not LimitKind.ADVISORY and not members:
        raise ConfigError(f"limits.{name}.kind: {limit.kind.value} needs an electorate, as else nobody may grant")


def limits_fault(old: FleetSettings, new: FleetSettings) -> str:
    """Return why these changes of limits can't be adopted without a restart, beginning with the key; empty if they can.

    Only the numbers of limits may change, each with the present one as `before`, and the version grows by one.
    """
    if new.limits_version != old.limits_version + 1:
        return (
            f"limits_version: {old.limits_version} is in force, expected {old.limits_version + 1}, "
            f"got {new.limits_version}"
        )
    if set(new.limits) != set(old.limits):
        name = min(set(new.limits) ^ set(old.limits))
        return f"limits.{name}: a limit comes or goes with a restart of all members"
    for name, limit in new.limits.items():
        validation_error = _limit_fault(old.limits[name], limit)
        if validation_error:
            return f"limits.{name}{validation_error}"
    for key in ("grants", "repeats"):
        if getattr(new, key) != getattr(old, key):
            return f"{key}: changes with a restart"
    return ""


def keys_for_a_restart(old: FleetSettings, new: FleetSettings) -> list[str]:
    """Return the keys that differ and are adopted with a restart only, sorted."""
    keys = set(FleetSettings.__struct_fields__) - KEYS_IN_SERVICE
    if not old.limits:  # limits come and go with a restart
        keys.add("limits")
    return sorted(key for key in keys if getattr(old, key) != getattr(new, key))


def _limit_fault(old: Limit, new: Limit) -> str:
    """Return the same for one limit; the text is appended to the limit's name."""
    number = old.at_once if old.per_s is None else old.per_s
    same = msgspec.structs.replace(new, before=old.before, per_s=old.per_s, at_once=old.at_once)
    if same != old or (new.per_s is None) != (old.per_s is None):
        return ": only its number changes in service, all else with a restart of all members"
    if (new.per_s, new.at_once) != (old.per_s, old.at_once) and new.before != number:
        return f".before: {number:g} is in force, got {new.before}"
    if new.before is not None and new.before != number:
        return f".before: {number:g} is in force, got {new.before:g}"
    return ""


def _check_voter_set(found: FleetSettings, voters: VoterSetSettings) -> None:
    if not 1 <= voters.version < MAX_VOTER_SET_VERSION:
        raise ConfigError(f"electorate.version: expected a number from 1, got {voters.version}")
    seen: dict[str, str] = {}
    for site, names in voters.sites.items():
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
