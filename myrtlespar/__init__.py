"""myrtlespar: an overload controller that lives inside each server of a fleet."""

from myrtlespar.interface import Settings
from myrtlespar.decide import Policy

__all__ = ["Policy", "Settings"]
