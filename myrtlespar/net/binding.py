"""Binding of listening addresses and accepting of connections."""

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

# Errors of accept when the system is temporarily short of descriptors or memory.
EXHAUSTION_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# Errors of accept that concern a single connection.
SINGLE_CONNECTION_ERRORS = frozenset({errno.ECONNABORTED, errno.EINTR, errno.EPROTO, errno.EPERM})
EXHAUSTION_PAUSE_S = 0.05  # before the next accept


class AddressInUseError(MyrtlesparError):
    """An address could not be bound in time; the message is one line that names the configuration key."""


class Acceptor(StreamServer):  # type: ignore[misc]
    """Accepts connections; errors of one connection and temporary errors of the system do not stop it."""

    min_delay = max_delay = EXHAUSTION_PAUSE_S
    free_descriptor: Callable[[], object] = staticmethod(lambda: None)  # called when no descriptor is left

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
    is_cancelled: Callable[[], bool],
) -> socket.socket:
    """Return a bound socket.

    Binding is retried, as the address may be in use for a moment: by an earlier process that is still ending, or by an
    outgoing connection that happens to have this port.

    Args:
        key: The address's key in the configuration.
        address: Where to listen.
        backlog: How many connections may wait to be accepted; 0 to bind without listening.
        shared: Whether a second process of the same server may bind the address too.
        timeout_ms: How long binding is retried.
        limits: Provides the pause between attempts.
        is_cancelled: Returns whether to stop retrying before the timeout, as at a shutdown.

    Raises:
        AddressInUseError: The address could not be bound in time; the message names `key`.
    """
    retry_until = unix_ms() + timeout_ms
    while True:
        try:
            return bind(address, backlog, shared)
        except OSError as error:
            if unix_ms() > retry_until or is_cancelled():
                raise AddressInUseError(
                    f"{key}: cannot listen on {address[0]}:{address[1]}: {error.strerror}"
                ) from None
        gevent.sleep(limits.bind_retry_ms / 1000.0)


def bind(address: Address, backlog: int, shared: bool) -> socket.socket:
    """Return a listening socket; with a backlog of 0 it is only bound.

    With `shared`, a second process of the same server may bind the address too (SO_REUSEPORT).

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
