"""Which changes of a configuration take effect at a restart only."""

from __future__ import annotations

from dataclasses import fields

from myrtlespar.config.types import Config

RELOADABLE_KEYS = ("kernel", "store", "roster")  # a reload moves the connections to these upstreams


def needs_restart(old: Config, new: Config) -> list[str]:
    """Return the keys that differ in a new configuration but are read at a start only."""
    return [
        row.name
        for row in fields(Config)
        if row.name not in RELOADABLE_KEYS and getattr(old, row.name) != getattr(new, row.name)
    ]
