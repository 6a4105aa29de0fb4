"""Start of a process whose peer address is in use, as by the old process of the same member during a hand-over.

The new process sends a probe to its own address. An old process of the same fleet and member name returns the probe
unchanged, and the new one waits until it releases the address. Any other program does not, and the start fails.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto

import gevent
from gevent import socket

from myrtlespar.net.codec.peer import name_conflict_probe
from myrtlespar.runtime.counters import Counters

REPLY_TIMEOUT_S = 0.1
RETRY_S = 0.05
MAX_REPLY_BYTES = 2048


class ProbeResult(Enum):
    """Which process has the address bound."""

    PREDECESSOR = auto()  # an old process of the same member
    BOUND = auto()  # this process, which bound the address as it became free
    UNKNOWN_PROGRAM = auto()


class NameConflictProbe:
    """Sends the probe of one process, from the host of its own address."""

    def __init__(self, address: tuple[str, int], fleet: str, name: str, counters: Counters) -> None:
        self.address = address
        self.counters = counters
        self.datagram = name_conflict_probe(fleet, name)

    def is_from_successor(self, data: bytes, source: tuple[str, int]) -> bool:
        """Return whether a datagram is the probe of a second process of this member, sent from this host."""
        return data == self.datagram and source[0] == self.address[0]

    def run(self, wait_s: float, bind: Callable[[], bool]) -> ProbeResult:
        """Probe the process that has the address bound, and attempt to bind it after each probe.

        Args:
            wait_s: How long the probe is repeated.
            bind: Attempts to bind the address, and returns whether it succeeded.
        """
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind((self.address[0], 0))
            sock.settimeout(REPLY_TIMEOUT_S)
            for _ in range(max(1, int(wait_s / REPLY_TIMEOUT_S))):
                try:
                    sock.sendto(self.datagram, self.address)
                    if sock.recvfrom(MAX_REPLY_BYTES) == (self.datagram, self.address):
                        return ProbeResult.PREDECESSOR
                except TimeoutError:
                    pass
                except OSError:
                    gevent.sleep(RETRY_S)
                if bind():
                    return ProbeResult.BOUND
        return ProbeResult.UNKNOWN_PROGRAM

    def wait_for_address(self, bind_or_closed: Callable[[], bool]) -> None:
        """Repeat the probe, which tells the old process that this one waits, until `bind_or_closed` returns true."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind((self.address[0], 0))
            while not bind_or_closed():
                try:
                    sock.sendto(self.datagram, self.address)
                except OSError:  # the old process closed its socket since `bind_or_closed` was called
                    self.counters.add("peers.old_gone")
                gevent.sleep(RETRY_S)
