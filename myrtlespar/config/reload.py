"""Which changes of a configuration take effect at a restart only."""

from __future__ import annotations

from dataclasses import fields

from myrtlespar.config.types import Config

RELOADABLE_KEYS = ("kernel", "store", "roster")  # a reload moves the connections to these upstreams


def needs_restart(old: Config, new: Config) -> list[str]:
    """Return the keys that differ in a new configuration and take effect at a restart only.

    Args:
        old: The configuration that the process was started with.
        new: The configuration that was read for a reload.
    """
    return [
        setting.name
        for setting in fields(Config)
        if setting.name not in RELOADABLE_KEYS and getattr(old, setting.name) != getattr(new, setting.name)
    ]
