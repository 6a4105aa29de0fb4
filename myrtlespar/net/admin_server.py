"""The management address: one line a connection, answered by the pure `ops.management`.

Its own listener and greenlets, bounded apart from the clients' fronts, so that a crowd of clients can't take
its places, and a crowd of operators' connections can't take the clients'.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from typing import Any

import structlog
from gevent import socket

from myrtlespar.admin.commands import LINE_MOST, AdminCommands, MetricsSnapshot
from myrtlespar.config import Address
from myrtlespar.net.listener import Acceptor, bind_in_time
from myrtlespar.resource_limits import ResourceLimits
from myrtlespar.runtime.clock import unix_ms
from myrtlespar.runtime.counters import Counters

log = structlog.get_logger()

MOST = 64  # management connections at a time; a newcomer past that ends the oldest one
DISCARD_S = 0.2  # of the rest of an overlong line
HOLD_S = 5.0  # a caller may take so long to send its whole line


class AdminServer:
    """Listens on `address` and answers each line within the time the event loop grants it."""

    def __init__(
        self,
        address: Address,
        commands: AdminCommands,
        counters: Counters,
        ready: Callable[[], bool],
        figures: Callable[[], MetricsSnapshot],
        limits: ResourceLimits,
        give_up: Callable[[], bool],
    ) -> None:
        self.commands, self.counters, self.ready, self.figures = commands, counters, ready, figures
        self._open: dict[socket.socket, float] = {}  # connection: when it came
        listener = bind_in_time("mgmt", address, 64, False, limits.admin_bind_timeout_ms, limits, give_up)
        self._server = Acceptor(listener, self._serve)
        self._server.max_accept = 16

    def start(self) -> None:
        """Listen."""
        self._server.start()

    @property
    def port(self) -> int:
        """The port in use."""
        return int(self._server.server_port)

    def stop(self) -> None:
        """Accept no more."""
        self._server.close()

    def _serve(self, sock: socket.socket, _: Any) -> None:
        if len(self._open) >= MOST:  # guards descriptors against callers that hold connections open
            oldest = min(self._open, key=self._open.__getitem__)
            self.counters.add("mgmt.evicted")
            self._open.pop(oldest, None)
            oldest.close()
        self._open[sock] = unix_ms()
        try:
            raw = self._line(sock)
            if raw is None:
                return
            reply, overlong = self.commands.handle_line(
                raw, unix_ms(), self.ready(), self.figures() if raw.strip() == b"METRICS" else None
            )
            self.counters.add("mgmt.error" if reply.startswith(b"error") else "mgmt.done")
            sock.sendall(reply)
            if overlong:
                _discard(sock)
        except OSError:
            self.counters.add("mgmt.broken")
        finally:
            self._open.pop(sock, None)
            sock.close()

    def _line(self, sock: socket.socket) -> bytes | None:
        """One line, at most LINE_MOST + 1 bytes of it; None when the caller left or took too long."""
        data = b""
        sock.settimeout(HOLD_S)
        try:
            while b"\n" not in data and len(data) <= LINE_MOST:
                chunk = sock.recv(LINE_MOST + 1 - len(data))
                if not chunk:
                    return data or None
                data += chunk
        except TimeoutError:
            self.counters.add("mgmt.slow")
            return None
        return data.partition(b"\n")[0] if b"\n" in data else data


def _discard(sock: socket.socket) -> None:
    """Read what is left of an overlong line for a short while, so that closing does not reset the reply."""
    sock.shutdown(socket.SHUT_WR)
    sock.settimeout(DISCARD_S)
    with contextlib.suppress(OSError):
        for _ in range(16):
            if not sock.recv(4096):
                break
