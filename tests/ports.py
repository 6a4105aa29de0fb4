"""TCP ports for tests that start the server at an address of their choice."""

from __future__ import annotations

import contextlib
import socket

from myrtlespar.fakes import ThriftClient, until


def free_port() -> int:
    """Return a port that no process listens on."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return int(listener.getsockname()[1])


def connect_when_listening(port: int) -> ThriftClient:
    """Wait until the server listens on the port, and return a connected client."""

    def connected() -> ThriftClient | None:
        with contextlib.suppress(OSError):
            return ThriftClient(port)
        return None

    client: ThriftClient = until(connected, "a listener on the port")
    return client
