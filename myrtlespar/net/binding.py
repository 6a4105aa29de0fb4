"""Binding of listening addresses, and accepting of connections."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

from myrtlespar.config import Address
from myrtlespar.errors import MyrtlesparError
from myrtlespar.resource_limits import ResourceLimits
from myrtlespar.runtime.clock import unix_ms

# What accept reports when the system is short of descriptors or memory for a moment.
EXHAUSTION_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# What accept reports about one connection alone.
SINGLE_CONNECTION_ERRORS = frozenset({errno.ECONNABORTED, errno.EINTR, errno.EPROTO, errno.EPERM})
EXHAUSTION_PAUSE_S = 0.05  # before accepting goes on


class AddressInUseError(MyrtlesparError):
    """An address could not be bound in time; the message is one line that names its key."""


class Acceptor(StreamServer):  # type: ignore[misc]
    """Accepts connections; an error of one of them, or a passing one of the system, does not delay the others."""

    min_delay = max_delay = EXHAUSTION_PAUSE_S
    free_descriptor: Callable[[], object] = staticmethod(lambda: None)  # called when the system has none left

    def do_read(self) -> Any:
        """Return one accepted connection and its address, or None if none is waiting."""
        try:
            return super().do_read()
        except OSError as error:
            if error.errno in SINGLE_CONNECTION_ERRORS:
                return None
            if error.errno in EXHAUSTION_ERRORS:
                self.free_descriptor()
            raise


def bind_with_retries(
    key: str,
    address: Address,
    backlog: int,
    shared: bool,
    timeout_ms: float,
    limits: ResourceLimits,
    give_up: Callable[[], bool],
) -> socket.socket:
    """Return a bound socket.

    An earlier process may hold the address for a moment: one that is still ending, or a connection that happens to
    have this port. So binding is retried.

    Args:
        key: The address's key in the configuration.
        address: Where to listen.
        backlog: Connections that may wait to be accepted; 0 to bind without listening.
        shared: Whether a second process of the same server may bind the address too.
        timeout_ms: For how long binding is retried.
        limits: Holds the pause between attempts.
        give_up: Returns whether waiting for the address has become pointless.

    Raises:
        AddressInUseError: The address could not be bound in time; the message names `key`.
    """
    retry_until = unix_ms() + timeout_ms
    while True:
        try:
            return bind(address, backlog, shared)
        except OSError as error:
            if unix_ms() > retry_until or give_up():
                raise AddressInUseError(
                    f"{key}: cannot listen on {address[0]}:{address[1]}: {error.strerror}"
                ) from None
        gevent.sleep(limits.bind_retry_ms / 1000.0)


def bind(address: Address, backlog: int, shared: bool) -> socket.socket:
    """Return a socket that listens, or with a backlog of 0 is only bound to its address.

    With `shared`, a second process of the same server may listen beside it (SO_REUSEPORT).

    Raises:
        OSError: The address can't be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)
        if backlog:
            sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock
