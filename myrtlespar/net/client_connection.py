"""What the connections of both fronts share: how one ends without leaving an answer behind."""

from __future__ import annotations

from collections.abc import Callable

from gevent import socket

from myrtlespar.net.connections import Outbox, OutboxBudget, Reader
from myrtlespar.resource_limits import ResourceLimits
from myrtlespar.runtime.clock import unix_ms
from myrtlespar.state_machines.client_connection import ConnectionAction, ConnectionEvent, ConnectionLifecycle


class ClientConnection:
    """One client's connection. A front reads its own messages from it and tells the state machine what happens."""

    def __init__(
        self,
        name: str,
        sock: socket.socket,
        limits: ResourceLimits,
        outbox_bytes: int,
        message_bytes: int,
        unsent: OutboxBudget,
        conclude: Callable[[ClientConnection], None],
    ) -> None:
        """`conclude` ends a connection of which no more is read, once it has what it is owed."""
        self.limits = limits
        self.outbox = Outbox(sock, outbox_bytes, limits.send_timeout_ms, limits.close_linger_ms, unsent)
        self.reader = Reader(sock, message_bytes)
        self.conn = ConnectionLifecycle(name)
        self.used = unix_ms()  # when a message last came or went
        self.messages = 0  # whole ones read
        self.bad = 0  # messages running that could not be taken
        self._conclude = conclude

    def owes(self) -> bool:
        """Whether a request on it is not answered yet."""
        raise NotImplementedError

    def read(self) -> None:
        """Take messages until the connection ends; whoever still waits then is gone."""
        raise NotImplementedError

    def close(self) -> None:
        """Close it unless something is owed on it."""
        self._be(ConnectionEvent.CLOSE)

    def end(self) -> None:
        """Take nothing more; close it behind its last answer."""
        self._be(ConnectionEvent.END)

    def spoil(self) -> None:
        """What came can't be read on: send what is owed, then close."""
        self._be(ConnectionEvent.SPOILT)
        self._conclude(self)
        self._leave()

    def _be(self, event: ConnectionEvent) -> None:
        for do in self.conn.handle(event):
            if do is ConnectionAction.FINISH:
                self.outbox.finish()
            else:
                self._abandon()

    def _abandon(self) -> None:
        """Nobody waits any longer for what was owed here."""
        raise NotImplementedError

    def _takes(self) -> bool:
        """Guards against running what crosses our close: its answer could not be sent, and its client sends it once
        more elsewhere.
        """
        return self.conn.accepts_requests and not self.outbox.ending and not self.outbox.closed

    def _leave(self) -> None:
        """No more is read: send the last answers, if we end it, and close."""
        if self.outbox.ending:
            self.outbox.drained(self.limits.send_timeout_ms / 1000.0)
            self.reader.discard()
        self.outbox.close()
        self._be(ConnectionEvent.RESET)
