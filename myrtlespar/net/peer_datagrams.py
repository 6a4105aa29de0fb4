"""The UDP socket of the peer link: a reader greenlet, bounded reading without waiting, and sending."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass

import gevent

from myrtlespar.net.codec.peer import split_address
from myrtlespar.runtime.counters import Counters

MAX_DATAGRAMS_PER_TURN = 32  # read before other greenlets get a turn
MAX_RECEIVED_BYTES = 2048
LOOP_READ_EVENT = 1  # libev's and libuv's number for "readable"

DatagramHandler = Callable[[bytes, tuple[str, int]], None]


@dataclass(slots=True)
class TrafficBytes:
    """Bytes of the peer link, datagrams and TCP exchanges together."""

    sent_bytes: int = 0
    read_bytes: int = 0


class DatagramEndpoint:
    """A bound non-blocking UDP socket. The reader and the clock of the peer transport both take datagrams from it."""

    def __init__(
        self, bound: socket.socket, counters: Counters, traffic: TrafficBytes, datagram_received: DatagramHandler
    ) -> None:
        """`datagram_received` is called with each datagram and its source address."""
        self.counters = counters
        self.traffic = traffic
        self.datagram_received = datagram_received
        self._socket: socket.socket | None = bound
        self._reader: gevent.Greenlet | None = None

    @property
    def is_open(self) -> bool:
        """Whether it was not closed yet."""
        return self._socket is not None

    def start_reader(self) -> None:
        """Read datagrams as they come, in a greenlet of their own."""
        self._reader = gevent.spawn(self._read)

    def drain(self) -> None:
        """Read what has arrived already, at most MAX_DATAGRAMS_PER_TURN datagrams, without waiting.

        It has nothing to do with the drain of a server.
        """
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            if self._socket is None:
                return
            try:
                data, source = self._socket.recvfrom(MAX_RECEIVED_BYTES)
            except BlockingIOError:
                return
            except OSError:  # "port unreachable" came back for a datagram sent before
                self.counters.add("peers.refused")
                continue
            self.datagram_received(data, source)

    def send(self, data: bytes, address: str) -> None:
        """Send a datagram to A.B.C.D:PORT; one that can't be sent is as good as lost, and counted."""
        if self._socket is None:
            return
        try:
            self._socket.sendto(data, split_address(address))
            self.traffic.sent_bytes += len(data)
        except OSError:  # a full buffer, or an address that can't be reached
            self.counters.add("peers.unsent")

    def reply(self, data: bytes, source: tuple[str, int]) -> None:
        """Answer to a source address; not counted as traffic between members."""
        if self._socket is None:
            return
        try:
            self._socket.sendto(data, source)
        except OSError:
            self.counters.add("peers.unsent")

    def close(self) -> None:
        """Close the socket at once; the reader ends by it."""
        if self._socket is None:
            return
        if self._reader is not None:
            self._reader.kill(block=False)
        self._socket.close()
        self._socket = None

    def _read(self) -> None:
        assert self._socket is not None
        hub = gevent.get_hub()
        readable = hub.loop.io(self._socket.fileno(), LOOP_READ_EVENT)
        try:
            while self._socket is not None:
                hub.wait(readable)
                self.drain()
                gevent.sleep(0)
        finally:
            readable.stop()
            readable.close()
