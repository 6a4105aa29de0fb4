"""The smallest configuration file of the platform, for tests that change one of its keys."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from myrtlespar.fakes import settings


def minimal_configuration(changes: Mapping[str, Any] | None = None) -> dict[str, Any]:
    """Return a configuration with all required keys, unreachable upstreams, and `changes` applied."""
    return {
        "name": "n",
        "listen": "127.0.0.1:0",
        "kernel": "127.0.0.1:1",
        "store": "127.0.0.1:1",
        "roster": "127.0.0.1:1",
        "settings": settings(),
        **(changes or {}),
    }
