"""Base class of the client listeners (Thrift and AJP): accepting, idle connections and graceful shutdown."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import gevent
import structlog
from gevent import socket

from myrtlespar.config import Address
from myrtlespar.net.binding import (
    EXHAUSTION_ERRORS,
    EXHAUSTION_PAUSE_S,
    SINGLE_CONNECTION_ERRORS,
    Acceptor,
    bind_with_retries,
)
from myrtlespar.net.client_connection import ClientConnection
from myrtlespar.net.connections import configure_accepted
from myrtlespar.net.outbox import OutboxBudget
from myrtlespar.request_coordinator import RequestCoordinator
from myrtlespar.runtime.clock import unix_ms
from myrtlespar.runtime.supervision import run_forever

log = structlog.get_logger()
CLOSED_CHECK_S = 0.005  # between checks whether all connections have ended
ANSWERED_CHECK_S = 0.02  # between checks whether a connection's requests are answered

ConnectionType = TypeVar("ConnectionType", bound=ClientConnection)


@dataclass(frozen=True, slots=True)
class UnfinishedMessage:
    """A connection whose next message is incomplete, as seen at a check.

    Attributes:
        messages_read: How many messages of the connection were complete.
        waited_ms: For how many ms of checks that number has not changed.
    """

    messages_read: int
    waited_ms: float = 0.0


class Listener(Generic[ConnectionType]):
    """Accepts the client connections of one protocol, and keeps track of them until they end.

    A graceful shutdown calls these methods in this order:

    1. `stop`: accept no more connections; those already queued are served.
    2. `drain`: ask the clients to send no new requests. Connections stay open; requests that still arrive are handled.
    3. `end`: once all requests are answered, stop reading and close each connection after its queued answers are sent.
    4. `finish`: wait, for a limited time, until queued answers are sent and the clients have closed.

    `server.drain`, `server.handover` and `server.shutdown` decide when. Without a replacement process, `drain` is also
    called before `stop`.

    Attributes:
        name: The protocol's name in counters and log lines.
        connections: All open connections.
        outbox_budget: Limit on the unsent bytes that all connections together may queue.
        idle_timeout_ms: Idle connections are closed after this time; 0 disables the timeout.
    """

    def __init__(
        self,
        name: str,
        key: str,
        address: Address,
        coordinator: RequestCoordinator,
        max_connections: int,
        open_connection: Callable[[socket.socket], ConnectionType],
        is_cancelled: Callable[[], bool],
    ) -> None:
        """Bind the address, without listening yet.

        Args:
            name: The protocol's name in counters and log lines.
            key: The address's key in the configuration.
            address: Where to listen.
            coordinator: Receives the requests.
            max_connections: How many connections may be open at a time.
            open_connection: Creates the connection object for an accepted socket.
            is_cancelled: Returns whether to stop waiting for the address before the timeout.

        Raises:
            AddressInUseError: The address could not be bound in time.
        """
        limits = coordinator.limits
        self.name = name
        self.coordinator = coordinator
        self.connections: set[ConnectionType] = set()
        share = max_connections / limits.max_connections
        self.outbox_budget = OutboxBudget(int(limits.max_total_outbox_bytes * share))
        self.idle_timeout_ms = 0.0
        self._max_connections = max_connections
        self._open_connection = open_connection
        self._unfinished: dict[ConnectionType, UnfinishedMessage] = {}
        self._socket = bind_with_retries(key, address, 0, True, limits.bind_timeout_ms, limits, is_cancelled)
        self._server = Acceptor(self._socket, self._serve)
        self._server.free_descriptor = self._close_least_needed
        # Accepting many at once could exhaust the descriptors before idle connections are closed to free some.
        self._server.max_accept = limits.max_accepts_per_turn

    def start(self) -> None:
        """Start listening; `__init__` only binds, as a process whose start fails must accept no connections."""
        self._socket.listen(self.coordinator.limits.accept_backlog)
        self._server.start()
        gevent.spawn(run_forever, f"{self.name}.look", self._check_connections, self.coordinator.counters)

    @property
    def port(self) -> int:
        """The port in use."""
        return int(self._server.server_port)

    def stop(self) -> None:
        """Accept the connections that are queued, which closing the socket would reset, and stop listening.

        Connections may have been queued on this socket even after a replacement process began to listen.
        """
        if self._server.closed:
            return
        listening_socket = self._socket
        self._server.stop_accepting()
        listening_socket.setblocking(False)
        for sock, peer_address in self._accept_queued(listening_socket):
            self.coordinator.counters.add(f"in.taken_at_close.{self.name}")
            gevent.spawn(self._serve_then_close, sock, peer_address)
        gevent.spawn(self.drain)  # runs after those greenlets, so that it includes their connections
        self._server.close()

    def drain(self) -> None:
        """Ask every client to send no new requests, as far as the protocol allows. May be called repeatedly."""
        raise NotImplementedError

    def end(self) -> None:
        """Stop reading on all connections, and close each after its queued answers; see `ClientConnection.end`."""
        for connection in list(self.connections):
            connection.end()

    def finish(self, timeout_s: float) -> None:
        """Send the queued answers and close all connections; block until all have ended, for `timeout_s` at most.

        A connection is closed once its client has closed its side, or after the linger time.
        """
        self.end()
        for connection in list(self.connections):
            connection.outbox.finish()
        wait_until = unix_ms() + timeout_s * 1000.0
        while self.connections and unix_ms() < wait_until:
            gevent.sleep(CLOSED_CHECK_S)

    def close_idle(self, connection: ConnectionType) -> None:
        """Close an idle connection and count it."""
        self._close_and_count(connection, "idle_closed")

    def finish_answers(self, connection: ClientConnection) -> None:
        """Block until all requests of a connection that is no longer read are answered and the answers sent."""
        while connection.has_open_requests() and not connection.outbox.closed and not connection.reader.is_reset():
            gevent.sleep(ANSWERED_CHECK_S)
        connection.outbox.finish()
        connection.outbox.wait_sent(self.coordinator.limits.send_timeout_ms / 1000.0)

    def _accept_queued(self, listening_socket: socket.socket) -> Iterator[tuple[socket.socket, Any]]:
        """Yield all connections that wait to be accepted, even if one fails or descriptors run out."""
        limits = self.coordinator.limits
        for _ in range(2 * limits.accept_backlog):
            try:
                yield listening_socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in SINGLE_CONNECTION_ERRORS:
                    continue
                if error.errno not in EXHAUSTION_ERRORS or not self._close_least_needed():
                    return
                # The closed connection frees its descriptor after the linger time.
                gevent.sleep(limits.close_linger_ms / 1000.0 + EXHAUSTION_PAUSE_S)

    def _check_connections(self) -> None:
        """Periodically close connections that are idle for too long, never send anything, or stop within a message.

        How long a message is unfinished is counted in checks, so that a pause of the machine does not count.
        """
        while True:
            gevent.sleep(self.coordinator.limits.idle_check_ms / 1000.0)
            now = unix_ms()
            before = self._unfinished
            self._unfinished = {}
            for connection in list(self.connections):
                idle_ms = now - connection.last_active_at
                if self.idle_timeout_ms > 0 and idle_ms > self.idle_timeout_ms and self._is_idle(connection):
                    self.close_idle(connection)
                elif not connection.messages_read or connection.reader.has_buffered():
                    self._check_unfinished(connection, before.get(connection))

    def _check_unfinished(self, connection: ConnectionType, before: UnfinishedMessage | None) -> None:
        """Close a connection that has completed no message for too long.

        It stays open while one of its requests is unanswered, as the client may send further ones behind the unfinished
        message, and while data waits to be read.
        """
        waited_ms = 0.0
        if before is not None and before.messages_read == connection.messages_read:
            waited_ms = before.waited_ms + self.coordinator.limits.idle_check_ms
        if waited_ms >= self._message_timeout_ms(connection) and self._is_stalled(connection):
            self._close_stalled(connection)
        else:
            self._unfinished[connection] = UnfinishedMessage(connection.messages_read, waited_ms)

    def _message_timeout_ms(self, connection: ConnectionType) -> float:
        """Return how long the next message may take.

        On a connection that has carried a message, it is as long as the longest client timeout: by then nobody waits
        for the answer to a request that is still incomplete.
        """
        timeout_ms = self.coordinator.limits.message_timeout_ms
        if not connection.messages_read:
            return timeout_ms
        return max(timeout_ms, self.coordinator.settings.longest_client_timeout_ms)

    def _close_stalled(self, connection: ConnectionType) -> None:
        """Close a connection that stopped within a message and count it."""
        self._close_and_count(connection, "unfinished")

    def _close_and_count(self, connection: ConnectionType, counter: str) -> None:
        self.coordinator.counters.add(f"in.{counter}.{self.name}")
        self.connections.discard(connection)
        connection.close()

    @staticmethod
    def _is_stalled(connection: ConnectionType) -> bool:
        """Return whether a connection with an incomplete message has no open request and nothing else to read."""
        return not connection.has_open_requests() and not connection.reader.is_readable()

    @staticmethod
    def _is_idle(connection: ConnectionType) -> bool:
        """Return whether a connection has no open request and no unread input."""
        return not connection.has_open_requests() and not connection.reader.has_unread()

    def _can_open_connection(self) -> bool:
        """Return whether one more connection may be opened; closes another one if the limit is reached."""
        return len(self.connections) < self._max_connections or self._close_least_needed()

    def _close_least_needed(self) -> bool:
        """Close the connection that is idle for the longest time, or else the one that is stalled for the longest time.

        Returns:
            Whether there was one.
        """
        idle = (connection for connection in self.connections if self._is_idle(connection))
        longest_idle = min(idle, key=lambda connection: connection.last_active_at, default=None)
        if longest_idle is not None:
            self.close_idle(longest_idle)
            return True
        stalled = (connection for connection in self._unfinished if self._may_give_way(connection))
        longest_stalled = max(stalled, key=lambda connection: self._unfinished[connection].waited_ms, default=None)
        if longest_stalled is not None:
            self._close_stalled(longest_stalled)
        return longest_stalled is not None

    def _may_give_way(self, connection: ConnectionType) -> bool:
        """Return whether a connection that stopped within a message may be closed for a new one."""
        waited_ms = self._unfinished[connection].waited_ms
        is_overdue = waited_ms >= self.coordinator.limits.message_timeout_ms
        return is_overdue and connection in self.connections and self._is_stalled(connection)

    def _serve_then_close(self, sock: socket.socket, peer_address: Any) -> None:
        try:
            self._serve(sock, peer_address)
        finally:
            sock.close()

    def _serve(self, sock: socket.socket, _: Any) -> None:
        if not self._can_open_connection():
            self.coordinator.counters.add(f"in.connection_refused.{self.name}")
            return
        configure_accepted(sock, self.coordinator.limits)
        connection = self._open_connection(sock)
        self.connections.add(connection)
        self.coordinator.counters.add(f"in.connection.{self.name}")
        try:
            connection.read()
        except Exception:  # a bug must not end other connections or leave requests unanswered
            if self.coordinator.counters.count_and_sample(f"in.fault.{self.name}"):
                log.exception("connection failed", front=self.name)
            connection.fail()
        finally:
            connection.outbox.close()  # nothing may be written any more, as the descriptor may be reused
            self.connections.discard(connection)
