"""The TCP side of the peer link: exchanges of complete views, a bounded number at a time in each direction."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket

from myrtlespar.membership.messages import RequestSync, ViewSync
from myrtlespar.net.codec.peer import (
    HEADER_BYTES,
    MAX_STREAM_BYTES,
    MalformedPeerMessageError,
    decode_sync,
    encode,
    split_address,
)
from myrtlespar.net.peer_datagrams import TrafficBytes
from myrtlespar.runtime.counters import Counters

MAX_EXCHANGES = 4  # in progress at a time, in each direction
EXCHANGE_TIMEOUT_S = 2.0
LENGTH_BYTES = 4
MAX_READ_BYTES = 65536  # of one recv call


class SyncExchanges:
    """Requests the complete views of other members, and answers their requests."""

    def __init__(
        self,
        local_host: str,
        counters: Counters,
        traffic: TrafficBytes,
        sync_received: Callable[[ViewSync], None],
        sync_requested: Callable[[ViewSync], ViewSync | None],
    ) -> None:
        """`sync_received` is called with a reply; `sync_requested` with a request, and returns the reply, if any."""
        self.local_host = local_host
        self.counters = counters
        self.traffic = traffic
        self.sync_received = sync_received
        self.sync_requested = sync_requested
        self._requesting = 0
        self._serving = 0

    def request(self, effect: RequestSync) -> None:
        """Start an exchange in a greenlet of its own; if MAX_EXCHANGES are in progress, only count the request."""
        if self._requesting >= MAX_EXCHANGES:
            self.counters.add("peers.exchange_spared")
            return
        self._requesting += 1
        gevent.spawn(self._request, effect)

    def serve(self, sock: socket.socket, _: Any) -> None:
        """Answer one accepted connection and close it; if MAX_EXCHANGES are in progress, close it unanswered."""
        if self._serving >= MAX_EXCHANGES:  # bounds descriptors and memory
            self.counters.add("peers.exchange_refused")
            sock.close()
            return
        self._serving += 1
        try:
            with gevent.Timeout(EXCHANGE_TIMEOUT_S, TimeoutError), sock:
                reply = self.sync_requested(read_sync(sock, self.traffic))
                if reply is not None:
                    write_sync(sock, reply, self.traffic)
        except (OSError, MalformedPeerMessageError) as error:
            self._count_failure(error)
        finally:
            self._serving -= 1

    def _request(self, effect: RequestSync) -> None:
        try:
            with (
                gevent.Timeout(EXCHANGE_TIMEOUT_S, TimeoutError),
                socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock,
            ):
                sock.bind((self.local_host, 0))
                sock.connect(split_address(effect.address))
                write_sync(sock, effect.sync, self.traffic)
                reply = read_sync(sock, self.traffic)
            self.sync_received(reply)
        except (OSError, MalformedPeerMessageError) as error:
            self._count_failure(error)
        finally:
            self._requesting -= 1

    def _count_failure(self, error: Exception) -> None:
        malformed = isinstance(error, MalformedPeerMessageError)
        self.counters.add(f"peers.exchange_{'spoilt' if malformed else 'failed'}")


def write_sync(sock: Any, sync: ViewSync, traffic: TrafficBytes) -> None:
    """Send a view, preceded by its length."""
    data = encode(sync)
    sock.sendall(len(data).to_bytes(LENGTH_BYTES, "big") + data)
    traffic.sent_bytes += len(data) + LENGTH_BYTES


def read_sync(sock: Any, traffic: TrafficBytes) -> ViewSync:
    """Read a view, which is preceded by its length.

    Raises:
        MalformedPeerMessageError: The data is not a valid view, or the connection ended first.
    """
    size = int.from_bytes(_read_exactly(sock, LENGTH_BYTES), "big")
    if not HEADER_BYTES < size <= MAX_STREAM_BYTES:
        raise MalformedPeerMessageError("length of the view is out of range")
    traffic.read_bytes += size + LENGTH_BYTES
    return decode_sync(_read_exactly(sock, size))


def _read_exactly(sock: Any, size: int) -> bytes:
    received = bytearray()
    while len(received) < size:
        data = sock.recv(min(MAX_READ_BYTES, size - len(received)))
        if not data:
            raise MalformedPeerMessageError("connection ended within a view")
        received += data
    return bytes(received)
