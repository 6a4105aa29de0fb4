"""The fleet parts of one process, wired: loaded only with MYRTLESPAR_FLEET set, and the only place that knows them
all. Promises nothing of its own; see `membership`.
"""

from myrtlespar.fleet.node import FleetNode, open_fleet

__all__ = ["FleetNode", "open_fleet"]
