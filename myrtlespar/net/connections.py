"""TCP sockets as every part of the program sets them up."""

from __future__ import annotations

import contextlib
import errno

from gevent import socket

from myrtlespar.config import Address
from myrtlespar.resource_limits import ResourceLimits

TRANSIENT_ERRORS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM})
TRANSIENT_ERROR_PAUSE_S = 0.005  # before a system call that failed with one of these is made again


def connect(address: Address, timeout_ms: float) -> socket.socket:
    """Return a connected TCP socket that sends without delay (TCP_NODELAY).

    Raises:
        OSError: The address can't be reached within the time.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout_ms / 1000.0)
        sock.connect(address)
        if sock.getsockname() == sock.getpeername():  # TCP can connect a port to itself where nobody listens
            raise ConnectionRefusedError(errno.ECONNREFUSED, "connected to itself")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(None)
    except BaseException:  # a caller's gevent.Timeout included
        sock.close()
        raise
    return sock


def configure_accepted(sock: socket.socket, limits: ResourceLimits) -> None:
    """Set the options of an accepted socket: no delays, and a bounded buffer for a peer that does not read."""
    with contextlib.suppress(OSError):  # it serves without them too
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, limits.send_buffer_bytes)
