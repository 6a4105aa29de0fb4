"""The admin server: one command line per connection, answered by `myrtlespar.admin.commands`.

Its listener, greenlets and connection limit are separate from those of the client listeners, so that neither clients
nor operators can use up the connections of the others.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from typing import Any

from gevent import socket

from myrtlespar.admin.commands import MAX_LINE_BYTES, AdminCommands
from myrtlespar.admin.metrics import MetricsSnapshot
from myrtlespar.config import Address
from myrtlespar.net.binding import Acceptor, bind_with_retries
from myrtlespar.resource_limits import ResourceLimits
from myrtlespar.runtime.clock import unix_ms
from myrtlespar.runtime.counters import Counters

MAX_CONNECTIONS = 64  # accepting one more closes the oldest
MAX_ACCEPTS_PER_TURN = 16  # connections accepted before their greenlets run
ACCEPT_BACKLOG = 64  # connections that wait to be accepted
LINE_TIMEOUT_S = 5.0  # for each read of the line
DISCARD_TIMEOUT_S = 0.2  # for each read of the rest of an overlong line
MAX_DISCARD_READS = 16
DISCARD_READ_BYTES = 4096


class AdminServer:
    """Listens on the admin address and answers each line."""

    def __init__(
        self,
        address: Address,
        commands: AdminCommands,
        counters: Counters,
        is_ready: Callable[[], bool],
        take_metrics: Callable[[], MetricsSnapshot],
        limits: ResourceLimits,
        is_cancelled: Callable[[], bool],
    ) -> None:
        """Bind the address and listen.

        Args:
            address: Where to listen.
            commands: Answers the command lines.
            counters: Counts connections and errors.
            is_ready: Returns whether this process can serve new clients.
            take_metrics: Returns the current metrics.
            limits: The process's limits.
            is_cancelled: Returns whether to stop waiting for the address before the timeout.

        Raises:
            AddressInUseError: The address could not be bound in time.
        """
        self._commands = commands
        self._counters = counters
        self._is_ready = is_ready
        self._take_metrics = take_metrics
        self._opened_at: dict[socket.socket, float] = {}  # of each open connection, in Unix milliseconds
        listening_socket = bind_with_retries(
            "mgmt", address, ACCEPT_BACKLOG, False, limits.admin_bind_timeout_ms, limits, is_cancelled
        )
        self._server = Acceptor(listening_socket, self._serve)
        self._server.max_accept = MAX_ACCEPTS_PER_TURN

    def start(self) -> None:
        """Start accepting connections."""
        self._server.start()

    @property
    def port(self) -> int:
        """The port in use."""
        return int(self._server.server_port)

    def stop(self) -> None:
        """Stop accepting connections."""
        self._server.close()

    def _serve(self, sock: socket.socket, _: Any) -> None:
        if len(self._opened_at) >= MAX_CONNECTIONS:
            self._close_oldest()
        self._opened_at[sock] = unix_ms()
        try:
            self._answer_line(sock)
        except OSError:
            self._counters.add("mgmt.broken")
        finally:
            self._opened_at.pop(sock, None)
            sock.close()

    def _close_oldest(self) -> None:
        """Close the oldest connection, so that callers that leave connections open can't exhaust the descriptors."""
        oldest = min(self._opened_at, key=self._opened_at.__getitem__)
        self._counters.add("mgmt.evicted")
        self._opened_at.pop(oldest, None)
        oldest.close()

    def _answer_line(self, sock: socket.socket) -> None:
        line = self._read_line(sock)
        if line is None:
            return
        metrics = self._take_metrics() if line.strip() == b"METRICS" else None
        reply = self._commands.handle_line(line, unix_ms(), self._is_ready(), metrics)
        self._counters.add("mgmt.error" if reply.data.startswith(b"error") else "mgmt.done")
        sock.sendall(reply.data)
        if reply.close_connection:
            _discard_rest(sock)

    def _read_line(self, sock: socket.socket) -> bytes | None:
        """Return one line, or MAX_LINE_BYTES + 1 bytes of a longer one; None if the caller left or timed out."""
        data = b""
        sock.settimeout(LINE_TIMEOUT_S)
        try:
            while b"\n" not in data and len(data) <= MAX_LINE_BYTES:
                chunk = sock.recv(MAX_LINE_BYTES + 1 - len(data))
                if not chunk:
                    return data or None
                data += chunk
        except TimeoutError:
            self._counters.add("mgmt.slow")
            return None
        return data.partition(b"\n")[0] if b"\n" in data else data


def _discard_rest(sock: socket.socket) -> None:
    """Read the rest of an overlong line for a short time: closing with unread bytes would lose the reply."""
    sock.shutdown(socket.SHUT_WR)
    sock.settimeout(DISCARD_TIMEOUT_S)
    with contextlib.suppress(OSError):
        for _ in range(MAX_DISCARD_READS):
            if not sock.recv(DISCARD_READ_BYTES):
                break
