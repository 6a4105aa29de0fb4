"""The configuration as immutable values, and the exception raised for a faulty one."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from myrtlespar.errors import MyrtlesparError
from myrtlespar.policy import messages as api
from myrtlespar.resource_limits import ResourceLimits

Address = tuple[str, int]
MAX_PORT = 65535


class ConfigError(MyrtlesparError):
    """The configuration is faulty; the text is one line that names the key."""


@dataclass(frozen=True, slots=True)
class PathRule:
    """How AJP requests below one path are handled.

    Attributes:
        path: The path, from its leading slash on.
        class_index: Position of their request class in `Config.class_names`.
        priority_weight: Their rank (`Arrival.rank`), from 0 to below 1. The policy does not use it.
        memory_kb: Memory booked for each of them, in KB.
        target: Name of an AJP server or balancer; empty for the execution engine.
    """

    path: str
    class_index: int
    rank: float = 0.5
    memory_kb: float = 20.0
    target: str = ""


@dataclass(frozen=True, slots=True)
class AjpBackendSettings:
    """One AJP server to which requests may be forwarded (`[[worker]]` in the operator's file).

    Attributes:
        name: Its name in path rules and balancers.
        address: Where it listens.
        factor: Its capacity, relative to the other servers of a balancer.
        route: Its session route (`jvmRoute`); empty if it has none.
        secret: The secret sent with each request; empty if it needs none.
    """

    name: str
    address: Address
    factor: float = 1.0
    route: str = ""
    secret: str = ""


@dataclass(frozen=True, slots=True)
class AjpSettings:
    """The operator's AJP listener and AJP servers.

    Attributes:
        listen: Address of the AJP listener; None if there is none.
        secret: The secret that gateways must send; empty if none is required.
        route: The session route of this server.
        key_header: Lowercase name of the header that holds an idempotency key; empty if none does.
        path_rules: How requests are handled, by path.
        backends: The AJP servers.
        balancers: Names of each balancer's members.
    """

    listen: Address | None = None
    secret: str = ""
    route: str = ""
    key_header: str = ""
    path_rules: tuple[PathRule, ...] = ()
    backends: tuple[AjpBackendSettings, ...] = ()
    balancers: Mapping[str, tuple[str, ...]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Config:
    """The complete configuration of one process.

    The names of the fields are the operators' keys: `needs_restart` reports them.

    Attributes:
        name: This server's name in the service registry.
        listen: Address of the Thrift listener.
        kernel: Address of the execution engine.
        store: Address of the dependency; None where no request class makes calls.
        roster: Address of the service registry.
        seed: Seed of the random sources.
        settings: The settings of the policy.
        class_names: Names of the request classes on the wire.
        limits: Sizes, counts and times that bound this process.
        thrift_key: Field of a Thrift request that holds an idempotency key; empty if none does.
        ajp: The AJP listener and AJP servers.
        trace: Whether each transition of each state machine is logged.
        mgmt: Address of the admin server; None if there is none: then SIGTERM begins the drain.
        tmpdir: Directory for handing over to a second process of this server; empty without an admin server.
        fleet: Path of the fleet's YAML file; empty if this server is in no fleet, and no module of it is imported.
    """

    name: str
    listen: Address
    kernel: Address
    store: Address | None
    roster: Address
    seed: int
    settings: api.Settings
    class_names: tuple[str, ...]
    limits: ResourceLimits
    thrift_key: str = ""
    ajp: AjpSettings = field(default_factory=AjpSettings)
    trace: bool = False
    mgmt: Address | None = None
    tmpdir: str = ""
    fleet: str = ""


def parse_address(text: Any, key: str) -> Address:
    """Return the host and port in a string `HOST:PORT`; an IPv6 host may be in brackets.

    Raises:
        ConfigError: `text` is no such address; the message names `key`.
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise ConfigError(f"{key}: expected HOST:PORT, got {text!r}")
    return host.strip("[]"), int(port)
