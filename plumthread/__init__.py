"""plumthread: an overload controller that lives inside each server of a fleet."""

from plumthread.interface import Settings
from plumthread.policy import Policy

__all__ = ["Policy", "Settings"]
