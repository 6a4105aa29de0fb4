"""myrtlespar: an overload controller that lives inside each server of a fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from myrtlespar.policy.messages import Settings
    from myrtlespar.policy.policy import Policy

__all__ = ["Policy", "Settings"]


def __getattr__(name: str) -> Any:
    """Load the policy at its first use, so that a start can install its signal handlers before it."""
    if name == "Policy":
        from myrtlespar.policy.policy import Policy

        return Policy
    if name == "Settings":
        from myrtlespar.policy.messages import Settings

        return Settings
    raise AttributeError(name)
