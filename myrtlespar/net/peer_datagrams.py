"""The UDP socket of the peer link."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass

import gevent

from myrtlespar.net.codec.peer import split_address
from myrtlespar.runtime.counters import Counters

MAX_DATAGRAMS_PER_TURN = 32  # read before other greenlets run
MAX_RECEIVED_BYTES = 2048
LOOP_READ_EVENT = 1  # libev's and libuv's number for "readable"

DatagramHandler = Callable[[bytes, tuple[str, int]], None]


@dataclass(slots=True)
class TrafficBytes:
    """Bytes sent and received over the peer link, in datagrams and TCP exchanges."""

    sent_bytes: int = 0
    read_bytes: int = 0


class DatagramEndpoint:
    """A bound non-blocking UDP socket, read by a greenlet of its own and by the clock of the peer transport."""

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
        """Whether the socket is open."""
        return self._socket is not None

    def start_reader(self) -> None:
        """Start the greenlet that reads datagrams."""
        self._reader = gevent.spawn(self._read)

    def read_available(self) -> None:
        """Read the datagrams that have arrived, at most MAX_DATAGRAMS_PER_TURN, without waiting."""
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            if self._socket is None:
                return
            try:
                data, source = self._socket.recvfrom(MAX_RECEIVED_BYTES)
            except BlockingIOError:
                return
            except OSError:  # an ICMP "port unreachable" for an earlier datagram
                self.counters.add("peers.refused")
                continue
            self.datagram_received(data, source)

    def send(self, data: bytes, address: str) -> None:
        """Send a datagram to A.B.C.D:PORT; one that can't be sent is dropped and counted."""
        if self._socket is None:
            return
        try:
            self._socket.sendto(data, split_address(address))
            self.traffic.sent_bytes += len(data)
        except OSError:  # the send buffer is full, or the address is unreachable
            self.counters.add("peers.unsent")

    def reply(self, data: bytes, source: tuple[str, int]) -> None:
        """Send a reply to a source address; it is not counted as traffic between members."""
        if self._socket is None:
            return
        try:
            self._socket.sendto(data, source)
        except OSError:
            self.counters.add("peers.unsent")

    def close(self) -> None:
        """Stop the reader and close the socket at once."""
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
                self.read_available()
                gevent.sleep(0)
        finally:
            readable.stop()
            readable.close()
