"""Connects membership and fleet limits of one process to the sockets, files and clocks that they need.

Imported only if MYRTLESPAR_FLEET is set, and the only package that depends on all of these parts. It adds no guarantees
of its own; those of membership and of limits are stated in `membership` and `quota`.
"""

from myrtlespar.fleet.node import FleetNode, open_fleet

__all__ = ["FleetNode", "open_fleet"]
