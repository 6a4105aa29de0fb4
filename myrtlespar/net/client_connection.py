"""What the client connections of both protocols have in common: how one ends without losing an answer."""

from __future__ import annotations

from collections.abc import Callable

from gevent import socket

from myrtlespar.net.outbox import Outbox, OutboxBudget
from myrtlespar.net.socket_reader import SocketReader
from myrtlespar.resource_limits import ResourceLimits
from myrtlespar.runtime.clock import unix_ms
from myrtlespar.state_machines.client_connection import ConnectionAction, ConnectionEvent, ConnectionLifecycle


class ClientConnection:
    """One client's connection.

    A subclass reads the messages of its protocol and reports to the state machine what happens. There are three ways
    to end it from this side: `close` while idle, `end` at the end of the process, and `fail` after a fault. Only `fail`
    blocks.

    Attributes:
        outbox: Sends the answers.
        reader: Reads from the socket.
        lifecycle: The connection's state machine.
        last_active_at: When a message last came or went, in Unix milliseconds.
        messages_read: How many complete messages were read.
        consecutive_rejected: How many messages in a row were rejected without reaching the coordinator.
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
            max_outbox_bytes: Unsent bytes it may hold.
            max_message_bytes: Size of the longest message.
            outbox_budget: Unsent bytes it may hold together with other connections.
            finish_answers: Closes a connection of which no more is read, once its requests are answered.
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
        """Return whether a request on it is not answered yet."""
        raise NotImplementedError

    def read(self) -> None:
        """Handle messages until the connection ends; requests still open then are abandoned."""
        raise NotImplementedError

    def close(self) -> None:
        """Close it if it is idle; nothing happens while a request on it is open."""
        self._handle_event(ConnectionEvent.CLOSE)

    def end(self) -> None:
        """Read nothing more, not even the rest of a request, and close it after what is queued.

        All requests must have been answered: while an answer is outstanding, the event is only counted as invalid.
        """
        self._handle_event(ConnectionEvent.END)

    def fail(self) -> None:
        """Read nothing more after a fault; block until its open requests are answered, then close it."""
        self._stop_reading()
        self._close_after_reading()

    def _handle_event(self, event: ConnectionEvent) -> None:
        for action in self.lifecycle.handle(event):
            if action is ConnectionAction.FINISH:
                self.outbox.finish()
            else:
                self._abandon_requests()

    def _abandon_requests(self) -> None:
        """Report that nobody waits any longer for the answers to the open requests."""
        raise NotImplementedError

    def _accepts_requests(self) -> bool:
        """Return whether a message that comes may still be handled.

        A client retries elsewhere what it sent while we closed. If that ran here too, it would run twice, and its
        answer could not be sent.
        """
        return self.lifecycle.accepts_requests and not self.outbox.finishing and not self.outbox.closed

    def _stop_reading(self) -> None:
        """Read nothing more, and block until the open requests are answered."""
        self._handle_event(ConnectionEvent.SPOILT)
        self._finish_answers(self)

    def _close_after_reading(self) -> None:
        """Send the last answers, if it is this side that ends the connection, and close."""
        if self.outbox.finishing:
            self.outbox.wait_sent(self.limits.send_timeout_ms / 1000.0)
            self.reader.discard()
        self.outbox.close()
        self._handle_event(ConnectionEvent.RESET)
