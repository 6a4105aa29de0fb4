"""Wiring of one process's fleet parts: membership, fleet limits, and the sockets, files and clocks that they need.

Loaded only with MYRTLESPAR_FLEET set, and the only package that knows all of these parts. It makes no promises of its
own; those of membership and of limits are stated in `membership` and `quota`.
"""

from myrtlespar.fleet.node import FleetNode, open_fleet

__all__ = ["FleetNode", "open_fleet"]
