"""Base class of client connections, which ends them without losing an answer."""

from __future__ import annotations

from collections.abc import Callable

from gevent import socket

from myrtlespar.net.outbox import Outbox, OutboxBudget
from myrtlespar.net.socket_reader import SocketReader
from myrtlespar.resource_limits import ResourceLimits
from myrtlespar.runtime.clock import unix_ms
from myrtlespar.state_machines.client_connection import ConnectionAction, ConnectionEvent, ConnectionLifecycle


class ClientConnection:
    """A connection from a client.

    A subclass reads the messages of its protocol and reports events to the state machine. This side can end the
    connection with `close` while it is idle, with `end` at the end of the process, and with `fail` after an unexpected
    exception. Only `fail` blocks.

    Attributes:
        outbox: Queue of unsent answers.
        reader: Reads from the socket.
        lifecycle: The connection's state machine.
        last_active_at: When a message was last received or sent, in Unix milliseconds.
        messages_read: Number of complete messages read.
        consecutive_rejected: Number of messages in a row that were rejected without reaching the coordinator.
    """

    def __init__(
        self,
        name: str,
        sock: socket.socket,
        limits: ResourceLimits,
        max_outbox_bytes: int,
        max_message_bytes: int,
        outbox_budget: OutboxBudget,
        finish_answers: Callable[[ClientConnection], None],
    ) -> None:
        """Take over an accepted socket.

        Args:
            name: The connection's name in traces.
            sock: The accepted socket.
            limits: The process's limits.
            max_outbox_bytes: Unsent bytes that may be queued.
            max_message_bytes: Maximum size of a message.
            outbox_budget: Limit on the unsent bytes of all connections of the listener.
            finish_answers: Blocks until all requests of the connection are answered, and closes it.
        """
        self.limits = limits
        self.outbox = Outbox(sock, max_outbox_bytes, limits.send_timeout_ms, limits.close_linger_ms, outbox_budget)
        self.reader = SocketReader(sock, max_message_bytes)
        self.lifecycle = ConnectionLifecycle(name)
        self.last_active_at = unix_ms()
        self.messages_read = 0
        self.consecutive_rejected = 0
        self._finish_answers = finish_answers

    def has_open_requests(self) -> bool:
        """Return whether a request on the connection is not answered yet."""
        raise NotImplementedError

    def read(self) -> None:
        """Handle messages until the connection ends; requests still open then are abandoned."""
        raise NotImplementedError

    def close(self) -> None:
        """Close the connection if it is idle; do nothing while a request on it is open."""
        self._handle_event(ConnectionEvent.CLOSE)

    def end(self) -> None:
        """Stop reading, even within a request, and close the connection after its queued answers.

        All requests must have been answered: while one is open, the event is only counted as invalid.
        """
        self._handle_event(ConnectionEvent.END)

    def fail(self) -> None:
        """Stop reading after an unexpected exception, block until all open requests are answered, then close."""
        self._stop_reading()
        self._close_after_reading()

    def _handle_event(self, event: ConnectionEvent) -> None:
        for action in self.lifecycle.handle(event):
            if action is ConnectionAction.FINISH:
                self.outbox.finish()
            else:
                self._abandon_requests()

    def _abandon_requests(self) -> None:
        """Report to the coordinator that the client no longer waits for the answers to the open requests."""
        raise NotImplementedError

    def _accepts_requests(self) -> bool:
        """Return whether a received message may still be handled.

        A client sends a request again elsewhere if this side closed the connection meanwhile. If the request also ran
        here, it would run twice, and its answer could not be sent.
        """
        return self.lifecycle.accepts_requests and not self.outbox.finishing and not self.outbox.closed

    def _stop_reading(self) -> None:
        """Stop reading, and block until the open requests are answered."""
        self._handle_event(ConnectionEvent.SPOILT)
        self._finish_answers(self)

    def _close_after_reading(self) -> None:
        """Close; if this side ends the connection, send the last answers before."""
        if self.outbox.finishing:
            self.outbox.wait_sent(self.limits.send_timeout_ms / 1000.0)
            self.reader.discard()
        self.outbox.close()
        self._handle_event(ConnectionEvent.RESET)
