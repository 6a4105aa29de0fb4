"""myrtlespar: an overload controller that lives inside each server of a fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from myrtlespar.decide import Policy
    from myrtlespar.interface import Settings

__all__ = ["Policy", "Settings"]


def __getattr__(name: str) -> Any:
    """Loaded when asked for: guards the start, which takes signals over first, against a wait for the module."""
    if name == "Policy":
        from myrtlespar.decide import Policy

        return Policy
    if name == "Settings":
        from myrtlespar.interface import Settings

        return Settings
    raise AttributeError(name)
