"""Bounded queues of unsent messages, one per socket."""

from __future__ import annotations

import contextlib
import os
from collections import deque

import gevent
from gevent import Greenlet, socket

from myrtlespar.net.connections import TRANSIENT_ERROR_PAUSE_S, TRANSIENT_ERRORS

MAX_JOINED_BYTES = 65536  # queued messages are joined up to this size for one send


class OutboxBudget:
    """Limit on the unsent bytes that the outboxes of several connections hold together."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0


class Outbox:
    """Sends messages over one socket in their order, without ever blocking the caller.

    Bytes that the socket does not accept at once are queued, within limits, and sent by a separate greenlet.
    """

    def __init__(
        self,
        sock: socket.socket,
        max_bytes: int,
        send_timeout_ms: float,
        linger_ms: float = 0.0,
        budget: OutboxBudget | None = None,
    ) -> None:
        """Create the outbox of a socket.

        Args:
            sock: The connected socket.
            max_bytes: Unsent bytes that may be queued; the connection is closed if there are more.
            send_timeout_ms: How long the peer may block one send.
            linger_ms: How long the peer may take to end the connection after `finish`.
            budget: Limit shared with other outboxes; None if there is none.
        """
        self._sock = sock
        self._max_bytes = max_bytes
        self._send_timeout_s = send_timeout_ms / 1000.0
        self._linger_s = linger_ms / 1000.0
        self._budget = budget or OutboxBudget(max_bytes)
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._writer: Greenlet | None = None
        self.closed = False
        self.finishing = False

    def put(self, data: bytes) -> bool:
        """Send a message after all earlier ones.

        Returns:
            False if the message is not sent: the connection is closed or finishing, has just broken, or was closed by
            this call because a limit on unsent bytes was exceeded.
        """
        if self.closed or self.finishing:
            return False
        if self._writer is None:  # most messages fit into the socket's buffer and need no greenlet
            try:
                data = data[os.write(self._sock.fileno(), data) :]
            except OSError as error:
                if error.errno not in TRANSIENT_ERRORS:
                    self.close()
                    return False
            if not data:
                return True
            self._writer = gevent.spawn(self._write_queue)
        # Bounds the memory used for peers that do not read, for each peer and for all together.
        size = len(data)
        budget = self._budget
        if self._queued_bytes + size > self._max_bytes or budget.used_bytes + size > budget.max_bytes:
            self.close()
            return False
        self._queue.append(data)
        self._count_queued(size)
        return True

    def finish(self) -> None:
        """Accept no more messages, and close once all queued ones are sent."""
        if not self.finishing:
            self.finishing = True
            if self._writer is None:
                self._shut_down_writing()

    def close(self) -> None:
        """Close at once; a reader of the socket sees the end of the connection."""
        if not self.closed:
            self.closed = True
            self._queue.clear()
            self._count_queued(-self._queued_bytes)
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)
            if self._writer is not None:
                self._writer.kill(block=False)

    def wait_sent(self, timeout_s: float) -> None:
        """Wait until all queued messages are sent, for `timeout_s` at most."""
        if self._writer is not None:
            self._writer.join(timeout_s)

    def _count_queued(self, size: int) -> None:
        self._queued_bytes += size
        self._budget.used_bytes += size

    def _shut_down_writing(self) -> None:
        """Shut down the sending side after the last message; close when the linger time is over.

        Closing both sides while bytes from the peer are unread or in transit would reset the connection, and the reset
        would discard what the peer has not read yet. So the reader of the socket discards data until the peer ends the
        connection or the linger time is over.
        """
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        gevent.spawn_later(self._linger_s, self.close)

    def _write_queue(self) -> None:
        try:
            while self._queue:
                data = self._queue.popleft()
                while self._queue and len(data) < MAX_JOINED_BYTES:
                    data += self._queue.popleft()
                self._count_queued(-len(data))
                with gevent.Timeout(self._send_timeout_s, TimeoutError):  # the peer's receive window may stay closed
                    self._send(data)
        except OSError:
            self.close()
        self._writer = None
        if self.finishing and not self.closed:
            self._shut_down_writing()

    def _send(self, data: bytes) -> None:
        """Send all bytes; retry while the system is temporarily short of buffers."""
        unsent = memoryview(data)
        while unsent:
            try:
                unsent = unsent[self._sock.send(unsent) :]
            except OSError as error:
                if error.errno not in TRANSIENT_ERRORS:
                    raise
                gevent.sleep(TRANSIENT_ERROR_PAUSE_S)
