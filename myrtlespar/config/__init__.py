"""The configuration of one server process, from environment variables, the platform's file and the operator's file.

`load` reads the platform's JSON file and, if there is one, the operator's TOML file, checks every value and returns
one immutable `Config`. The first error found is raised as a `ConfigError` of one line that names the key.

No other package of the server reads environment variables or these files. The fleet's YAML file is not read here:
`Config` has its path, and `myrtlespar.fleet.settings` reads it. For a reload, this package reads the new `Config` and
lists the changes that need a restart; `myrtlespar.server.reload` applies or rejects it.
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
