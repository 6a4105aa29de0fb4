"""Two processes of one member name: the second finds out whether the first has the peer address, and waits for it.

The second process sends a probe to its own address. An old process of the same fleet and name answers with the same
bytes and hands the address over when it ends; any other program does not answer, and the start fails.
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
    """Who has the address."""

    PREDECESSOR = auto()  # an old process of our name
    BOUND = auto()  # this process: the address became free and was bound
    UNKNOWN_PROGRAM = auto()


class NameConflictProbe:
    """The probe of one process, sent from the host of its own address."""

    def __init__(self, address: tuple[str, int], fleet: str, name: str, counters: Counters) -> None:
        self.address = address
        self.counters = counters
        self.datagram = name_conflict_probe(fleet, name)

    def is_from_successor(self, data: bytes, source: tuple[str, int]) -> bool:
        """Whether a second process of our name sent this, from our own host."""
        return data == self.datagram and source[0] == self.address[0]

    def run(self, wait_s: float, bind: Callable[[], bool]) -> ProbeResult:
        """Probe the process that has the address, for `wait_s`, and attempt `bind` between the probes.

        Args:
            wait_s: For how long the probe is repeated.
            bind: Attempts to bind the address, and returns whether it did.
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
        """Repeat the probe, by which the old process knows that we wait, until `bind_or_closed` returns true."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind((self.address[0], 0))
            while not bind_or_closed():
                try:
                    sock.sendto(self.datagram, self.address)
                except OSError:  # the old process closed the address after `bind_or_closed` failed
                    self.counters.add("peers.old_gone")
                gevent.sleep(RETRY_S)
