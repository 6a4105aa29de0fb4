"""Buffered reading of exact sizes and of lines from a socket."""

from __future__ import annotations

import select

import gevent
from gevent import socket

from myrtlespar.errors import MyrtlesparError
from myrtlespar.net.connections import TRANSIENT_ERROR_PAUSE_S, TRANSIENT_ERRORS

MAX_READ_BYTES = 16384  # of one recv call
MAX_READ_AHEAD_BYTES = 4096  # of one recv call beyond the bytes that are waited for
MAX_READS_PER_TURN = 16  # before other greenlets run
MAX_LINES_PER_TURN = 64  # before other greenlets run


class ConnectionEndedError(MyrtlesparError):
    """The connection ended or broke, or has to be closed because of what the peer sent."""


class PeerFinishedSendingError(ConnectionEndedError):
    """The peer shut down its sending side; it may still read."""


class SocketReader:
    """Reads exact sizes and lines from a socket.

    A read that finds data does not switch greenlets, so a peer that sends faster than we read could starve all other
    greenlets. Hence the reader yields after a number of reads or lines.
    """

    def __init__(self, sock: socket.socket, max_line_bytes: int) -> None:
        self._sock = sock
        self._max_line_bytes = max_line_bytes
        self._data = bytearray()
        self._max_read_bytes = MAX_READ_BYTES  # of the next recv call
        self._reads_in_turn = 0
        self._lines_in_turn = 0
        self._poll = select.poll()
        self._poll.register(sock.fileno(), select.POLLIN)

    def read_exactly(self, size: int) -> bytes:
        """Return `size` bytes.

        Raises:
            ConnectionEndedError: The connection ended first.
        """
        out = self.peek_exactly(size)
        del self._data[:size]
        return out

    def peek_exactly(self, size: int) -> bytes:
        """Return `size` bytes that the next read returns again.

        Until the rest of their message has arrived, they still count as buffered.

        Raises:
            ConnectionEndedError: The connection ended first.
        """
        while len(self._data) < size:
            self._max_read_bytes = min(MAX_READ_BYTES, size - len(self._data) + MAX_READ_AHEAD_BYTES)
            self._fill()
        return bytes(self._data[:size])

    def read_line(self) -> bytes:
        """Return the bytes up to the next LF, without it.

        Raises:
            ConnectionEndedError: The connection ended first, or the line is too long.
        """
        self._lines_in_turn += 1
        if self._lines_in_turn >= MAX_LINES_PER_TURN:
            self._lines_in_turn = 0
            gevent.sleep(0)
        start = 0
        while (end := self._data.find(b"\n", start)) < 0:
            start = len(self._data)
            if start > self._max_line_bytes:
                raise ConnectionEndedError("line exceeds the maximum length")
            self._fill()
        out = bytes(self._data[:end])
        del self._data[: end + 1]
        return out

    def discard(self) -> None:
        """Read and discard data until the peer ends the connection or the socket is shut down."""
        try:
            while self._receive():
                pass
        except OSError:
            pass

    def has_unread(self) -> bool:
        """Return whether data, or the connection's end, has arrived that no read has returned yet."""
        return self.has_buffered() or self.is_readable()

    def is_readable(self) -> bool:
        """Return whether data, or the connection's end, waits in the socket."""
        return bool(self._poll.poll(0))

    def is_reset(self) -> bool:
        """Return whether the peer has reset the connection, so that it reads no answer; a finished sending is no reset.

        Data that arrived before the reset can still be read.
        """
        return any(events & (select.POLLERR | select.POLLHUP) for _, events in self._poll.poll(0))

    def has_buffered(self) -> bool:
        """Return whether bytes were received from the socket that no read has returned yet."""
        return bool(self._data)

    def yield_if_buffered(self) -> None:
        """Let other greenlets run if received bytes are left in the buffer."""
        if self._data:
            gevent.sleep(0)

    def _fill(self) -> None:
        try:
            data = self._receive()
        except OSError as error:
            raise ConnectionEndedError(str(error)) from None
        if not data:
            raise PeerFinishedSendingError("end of stream")
        self._data += data

    def _receive(self) -> bytes:
        """Wait for data and return it; empty at the end of the connection.

        Retries while the system is temporarily short of buffers.
        """
        self._reads_in_turn += 1
        if self._reads_in_turn >= MAX_READS_PER_TURN:
            self._reads_in_turn = 0
            gevent.sleep(0)
        while True:
            try:
                return bytes(self._sock.recv(self._max_read_bytes))
            except OSError as error:
                if error.errno not in TRANSIENT_ERRORS:
                    raise
            gevent.sleep(TRANSIENT_ERROR_PAUSE_S)
