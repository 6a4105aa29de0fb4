"""Writes the configuration files of the members of a fleet under test."""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec
import yaml

from myrtlespar.fakes.server_process import settings
from myrtlespar.fault_proxy.relay import bind_host, relay_host, service_host
from myrtlespar.fleet_tests.script_model import Script

STOP_MS = 2500  # time limit of a graceful shutdown
SEED_LIMIT = 2**64  # seeds are 64-bit numbers
FLEET_NAME = "rehearsal"
OPERATOR_FILE = "operator.toml"


def write_server_config(folder: Path, name: str, number: int, port: int, seed: int) -> None:
    """Write the platform's configuration file: the server, and its services behind the fault proxy at `port`."""
    config = {
        "name": name,
        "listen": f"{bind_host(number)}:{port + 1}",
        **{service: f"{service_host(number, service)}:{port}" for service in ("store", "roster", "kernel")},
        "seed": f"{(seed * 1000 + number) % SEED_LIMIT:x}",
        "stop_ms": STOP_MS,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings(),
    }
    (folder / "config.json").write_text(json.dumps(config))


def write_operator_file(folder: Path, traced: bool) -> None:
    """Write the operators' file. A traced member logs every state transition and each admission under a fleet limit."""
    (folder / OPERATOR_FILE).write_text(f"[trace]\ntransitions = {str(traced).lower()}\n")


def write_fleet_file(
    folder: Path, name: str, numbers: Mapping[str, int], port: int, script: Script, changes: Mapping[str, Any]
) -> None:
    """Write a member's fleet file.

    Args:
        folder: The member's folder.
        name: Its name.
        numbers: The numbers of all members by name, which set their addresses.
        port: The port of the fault proxy.
        script: The fault script.
        changes: Keys of the file to set or replace.
    """
    number = numbers[name]
    seeds = dict.fromkeys(members[0] for members in script.sites.values())
    engine = {"engine": {"address": f"{service_host(number, 'engine')}:{port}"}} if script.engine else {}
    rows = {
        "fleet": FLEET_NAME,
        "site": script.site_of(name),
        "bind": f"{bind_host(number)}:{port}",
        "advertise": f"{relay_host(number)}:{port}",
        "seeds": [f"{relay_host(numbers[seed])}:{port}" for seed in seeds],
        "electorate": {"version": 1, "sites": {site: list(members) for site, members in script.sites.items()}},
        "state": str(folder),
        "limits": {limit_name: msgspec.to_builtins(limit) for limit_name, limit in script.limits.items()},
        **engine,
        **changes,
    }
    (folder / "fleet.yaml").write_text(yaml.safe_dump(rows))


def change_limits(folder: Path, version: int, changes: Mapping[str, Mapping[str, Any]]) -> None:
    """Set `limits_version` and change limits in a member's fleet file; `changes` holds changed keys by limit name."""
    path = folder / "fleet.yaml"
    rows = yaml.safe_load(path.read_text())
    rows["limits_version"] = version
    for limit, keys in changes.items():
        rows["limits"][limit].update(keys)
    path.write_text(yaml.safe_dump(rows))
