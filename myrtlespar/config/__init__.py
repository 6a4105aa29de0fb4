"""Configuration of one server process: the only place where the environment and configuration files are read.

`load` reads the platform's JSON file and, if there is one, the operator's TOML file, checks every value and returns
one immutable `Config`. The first fault found is raised as a `ConfigError` of one line that names the faulty key.
"""

from __future__ import annotations

from myrtlespar.config.loader import load
from myrtlespar.config.reload import needs_restart
from myrtlespar.config.types import (
    Address,
    AjpBackendSettings,
    AjpSettings,
    Config,
    ConfigError,
    PathRule,
    parse_address,
)

__all__ = [
    "Address",
    "AjpBackendSettings",
    "AjpSettings",
    "Config",
    "ConfigError",
    "PathRule",
    "load",
    "needs_restart",
    "parse_address",
]
