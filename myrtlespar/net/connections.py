"""What all stream links share: a bounded outbox with a writer of its own, and whole reads."""

from __future__ import annotations

import contextlib
import errno
import os
import select
from collections import deque

import gevent
from gevent import Greenlet, socket

from myrtlespar.config import Address
from myrtlespar.errors import MyrtlesparError
from myrtlespar.resource_limits import ResourceLimits

READ_BYTES = 16384  # at a time
TRANSIENT = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM})
TRANSIENT_PAUSE_S = 0.005  # before a call that failed for the moment is made again
READS_AT_ONCE = 16  # of one link, before others run
LINES_AT_ONCE = 64  # read from what is here already, before others run


class ConnectionEndedError(MyrtlesparError):
    """The other side closed, or sent what can't be read."""


class PeerFinishedSendingError(ConnectionEndedError):
    """The other side sends nothing more. It may still read."""


class ReadingStoppedError(MyrtlesparError):
    """We stopped reading from a client that did not finish what it began."""


class OutboxBudget:
    """What the outboxes of many connections may hold together, in bytes."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.used = 0


class Outbox:
    """Messages for one socket, sent in order; `put` never blocks. A greenlet sends what does not fit."""

    def __init__(
        self, sock: socket.socket, most: int, send_ms: float, linger_ms: float = 0.0, budget: OutboxBudget | None = None
    ) -> None:
        self._sock, self._most, self._send_s, self._linger_s = sock, most, send_ms / 1000.0, linger_ms / 1000.0
        self._budget = budget or OutboxBudget(most)
        self._queue: deque[bytes] = deque()
        self._waiting = 0  # bytes in the queue
        self._writer: Greenlet | None = None
        self.closed = self.ending = False

    def put(self, data: bytes) -> bool:
        """Send this when its turn comes. False: the link is closed, or its peer does not read."""
        if self.closed or self.ending:
            return False
        if self._writer is None:  # most messages fit the socket: no switch, no wait
            try:
                data = data[os.write(self._sock.fileno(), data) :]
            except OSError as error:
                if error.errno not in TRANSIENT:
                    self.close()
                    return False
            if not data:
                return True
            self._writer = gevent.spawn(self._write)
        # Guards our memory against a peer that stops reading, and against many of them.
        if self._waiting + len(data) > self._most or self._budget.used + len(data) > self._budget.most:
            self.close()
            return False
        self._queue.append(data)
        self._hold(len(data))
        return True

    def _hold(self, size: int) -> None:
        self._waiting += size
        self._budget.used += size

    def finish(self) -> None:
        """Close once all is sent."""
        if not self.ending:
            self.ending = True
            if self._writer is None:
                self._end()

    def _end(self) -> None:
        """All is sent. Guards what the other side has not read yet against our close: over unread bytes, or before
        bytes that cross it, a close is a reset that throws it away. So only our direction ends for now, and the
        reader of the socket drops what comes until the other side ends, or for `linger_ms`.
        """
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            return self.close()
        gevent.spawn_later(self._linger_s, self.close)
        return None

    def close(self) -> None:
        """Close at once; the reader of the socket sees its end."""
        if not self.closed:
            self.closed = True
            self._queue.clear()
            self._hold(-self._waiting)
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)
            if self._writer is not None:
                self._writer.kill(block=False)

    def drained(self, timeout: float) -> None:
        """Wait until all is sent."""
        if self._writer is not None:
            self._writer.join(timeout)

    def _write(self) -> None:
        try:
            while self._queue:
                data = self._queue.popleft()
                while self._queue and len(data) < 65536:  # one send for what waits already
                    data += self._queue.popleft()
                self._hold(-len(data))
                with gevent.Timeout(self._send_s, TimeoutError):  # guards against a window that stays shut
                    self._send(data)
        except OSError:
            self.close()
        self._writer = None
        if self.ending and not self.closed:
            self._end()

    def _send(self, data: bytes) -> None:
        """Send all of it. Guards answers against a want of buffers that passes."""
        rest = memoryview(data)
        while rest:
            try:
                rest = rest[self._sock.send(rest) :]
            except OSError as error:
                if error.errno not in TRANSIENT:
                    raise
                gevent.sleep(TRANSIENT_PAUSE_S)


def connect(address: Address, timeout_ms: float) -> socket.socket:
    """A connected TCP socket without delays."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout_ms / 1000.0)
        sock.connect(address)
        if sock.getsockname() == sock.getpeername():  # guards against TCP that meets itself where nobody listens
            raise ConnectionRefusedError(errno.ECONNREFUSED, "connected to itself")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(None)
    except BaseException:  # a caller's own time limit included
        sock.close()
        raise
    return sock


