"""Determines which changes of the configuration take effect only after a restart."""

from __future__ import annotations

from dataclasses import fields

from myrtlespar.config.types import Config

RELOADABLE_KEYS = ("kernel", "store", "roster")  # addresses of upstreams, to which a reload reconnects


def needs_restart(old: Config, new: Config) -> list[str]:
    """Return the keys whose values differ in a new configuration and take effect only after a restart.

    Args:
        old: The configuration that the process was started with.
        new: The configuration read for the reload.
    """
    return [
        setting.name
        for setting in fields(Config)
        if setting.name not in RELOADABLE_KEYS and getattr(old, setting.name) != getattr(new, setting.name)
    ]
