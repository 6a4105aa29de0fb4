"""Reads and validates the fleet file (YAML). Each error is one line that begins with the faulty key."""

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

ENVIRONMENT_VARIABLE = "MYRTLESPAR_FLEET"
MIN_DATAGRAMS_PER_S = 10
MAX_DATAGRAMS_PER_S = 1_000_000
MAX_ENGINE_TTL_S = 600
MIN_ENGINE_TIMEOUT_MS = 10
MAX_LIMITS_VERSION = 2**40  # exclusive
MAX_VOTER_SET_VERSION = 2**53  # exclusive
RELOADABLE_KEYS = frozenset(("limits", "limits_version", "electorate"))  # other keys require a restart


class VoterSetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The voters, whose majority grants leases and decides the quorum status."""

    version: int
    sites: dict[str, list[str]]  # names of the voters, by site


class EngineSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An engine with the etcd v3 API that grants the leases of shards."""

    address: str
    ttl_s: int = 2  # duration of a lease, which the API takes in whole seconds
    timeout_ms: int = 500  # of one request


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The complete fleet file. This process listens at `bind` (UDP and TCP); other members reach it at `advertise`."""

    fleet: str
    site: str
    bind: str
    name: str = ""  # if empty, the name in the platform's file
    advertise: str = ""  # if empty, the address in `bind`
    seeds: list[str] = []
    electorate: VoterSetSettings | None = None
    membership: MembershipSettings = MembershipSettings()
    limits: dict[str, Limit] = {}
    limits_version: int = 1  # incremented with each change of an amount; `before` of the limit has the replaced one
    grants: GrantSettings = GrantSettings()
    repeats: RetryBudgetSettings | None = None
    state: str = ""  # a directory that outlives the process, for the budget file
    engine: EngineSettings | None = None  # if set, it grants the leases in place of a majority of the voters
    datagrams_per_s: int = 2000  # further ones are dropped and counted, so that a flood can't exhaust the CPU
    clock_rate: float = 1.0  # rate of the limits' clock, for tests of a fast or slow clock
    wall_shift_ms: int = 0  # for tests of a wrong clock: added to Unix time, which sets incarnations and budget periods

    @property
    def voter_set(self) -> VoterSet:
        """The voter set; version 0 and empty if `electorate` is not set, so that no majority is ever claimed."""
        if self.electorate is None:
            return VoterSet(0, {})
        return VoterSet(self.electorate.version, {site: tuple(names) for site, names in self.electorate.sites.items()})


class _UniqueKeyLoader(yaml.SafeLoader):
    """Rejects duplicate keys in a mapping."""

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[Any, Any]:
        """Build the mapping as the parent class does. ConfigError if a key is duplicated."""
        seen = set()
        for key, _ in node.value:
            if key.value in seen:
                raise ConfigError(f"{key.value}: duplicate key in one mapping, line {key.start_mark.line + 1}")
            seen.add(key.value)
        return super().construct_mapping(node, deep)


def read_fleet(path: str, own_name: str) -> FleetSettings:
    """Return the settings in a fleet file. ConfigError names the faulty key."""
    try:
        raw = yaml.load(Path(path).read_text(), _UniqueKeyLoader)
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(
            f"{ENVIRONMENT_VARIABLE}: cannot read {path}: {getattr(error, 'strerror', None) or error}"
        ) from None
    except yaml.YAMLError as error:
        raise ConfigError(f"{ENVIRONMENT_VARIABLE}: not YAML: " + " ".join(str(error).split())[:160]) from None
    settings = _convert(raw)
    settings = msgspec.structs.replace(
        settings, name=settings.name or own_name, advertise=settings.advertise or settings.bind
    )
    _check(settings)
    return settings


def _convert(raw: Any) -> FleetSettings:
    """Return the settings in parsed YAML. ConfigError names a key that is missing, unknown or of a wrong type."""
    path = ""
    try:
        rows = raw.get("limits") if isinstance(raw, dict) else None
        for name, row in rows.items() if isinstance(rows, dict) else ():  # one by one, so that an error names its limit
            path = f"limits.{name}."
            msgspec.convert(row, Limit)
        path = ""
        return msgspec.convert(raw, FleetSettings)
    except msgspec.ValidationError as error:
        raise ConfigError(path + _key_first(str(error))) from None


def _key_first(text: str) -> str:
    """Return a message of msgspec, such as "Expected x - at `$.a.b`", with the key first."""
    description, _, location = text.partition(" - at ")
    path = location.strip("`").removeprefix("$").lstrip(".")
    field = re.search(r"(missing required|unknown) field `([^`]*)`", description)
    if field:
        path = f"{path}.{field[2]}" if path else field[2]
        description = "missing" if field[1] == "missing required" else "unknown key"
    return f"{path or ENVIRONMENT_VARIABLE}: {description[:1].lower()}{description[1:]}"


def _check(settings: FleetSettings) -> None:
    """Validate the values. ConfigError names the first faulty key."""
    for key, value in (("fleet", settings.fleet), ("name", settings.name), ("site", settings.site)):
        if not is_valid_name(value):
            raise ConfigError(f"{key}: expected 1 to 48 printable characters without spaces, got {value!r}")
    _check_addresses(settings)
    validation_error = settings.membership.validation_error()
    if validation_error:
        raise ConfigError(f"membership.{validation_error}")
    if not MIN_DATAGRAMS_PER_S <= settings.datagrams_per_s <= MAX_DATAGRAMS_PER_S:
        raise ConfigError(
            f"datagrams_per_s: expected a number from {MIN_DATAGRAMS_PER_S} to {MAX_DATAGRAMS_PER_S}, "
            f"got {settings.datagrams_per_s}"
        )
    if not 0.5 <= settings.clock_rate <= 2:
        raise ConfigError(f"clock_rate: expected 0.5 to 2, got {settings.clock_rate}")
    if settings.electorate is not None:
        _check_voter_set(settings, settings.electorate)
    _check_limits(settings)


def _check_addresses(settings: FleetSettings) -> None:
    addresses = [
        ("bind", settings.bind),
        ("advertise", settings.advertise),
        *((f"seeds[{n}]", seed) for n, seed in enumerate(settings.seeds)),
    ]
    for key, value in addresses:
        if not is_valid_address(value):
            raise ConfigError(f"{key}: expected A.B.C.D:PORT, got {value!r}")
    if split_address(settings.advertise)[0] == "0.0.0.0":
        raise ConfigError(f"advertise: expected an address that other members can reach, got {settings.advertise}")


def _check_engine(engine: EngineSettings) -> None:
    if not is_valid_address(engine.address):
        raise ConfigError(f"engine.address: expected A.B.C.D:PORT, got {engine.address!r}")
    if not 1 <= engine.ttl_s <= MAX_ENGINE_TTL_S:
        raise ConfigError(f"engine.ttl_s: expected 1 to {MAX_ENGINE_TTL_S}, got {engine.ttl_s}")
    if not MIN_ENGINE_TIMEOUT_MS <= engine.timeout_ms <= 250 * engine.ttl_s:
        raise ConfigError(
            f"engine.timeout_ms: expected {MIN_ENGINE_TIMEOUT_MS} to {250 * engine.ttl_s} (a quarter of ttl_s), "
            f"got {engine.timeout_ms}"
        )


def _check_limits(settings: FleetSettings) -> None:
    validation_error = settings.grants.validation_error()
    if validation_error:
        raise ConfigError(f"grants.{validation_error}")
    if settings.engine is not None:
        _check_engine(settings.engine)
    if settings.repeats is not None and settings.repeats.validation_error():
        raise ConfigError(f"repeats.{settings.repeats.validation_error()}")
    voter_count = sum(len(names) for names in settings.electorate.sites.values()) if settings.electorate else 0
    if 0 < settings.grants.members_most < voter_count:
        raise ConfigError(
            f"grants.members_most: expected 0 or at least the {voter_count} voters, got {settings.grants.members_most}"
        )
    if not 1 <= settings.limits_version < MAX_LIMITS_VERSION:
        raise ConfigError(
            f"limits_version: expected a number from 1 to {MAX_LIMITS_VERSION - 1}, got {settings.limits_version}"
        )
    for name, limit in settings.limits.items():
        _check_limit(name, limit, settings.state, voter_count)


def _check_limit(name: str, limit: Limit, state: str, voter_count: int) -> None:
    if not is_valid_limit_name(name):
        raise ConfigError(
            f"limits.{name}: expected a name of at most {MAX_LIMIT_NAME_LENGTH} characters without spaces or slashes"
        )
    validation_error = limit.validation_error()
    if validation_error:
        raise ConfigError(f"limits.{name}.{validation_error}")
    if limit.per_day is not None and not state:
        raise ConfigError(f"limits.{name}.per_day: needs state, a directory that outlives the process")
    if limit.kind is not LimitKind.ADVISORY and not voter_count:
        raise ConfigError(
            f"limits.{name}.kind: {limit.kind.value} needs an electorate, as no member could grant capacity without one"
        )


def limits_change_error(old: FleetSettings, new: FleetSettings) -> str:
    """Return why a change of limits can't be adopted without a restart, beginning with the key; empty if it can.

    Only the amounts of limits may change, with the current amount as `before`, and the version must grow by one.
    """
    if new.limits_version != old.limits_version + 1:
        return (
            f"limits_version: {old.limits_version} is in use, expected {old.limits_version + 1}, "
            f"got {new.limits_version}"
        )
    if set(new.limits) != set(old.limits):
        name = min(set(new.limits) ^ set(old.limits))
        return f"limits.{name}: a limit can only be added or removed with a restart of all members"
    for name, limit in new.limits.items():
        validation_error = _limit_change_error(old.limits[name], limit)
        if validation_error:
            return f"limits.{name}{validation_error}"
    for key in ("grants", "repeats"):
        if getattr(new, key) != getattr(old, key):
            return f"{key}: can only be changed with a restart"
    return ""


def keys_requiring_restart(old: FleetSettings, new: FleetSettings) -> list[str]:
    """Return the sorted names of the keys that differ and that only a restart adopts."""
    keys = set(FleetSettings.__struct_fields__) - RELOADABLE_KEYS
    if not old.limits:  # the first limits can only be added with a restart
        keys.add("limits")
    return sorted(key for key in keys if getattr(old, key) != getattr(new, key))


def _limit_change_error(old: Limit, new: Limit) -> str:
    """Return why a change of one limit can't be adopted, as text to append to its name; empty if it can."""
    current_amount = old.at_once if old.per_s is None else old.per_s
    with_old_amounts = msgspec.structs.replace(new, before=old.before, per_s=old.per_s, at_once=old.at_once)
    if with_old_amounts != old or (new.per_s is None) != (old.per_s is None):
        return ": only the amount can be changed without a restart of all members"
    if (new.per_s, new.at_once) != (old.per_s, old.at_once) and new.before != current_amount:
        return f".before: expected the current amount {current_amount:g}, got {new.before}"
    if new.before is not None and new.before != current_amount:
        return f".before: expected the current amount {current_amount:g}, got {new.before:g}"
    return ""


def _check_voter_set(settings: FleetSettings, voters: VoterSetSettings) -> None:
    if not 1 <= voters.version < MAX_VOTER_SET_VERSION:
        raise ConfigError(
            f"electorate.version: expected a number from 1 to {MAX_VOTER_SET_VERSION - 1}, got {voters.version}"
        )
    seen: dict[str, str] = {}
    for site, names in voters.sites.items():
        for n, name in enumerate(names):
            if not is_valid_name(name) or not is_valid_name(site):
                raise ConfigError(
                    f"electorate.sites.{site}[{n}]: expected 1 to 48 printable characters without spaces "
                    f"in site and name, got {name!r}"
                )
            if name in seen:
                raise ConfigError(f"electorate.sites.{site}[{n}]: {name} is listed twice, also in site {seen[name]}")
            seen[name] = site
    if not seen:
        raise ConfigError("electorate.sites: empty, so no majority would be possible; omit electorate instead")
    if seen.get(settings.name, settings.site) != settings.site:
        raise ConfigError(
            f"electorate.sites.{seen[settings.name]}: {settings.name} is listed here, "
            f"but the key site is {settings.site}"
        )
