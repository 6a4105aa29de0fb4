"""Immutable types of the configuration, and the exception for an invalid one."""

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
    """The configuration is invalid; the message is one line that names the key."""


@dataclass(frozen=True, slots=True)
class PathRule:
    """How AJP requests below one path are handled.

    Attributes:
        path: The path, with its leading slash.
        class_index: Index of the requests' class in `Config.class_names`.
        rank: Rank of the requests (`Arrival.rank`), at least 0 and below 1. The policy does not use it.
        memory_kb: Memory reserved for each request, in KB.
        target: Name of the AJP server or balancer that handles the requests; empty for the execution engine.
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
        name: Name of the server in path rules and balancers.
        address: Address on which the server listens.
        factor: Capacity relative to the other servers of a balancer.
        route: Session route (`jvmRoute`) of the server; empty if it has none.
        secret: Secret sent with each request; empty if the server requires none.
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
        secret: Secret that gateways must send; empty if none is required.
        route: The session route of this server.
        key_header: Lowercase name of the header with the idempotency key; empty if there is none.
        path_rules: Rules by which requests are handled.
        backends: The AJP servers.
        balancers: Names of the members of each balancer, by name of the balancer.
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

    The field names are the names of the operators' keys, as `needs_restart` reports them.

    Attributes:
        name: This server's name in the service registry.
        listen: Address of the Thrift listener.
        kernel: Address of the execution engine.
        store: Address of the dependency; None where no request class makes calls.
        roster: Address of the service registry.
        seed: Seed of the random number generators.
        settings: The settings of the policy.
        class_names: Names of the request classes on the wire.
        limits: Limits of this process: sizes, counts and times.
        thrift_key: Name of the field of a Thrift request with the idempotency key; empty if there is none.
        ajp: The AJP listener and AJP servers.
        trace: Whether each transition of each state machine is logged.
        mgmt: Address of the admin server; None if there is none, in which case SIGTERM starts draining.
        tmpdir: Directory used for the hand-over to a second process of this server; empty without an admin server.
        fleet: Path of the fleet's YAML file; empty if this server is in no fleet, so that no fleet module is imported.
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
    """Return the host and port in a string `HOST:PORT`; an IPv6 host may be enclosed in brackets.

    Raises:
        ConfigError: `text` is not an address; the message names `key`.
    """
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise ConfigError(f"{key}: expected HOST:PORT, got {text!r}")
    return host.strip("[]"), int(port)