def accepted(sock: socket.socket, limits: ResourceLimits) -> None:
    """What every accepted socket gets: no delays, and a bounded buffer for a peer that does not read."""
    with contextlib.suppress(OSError):  # it serves without them too
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, limits.send_buffer_bytes)


class Reader:
    """Exact reads and lines from a socket."""

    def __init__(self, sock: socket.socket, most: int) -> None:
        self._sock, self._most = sock, most
        self._data = bytearray()
        self._stopped = False
        self._reads = self._lines = 0  # since others could run
        self._poll = select.poll()
        self._poll.register(sock.fileno(), select.POLLIN)

    def exactly(self, size: int) -> bytes:
        """So many bytes."""
        while len(self._data) < size:
            self._more()
        out = bytes(self._data[:size])
        del self._data[:size]
        return out

    def stop(self) -> None:
        """Read no more."""
        self._stopped = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RD)

    def discard(self) -> None:
        """Drop what comes, until the other side ends or the socket is shut."""
        try:
            while self._receive():
                pass
        except OSError:
            pass

    def pending(self) -> bool:
        """Whether something is here that nobody has asked for yet: bytes, or the connection's end."""
        return self.begun() or self.waits()

    def waits(self) -> bool:
        """Whether the socket has something to read, or its end."""
        return bool(self._poll.poll(0))

    def begun(self) -> bool:
        """Whether part of something has been read."""
        return bool(self._data)

    def breathe(self) -> None:
        """Let others run if more is here already: guards them against one link that never pauses."""
        if self._data:
            gevent.sleep(0)

    def line(self) -> bytes:
        """Up to and without LF."""
        self._lines += 1
        if self._lines >= LINES_AT_ONCE:  # guards all else against a peer whose lines never end
            self._lines = 0
            gevent.sleep(0)
        start = 0
        while (end := self._data.find(b"\n", start)) < 0:
            start = len(self._data)
            if start > self._most:  # guards against a line without end
                raise ConnectionEndedError("line too long")
            self._more()
        out = bytes(self._data[:end])
        del self._data[: end + 1]
        return out

    def _more(self) -> None:
        try:
            data = self._receive()
        except OSError as error:  # also a wait that was ended by `stop`
            if not self._stopped:
                raise ConnectionEndedError(str(error)) from None
        if self._stopped:
            raise ReadingStoppedError("nothing, or part of a message, in all the time for one")
        if not data:
            raise PeerFinishedSendingError("end of stream")
        self._data += data

    def _receive(self) -> bytes:
        """What is here, once something is; empty at the end. Guards all else against a peer that sends faster than
        we read, as a read that finds something lets nothing else run, and the link against a want of buffers that
        passes.
        """
        self._reads += 1
        if self._reads >= READS_AT_ONCE:
            self._reads = 0
            gevent.sleep(0)
        while True:
            try:
                return bytes(self._sock.recv(READ_BYTES))
            except OSError as error:
                if self._stopped or error.errno not in TRANSIENT:
                    raise
            gevent.sleep(TRANSIENT_PAUSE_S)
