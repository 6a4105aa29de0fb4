"""Reads the operator's optional TOML file: AJP listener, path rules, AJP servers, idempotency keys and tracing.

Its tables are `[ajp]`, `[[ajp.map]]`, `[[worker]]`, `[[balancer]]`, `[idempotency]` and `[trace]`. Unlike in the
platform's file, an unknown key is an error.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from myrtlespar.config.files import read_file
from myrtlespar.config.table import ConfigTable
from myrtlespar.config.types import AjpBackendSettings, AjpSettings, Config, ConfigError, PathRule
from myrtlespar.policy import messages as api
from myrtlespar.resource_limits import ResourceLimits

PATH_VARIABLE = "MYRTLESPAR_OPERATOR"
# Limits of the values, in the units of their keys.
MAX_REMEMBER_MS = 1e8
MAX_KEYS = 1e6
MAX_RANK = 0.999999  # ranks are below 1
MIN_MEMORY_KB = 0.001
MAX_MEMORY_KB = 2000
MIN_FACTOR = 0.001
MAX_FACTOR = 1000


def apply_operator_file(config: Config, path: str) -> Config:
    """Return the configuration with the values of the operator's file added.

    Raises:
        ConfigError: The file cannot be read, or contains an unknown key, an invalid value or an unknown name.
    """
    root = ConfigTable(_parse_toml(read_file(path, PATH_VARIABLE)), "")
    idempotency = root.table("idempotency")
    ajp = root.table("ajp")
    limits = _idempotency_limits(idempotency, config)
    thrift_key = idempotency.text("thrift_field", "")
    key_header = idempotency.text("ajp_header", "").lower()
    idempotency.reject_unknown_keys()
    backends = tuple(_backend(row) for row in root.tables("worker"))
    backend_names = {backend.name for backend in backends}
    balancers = _balancers(root, backend_names)
    targets = backend_names | set(balancers) | {""}
    path_rules = tuple(_path_rule(row, config.class_names, targets) for row in ajp.tables("map"))
    ajp_settings = AjpSettings(
        listen=ajp.address("listen") if "listen" in ajp.values else None,
        secret=ajp.text("secret", ""),
        route=ajp.text("route", ""),
        key_header=key_header,
        path_rules=path_rules,
        backends=backends,
        balancers=balancers,
    )
    ajp.reject_unknown_keys()
    tracing = root.table("trace")
    trace = tracing.flag("transitions", False)
    tracing.reject_unknown_keys()
    root.reject_unknown_keys()
    return replace(config, limits=limits, thrift_key=thrift_key, ajp=ajp_settings, trace=trace)


def _parse_toml(data: bytes) -> Any:
    try:
        return tomllib.loads(data.decode())
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{PATH_VARIABLE}: not TOML: {error}") from None


def _idempotency_limits(table: ConfigTable, config: Config) -> ResourceLimits:
    """Return the limits with the operator's values for idempotency keys.

    A key is remembered at least for the longest window of all classes with keys, even if the operator sets less.
    """
    windows_ms = [
        request_class.window_ms for request_class in config.settings.classes if request_class.effect is api.Effect.KEYED
    ]
    remember_ms = table.number("remember_ms", ResourceLimits().idempotency_key_ms, 1, MAX_REMEMBER_MS)
    return replace(
        config.limits,
        idempotency_key_ms=max(max(windows_ms, default=0.0), remember_ms),
        max_idempotency_keys=int(table.number("most", config.limits.max_idempotency_keys, 1, MAX_KEYS)),
    )


def _balancers(root: ConfigTable, backend_names: set[str]) -> Mapping[str, tuple[str, ...]]:
    balancers = {row.text("name"): row.string_list("members") for row in root.tables("balancer")}
    for name, members in balancers.items():
        for member in members:
            if member not in backend_names:
                raise ConfigError(f"balancer {name}.members: no worker named {member!r}")
    return balancers


def _path_rule(row: ConfigTable, class_names: tuple[str, ...], targets: set[str]) -> PathRule:
    path = row.text("path")
    class_name = row.text("class")
    target = row.text("to", "")
    if not path.startswith("/"):
        raise ConfigError(f"{row.key('path')}: expected a path that starts with '/', got {path!r}")
    if class_name not in class_names:
        raise ConfigError(f"{row.key('class')}: no class named {class_name!r} in settings.classes")
    if target not in targets:
        raise ConfigError(f"{row.key('to')}: no worker or balancer named {target!r}")
    rule = PathRule(
        path=path,
        class_index=class_names.index(class_name),
        rank=row.number("worth", 0.5, 0, MAX_RANK),
        memory_kb=row.number("memory_kb", 20, MIN_MEMORY_KB, MAX_MEMORY_KB),
        target=target,
    )
    row.reject_unknown_keys()
    return rule


def _backend(row: ConfigTable) -> AjpBackendSettings:
    name = row.text("name")
    backend = AjpBackendSettings(
        name=name,
        address=row.address("address"),
        factor=row.number("factor", 1, MIN_FACTOR, MAX_FACTOR),
        route=row.text("route", name),
        secret=row.text("secret", ""),
    )
    row.reject_unknown_keys()
    return backend
