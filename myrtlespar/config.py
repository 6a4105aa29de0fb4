"""The one place where environment, JSON and the operator's file are read, checked and given defaults."""

from __future__ import annotations

import json
import os
import re
import resource
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field, fields, replace
from pathlib import Path
from typing import Any

from myrtlespar.errors import MyrtlesparError
from myrtlespar.policy import messages as api
from myrtlespar.policy.settings_reader import InvalidSettingError, MissingSettingError, read_settings
from myrtlespar.resource_limits import ResourceLimits

Address = tuple[str, int]
LEAST_DESCRIPTORS, LEAST_PLACES = 24, 4  # what the program itself takes is about half of that
UNSENT_PART, LEAST_UNSENT = 0.25, 1 << 20  # of the memory left, and in bytes, for answers that clients do not read
KEYS_PART, KEY_KB = 0.25, 6.0  # of the memory left, for kept keys; one with its result of 4 KiB
SPARE_DESCRIPTORS = 48  # for the links of the server side, listeners, log and event loop
BASE_MB = 22.0  # what the program takes with a few connections
CONNECTION_KB = 24.0  # what one connection may add: its greenlet, and part of a message


class ConfigError(MyrtlesparError):
    """One line that names the faulty key."""


@dataclass(frozen=True, slots=True)
class PathRule:
    """What requests below one path are: their class, rank by worth, memory, and who runs them."""

    path: str
    class_index: int
    priority_weight: float = 0.5
    memory_kb: float = 20.0
    to: str = ""  # a worker or balancer; empty is the kernel


@dataclass(frozen=True, slots=True)
class Worker:
    """One AJP server."""

    name: str
    address: Address
    factor: float = 1.0
    route: str = ""
    secret: str = ""


