"""Reads the platform's JSON file and the environment variables that override its keys."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from myrtlespar.config.files import read_file
from myrtlespar.config.sizing import size_limits
from myrtlespar.config.table import ConfigTable
from myrtlespar.config.types import Address, Config, ConfigError, parse_address
from myrtlespar.policy import messages as api
from myrtlespar.policy.settings_reader import InvalidSettingError, MissingSettingError, read_settings

PATH_VARIABLE = "BALANCER_CONFIG"
DEFAULT_TMPDIR = "/tmp"


def read_platform_file(env: Mapping[str, str]) -> Config:
    """Return the configuration in the platform's file; values that only the operator's file can set have defaults.

    Raises:
        ConfigError: The file cannot be read, or one of its values or an environment variable is invalid.
    """
    path = env.get(PATH_VARIABLE, "")
    if not path:
        raise ConfigError(f"{PATH_VARIABLE}: missing, expected the path of the platform's file")
    root = ConfigTable(_parse_json(read_file(path, PATH_VARIABLE)), "")
    settings = _read_settings(root)
    class_names = _class_names(root)
    limits = size_limits(root, settings)
    listen = env.get("BALANCER_LISTEN", "")
    seed = _seed(root)
    config = Config(
        name=env.get("BALANCER_NAME") or root.text("name"),
        listen=parse_address(listen, "BALANCER_LISTEN") if listen else root.address("listen"),
        kernel=root.address("kernel"),
        store=_dependency_address(root, settings),
        roster=root.address("roster"),
        seed=seed,
        settings=_without_unsupported_actions(settings),
        class_names=class_names,
        limits=limits,
        fleet=env.get("MYRTLESPAR_FLEET", ""),
    )
    admin = env.get("BALANCER_MGMT", "")
    if not admin and not root.has("mgmt"):
        return config
    return replace(
        config,
        mgmt=parse_address(admin, "BALANCER_MGMT") if admin else root.address("mgmt"),
        tmpdir=env.get("TMPDIR", "") or DEFAULT_TMPDIR,
    )


def _parse_json(data: bytes) -> Any:
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{PATH_VARIABLE}: not JSON: {error}") from None


def _read_settings(root: ConfigTable) -> api.Settings:
    """Return the policy's settings; errors are raised as a `ConfigError` that names the key below `settings`."""
    try:
        return read_settings(root.table("settings").values)
    except MissingSettingError as error:
        raise ConfigError(str(error).replace("missing setting ", "settings.") + ": missing") from None
    except InvalidSettingError as error:
        raise ConfigError(f"settings.{error}") from None
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"settings: {type(error).__name__}: {error}") from None


def _class_names(root: ConfigTable) -> tuple[str, ...]:
    """Return the names of the request classes on the wire, which must be unique."""
    names: list[str] = []
    for index, row in enumerate(root.values["settings"]["classes"]):
        name = _class_name(row, index)
        if name in names:
            raise ConfigError(f"settings.classes[{index}].name: {name!r} is already the name of another class")
        names.append(name)
    return tuple(names)


def _class_name(row: Mapping[str, Any], index: int) -> str:
    """Return the name of a class on the wire; its index if it has no name."""
    name = row.get("name")
    return str(index) if name is None else str(name)


def _seed(root: ConfigTable) -> int:
    text = root.text("seed", "0")
    if not re.fullmatch(r"[0-9a-fA-F]+", text):
        raise ConfigError(f"seed: expected hex digits, got {text!r}")
    return int(text, 16)


def _dependency_address(root: ConfigTable, settings: api.Settings) -> Address | None:
    """Return the address of the dependency, which is required only if a class makes calls."""
    required = any(request_class.calls for request_class in settings.classes)
    return root.address("store") if required or root.has("store") else None


def _without_unsupported_actions(settings: api.Settings) -> api.Settings:
    """Return the settings without the actions that the engine's protocol has no message for.

    The protocol can neither stop a run nor continue one without its call. If the policy chose such an action, nothing
    would carry it out and the run would hang.
    """
    classes = [replace(request_class, degraded_weight=0.0) for request_class in settings.classes]
    return replace(settings, can_stop=False, classes=classes)
