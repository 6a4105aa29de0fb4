"""What all stand-ins share: a listener with a thread a connection, exact reads, waiting for what must come."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

WAIT_S = 20.0  # until one gives up; nothing here is expected to take so long


def until(ready: Callable[[], Any], what: str = "") -> Any:
    """Wait for something that must come."""
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        if value := ready():
            return value
        time.sleep(0.005)
    raise AssertionError(f"never came: {what or ready}")


def exactly(sock: socket.socket, size: int) -> bytes:
    """So many bytes, or EOFError."""
    out = b""
    while len(out) < size:
        if not (data := sock.recv(size - len(out))):
            raise EOFError
        out += data
    return out


class FakeServer:
    """Accepts on a port picked by the system; a thread a connection."""

    def __init__(self, port: int = 0) -> None:
        self.links: list[socket.socket] = []
        self.listener = socket.create_server(("127.0.0.1", port))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """host:port."""
        return f"127.0.0.1:{self.port}"

    def relisten(self) -> None:
        """Accept at a new address only."""
        old, self.listener = self.listener, socket.create_server(("127.0.0.1", 0))
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
        """Serve one connection."""
        raise NotImplementedError

    def cut(self, *links: socket.socket) -> None:
        """End these connections, or all."""
        for link in links or tuple(self.links):
            with contextlib.suppress(OSError):
                link.shutdown(socket.SHUT_RDWR)
            link.close()

    def down(self) -> None:
        """Listen no more, end all connections."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.cut()
