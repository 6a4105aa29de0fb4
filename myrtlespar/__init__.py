"""myrtlespar: an overload controller that lives inside each server of a fleet."""

from myrtlespar.decide import Policy
from myrtlespar.interface import Settings

__all__ = ["Policy", "Settings"]
