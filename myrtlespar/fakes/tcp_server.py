"""Common parts of the fakes: a listener with one thread per connection, reads of exact size, and polling."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

WAIT_S = 20.0  # timeout of every wait; each normally ends much earlier
POLL_S = 0.005


def until(ready: Callable[[], Any], what: str = "") -> Any:
    """Poll `ready` until it returns a true value, and return that value.

    Args:
        ready: The condition.
        what: The name of the condition for the error message.

    Raises:
        AssertionError: The condition did not hold within WAIT_S.
    """
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        if value := ready():
            return value
        time.sleep(POLL_S)
    raise AssertionError(f"timed out waiting for {what or ready}")


def read_exactly(sock: socket.socket, size: int) -> bytes:
    """Read exactly `size` bytes. Raises EOFError if the connection ends first."""
    out = b""
    while len(out) < size:
        if not (data := sock.recv(size - len(out))):
            raise EOFError
        out += data
    return out


class FakeServer:
    """A TCP server on 127.0.0.1 with one thread per connection. With `port` 0 it listens on a free port."""

    def __init__(self, port: int = 0) -> None:
        self.links: list[socket.socket] = []
        self.listener = socket.create_server(("127.0.0.1", port))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """The address as host:port."""
        return f"127.0.0.1:{self.port}"

    def relisten(self) -> None:
        """Move the listener to a new port; open connections stay open."""
        old = self.listener
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()
        old.shutdown(socket.SHUT_RDWR)
        old.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                link, _ = self.listener.accept()
                self.links.append(link)
                threading.Thread(target=self._serve, args=(link,), daemon=True).start()

    def _serve(self, link: socket.socket) -> None:
        with contextlib.suppress(OSError, EOFError):
            self.serve(link)
        self.cut(link)

    def serve(self, link: socket.socket) -> None:
        """Serve one connection until it ends. Implemented by subclasses."""
        raise NotImplementedError

    def cut(self, *links: socket.socket) -> None:
        """Close these connections, or all connections if none is given."""
        for link in links or tuple(self.links):
            with contextlib.suppress(OSError):
                link.shutdown(socket.SHUT_RDWR)
            link.close()

    def down(self) -> None:
        """Close the listener and all connections."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.cut()