@dataclass(frozen=True, slots=True)
class Ajp:
    """The operator's AJP front and workers."""

    listen: Address | None = None
    secret: str = ""
    route: str = ""
    key_header: str = ""
    maps: tuple[PathRule, ...] = ()
    workers: tuple[Worker, ...] = ()
    balancers: Mapping[str, tuple[str, ...]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Config:
    """All that the program is told."""

    name: str
    listen: Address
    kernel: Address
    store: Address | None  # None where no class makes calls
    roster: Address
    seed: int
    settings: api.Settings
    class_names: tuple[str, ...]
    limits: ResourceLimits
    thrift_key: str = ""  # the field of a Thrift request that holds an idempotency key
    ajp: Ajp = field(default_factory=Ajp)
    trace: bool = False  # a log line for each step of each machine
    mgmt: Address | None = None  # the operators' address; None: no management listener, SIGTERM drains
    tmpdir: str = ""  # shared with a second process of this server, and kept
    fleet: str = ""  # the fleet's YAML file; empty: nothing of the fleet is loaded


def parse_address(text: Any, key: str) -> Address:
    """host:port."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{key}: expected HOST:PORT, got {text!r}")
    return host.strip("[]"), int(port)


class Table:
    """A JSON or TOML table that names its own path in every complaint."""

    def __init__(self, rows: Any, path: str) -> None:
        if not isinstance(rows, dict):
            raise ConfigError(f"{path or 'the file'}: expected a table, got {rows!r}"[:200])
        self.rows, self.path = rows, path
        self.read: set[str] = set()

    def key(self, name: str) -> str:
        """The full name of a key."""
        return f"{self.path}.{name}" if self.path else name

    def text(self, name: str, default: str | None = None) -> str:
        """A text value."""
        value = self._get(name, default)
        if not isinstance(value, str):
            raise ConfigError(f"{self.key(name)}: expected a text, got {value!r}")
        return value

    def number(self, name: str, default: float | None, low: float, high: float) -> float:
        """A number from low to high."""
        value = self._get(name, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
            raise ConfigError(f"{self.key(name)}: expected a number from {low:g} to {high:g}, got {value!r}")
        return float(value)

    def flag(self, name: str, default: bool) -> bool:
        """True or false."""
        value = self._get(name, default)
        if not isinstance(value, bool):
            raise ConfigError(f"{self.key(name)}: expected true or false, got {value!r}")
        return value

    def address(self, name: str) -> Address:
        """host:port."""
        return parse_address(self._get(name, None), self.key(name))

    def table(self, name: str) -> Table:
        """A table, empty if absent."""
        return Table(self._get(name, {}), self.key(name))

    def tables(self, name: str) -> list[Table]:
        """A list of tables, empty if absent."""
        rows = self._get(name, [])
        if not isinstance(rows, list):
            raise ConfigError(f"{self.key(name)}: expected a list of tables, got {rows!r}"[:200])
        return [Table(row, f"{self.key(name)}[{n}]") for n, row in enumerate(rows)]

    def texts(self, name: str) -> tuple[str, ...]:
        """A list of texts."""
        rows = self._get(name, [])
        if not isinstance(rows, list) or not all(isinstance(row, str) for row in rows):
            raise ConfigError(f"{self.key(name)}: expected a list of texts, got {rows!r}"[:200])
        return tuple(rows)

    def done(self) -> None:
        """Guards against misspelt keys, which would otherwise be defaults in silence."""
        for name in self.rows:
            if name not in self.read:
                raise ConfigError(f"{self.key(name)}: unknown key")

    def _get(self, name: str, default: Any) -> Any:
        self.read.add(name)
        value = self.rows.get(name)
        if value is None:  # null means the same as absent
            value = default
        if value is None:
            raise ConfigError(f"{self.key(name)}: missing")
        return value


def load(env: Mapping[str, str] = os.environ) -> Config:
    """Read everything the program is told."""
    path = env.get("BALANCER_CONFIG", "")
    if not path:
        raise ConfigError("BALANCER_CONFIG: missing")
    rows = Table(_json(path), "")
    try:
        settings = read_settings(rows.table("settings").rows)
    except MissingSettingError as error:
        raise ConfigError(str(error).replace("missing setting ", "settings.") + ": missing") from None
    except InvalidSettingError as error:
        raise ConfigError(f"settings.{error}") from None
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"settings: {type(error).__name__}: {error}") from None
    names = tuple(_class_name(row, n) for n, row in enumerate(rows.rows["settings"]["classes"]))
    for n, name in enumerate(names):
        if name in names[:n]:  # guards against requests whose class could be either of two
            raise ConfigError(f"settings.classes[{n}].name: {name!r} is the name of another class too")
    limits = _limits(rows, settings)
    listen = env.get("BALANCER_LISTEN", "")
    seed = rows.text("seed", "0")
    if not re.fullmatch(r"[0-9a-fA-F]+", seed):
        raise ConfigError(f"seed: expected hex digits, got {seed!r}")
    config = Config(
        name=env.get("BALANCER_NAME") or rows.text("name"),
        listen=parse_address(listen, "BALANCER_LISTEN") if listen else rows.address("listen"),
        kernel=rows.address("kernel"),
        store=_store(rows, settings),
        roster=rows.address("roster"),
        seed=int(seed, 16),
        settings=_on_sockets(settings),
        class_names=names,
        limits=limits,
    )
    mgmt = env.get("BALANCER_MGMT", "")
    if mgmt or rows.rows.get("mgmt") is not None:
        config = replace(
            config,
            mgmt=parse_address(mgmt, "BALANCER_MGMT") if mgmt else rows.address("mgmt"),
            tmpdir=env.get("TMPDIR", "") or "/tmp",
        )
    config = replace(config, fleet=env.get("MYRTLESPAR_FLEET", ""))
    operator = env.get("MYRTLESPAR_OPERATOR", "")
    return _operator(config, Table(_toml(operator), "")) if operator else config


def _store(rows: Table, settings: api.Settings) -> Address | None:
    """The store's address, which a site without calls does not need."""
    needed = any(kind.calls for kind in settings.classes)
    return rows.address("store") if needed or rows.rows.get("store") is not None else None


def _limits(rows: Table, settings: api.Settings) -> ResourceLimits:
    """Sizes and times that follow what this process may have and how long repeats may come."""
    own = rows.table("limits")
    sockets = int(own.number("sockets", 1024, LEAST_DESCRIPTORS, 1e6))
    granted = resource.getrlimit(resource.RLIMIT_NOFILE)[0]  # by the system, which may be fewer
    if granted != resource.RLIM_INFINITY:
        sockets = min(sockets, granted)
    spare_kb = 1024 * (own.number("memory_mb", 192, 1, 1e6) - BASE_MB)
    windows = [kind.window_ms for kind in settings.classes if kind.effect is api.Effect.KEYED]
    keys_kb = spare_kb * KEYS_PART if windows else 0.0
    links = max(1, min(ResourceLimits().store_links, sockets // 12))
    spare = min(SPARE_DESCRIPTORS, sockets * 3 // 4)
    # With less memory than the program takes a few places are had all the same: nobody else can serve here.
    places = max(LEAST_PLACES, min(sockets - spare - links, int((spare_kb - keys_kb) / CONNECTION_KB)))
    unsent = max(LEAST_UNSENT, int(1024 * spare_kb * UNSENT_PART))
    limits = replace(
        ResourceLimits(),
        store_links=links,
        connections=places,
        outboxes_bytes=unsent,
        stop_ms=rows.number("stop_ms", 3000, 0, 1e7),
    )
    if windows:  # a run is remembered from its end on, its window counts from before it began
        limits = replace(limits, key_ms=max(windows), keys=max(1, int(keys_kb / KEY_KB)))
    return limits


def _on_sockets(settings: api.Settings) -> api.Settings:
    """The settings as far as the sockets carry them: the platform's page has no message that stops a run, nor one
    that goes on without a call. Guards against decisions that nothing carries out: such a run would hang.
    """
    return replace(settings, can_stop=False, classes=[replace(kind, degraded_weight=0.0) for kind in settings.classes])


def needs_restart(old: Config, new: Config) -> list[str]:
    """Keys that differ in a new file but are read at a start only; a reload moves the server side's links."""
    moved = ("kernel", "store", "roster")
    return [
        row.name for row in fields(Config) if row.name not in moved and getattr(old, row.name) != getattr(new, row.name)
    ]


def _read(path: str, key: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"{key}: cannot read {path}: {error.strerror}") from None


def _class_name(row: Mapping[str, Any], number: int) -> str:
    """A class's name on the wire; its number where it has none."""
    name = row.get("name")
    return str(number) if name is None else str(name)


def _json(path: str) -> Any:
    try:
        return json.loads(_read(path, "BALANCER_CONFIG"))
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"BALANCER_CONFIG: not JSON: {error}") from None


def _toml(path: str) -> Any:
    try:
        return tomllib.loads(_read(path, "MYRTLESPAR_OPERATOR").decode())
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"MYRTLESPAR_OPERATOR: not TOML: {error}") from None


def _operator(config: Config, rows: Table) -> Config:
    """The operator's file: the AJP front, its path mapping, AJP workers, and idempotency keys."""
    keys, ajp = rows.table("idempotency"), rows.table("ajp")
    # Guards guarded classes against an operator's time that is shorter than their window.
    least_ms = max((kind.window_ms for kind in config.settings.classes if kind.effect is api.Effect.KEYED), default=0.0)
    limits = replace(
        config.limits,
        key_ms=max(least_ms, keys.number("remember_ms", ResourceLimits().key_ms, 1, 1e8)),
        keys=int(keys.number("most", config.limits.keys, 1, 1e6)),
    )
    thrift_key, key_header = keys.text("thrift_field", ""), keys.text("ajp_header", "").lower()
    keys.done()
    workers = tuple(_worker(row) for row in rows.tables("worker"))
    balancers = {row.text("name"): row.texts("members") for row in rows.tables("balancer")}
    names = {worker.name for worker in workers}
    for name, members in balancers.items():
        for member in members:
            if member not in names:
                raise ConfigError(f"balancer {name}.members: no worker named {member!r}")
    known = names | set(balancers) | {""}
    maps = tuple(_map(row, config.class_names, known) for row in ajp.tables("map"))
    listen = ajp.address("listen") if "listen" in ajp.rows else None
    done = replace(
        config,
        limits=limits,
        thrift_key=thrift_key,
        ajp=Ajp(listen, ajp.text("secret", ""), ajp.text("route", ""), key_header, maps, workers, balancers),
    )
    ajp.done()
    trace = rows.table("trace")
    done = replace(done, trace=trace.flag("transitions", False))
    trace.done()
    rows.done()
    return done


def _map(row: Table, classes: tuple[str, ...], known: set[str]) -> PathRule:
    path, name, to = row.text("path"), row.text("class"), row.text("to", "")
    if not path.startswith("/"):
        raise ConfigError(f"{row.key('path')}: expected a path from '/', got {path!r}")
    if name not in classes:
        raise ConfigError(f"{row.key('class')}: no class named {name!r} in settings.classes")
    if to not in known:
        raise ConfigError(f"{row.key('to')}: no worker or balancer named {to!r}")
    done = PathRule(
        path, classes.index(name), row.number("worth", 0.5, 0, 0.999999), row.number("memory_kb", 20, 0.001, 2000), to
    )
    row.done()
    return done


def _worker(row: Table) -> Worker:
    name = row.text("name")
    done = Worker(
        name,
        row.address("address"),
        row.number("factor", 1, 0.001, 1000),
        row.text("route", name),
        row.text("secret", ""),
    )
    row.done()
    return done
