"""myrtlespar: an overload controller that runs inside each server of a fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from myrtlespar.policy.messages import Settings
    from myrtlespar.policy.policy import Policy

__all__ = ["Policy", "Settings"]


def __getattr__(name: str) -> Any:
    """Import the policy on first use, so that the program can install its signal handlers before the import."""
    if name == "Policy":
        from myrtlespar.policy.policy import Policy

        return Policy
    if name == "Settings":
        from myrtlespar.policy.messages import Settings

        return Settings
    raise AttributeError(name)
