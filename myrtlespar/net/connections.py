"""Connecting and socket options common to all TCP connections."""

from __future__ import annotations

import contextlib
import errno

from gevent import socket

from myrtlespar.config import Address
from myrtlespar.resource_limits import ResourceLimits

TRANSIENT_ERRORS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM})
TRANSIENT_ERROR_PAUSE_S = 0.005  # before retrying a call that failed with one of TRANSIENT_ERRORS


def connect(address: Address, timeout_ms: float) -> socket.socket:
    """Return a connected TCP socket that sends without delay (TCP_NODELAY).

    Raises:
        OSError: The address can't be reached within `timeout_ms`.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout_ms / 1000.0)
        sock.connect(address)
        if sock.getsockname() == sock.getpeername():  # TCP may connect a port without a listener to itself
            raise ConnectionRefusedError(errno.ECONNREFUSED, "the connection was made to its own port")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(None)
    except BaseException:  # including a caller's gevent.Timeout
        sock.close()
        raise
    return sock


def configure_accepted(sock: socket.socket, limits: ResourceLimits) -> None:
    """Set the options of an accepted socket: TCP_NODELAY, and a send buffer that bounds what a slow peer can hold."""
    with contextlib.suppress(OSError):  # the options are not essential
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, limits.send_buffer_bytes)
