"""Log output that never blocks the process and never raises.

Standard output may be a pipe that no process reads, a pipe whose reader has ended, a file on a full disk, or closed.
Log lines are then dropped and counted, and nothing else is affected.
"""

from __future__ import annotations

import os
import select
import sys
from collections import deque
from typing import TextIO

import structlog

MAX_BACKLOG_BYTES = 65536  # limit of the lines stored while the descriptor is not writable; further ones are dropped
MAX_WRITE_BYTES = select.PIPE_BUF  # a pipe that polls as writable accepts this many bytes without blocking
STANDARD_INPUT = 0
STANDARD_OUTPUT = 1
STANDARD_ERROR = 2
STANDARD_DESCRIPTORS = (STANDARD_INPUT, STANDARD_OUTPUT, STANDARD_ERROR)


def open_standard_descriptors() -> None:
    """Open the null device for each standard stream that is closed when the process starts.

    Otherwise the first sockets would get their descriptor numbers, and what libraries write to standard output or
    standard error would be sent to a client or a server.
    """
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # gets the lowest free descriptor, which is this one


class LogOutput:
    """Writes whole lines to one descriptor, in order, without blocking.

    Attributes:
        lost: How many lines could not be written.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._backlog: deque[bytes] = deque()
        self._backlog_bytes = 0
        self.lost = 0
        self._reported_lost = 0  # how many of the lost lines the log has reported
        self._failing = False  # whether the last write failed

    def write(self, line: str) -> None:
        """Write a line, or store it until the descriptor is writable."""
        self._enqueue(line)
        self.flush()

    def flush(self) -> None:
        """Write as many stored lines as possible without blocking; after the last one, report how many were lost."""
        self._write_backlog()
        if self.lost > self._reported_lost and not self._backlog and not self._failing:
            newly_lost = self.lost - self._reported_lost
            self._enqueue(f'{{"event": "log lines lost", "lines": {newly_lost}, "level": "warning"}}')
            self._reported_lost = self.lost
            self._write_backlog()

    def _write_backlog(self) -> None:
        while self._backlog and self._writable():
            head = self._backlog[0]
            try:
                written = os.write(self._descriptor, head[:MAX_WRITE_BYTES])
            except BlockingIOError:
                return
            except OSError:  # no reader or no space: this line is lost, and the next one is tried
                written = len(head)
                self.lost += 1
                self._failing = True
            else:
                self._failing = False
            self._backlog_bytes -= written
            if written == len(head):
                self._backlog.popleft()
            else:
                self._backlog[0] = head[written:]

    def _enqueue(self, line: str) -> None:
        data = line.encode("utf-8", "backslashreplace") + b"\n"
        if self._backlog_bytes + len(data) > MAX_BACKLOG_BYTES:  # bounds the memory used while no process reads the log
            self.lost += 1
            return
        self._backlog.append(data)
        self._backlog_bytes += len(data)

    def _writable(self) -> bool:
        """Return whether a short write returns at once, successfully or with an error."""
        return bool(self._poll.poll(0))


class LineLogger:
    """A logger for structlog that writes the rendered lines of every level to one output."""

    def __init__(self, output: LogOutput) -> None:
        self.msg = self.debug = self.info = self.warning = self.error = self.critical = output.write


def _output_to(stream: TextIO | None, default_descriptor: int) -> LogOutput:
    """Return an output to a standard stream, or to the default descriptor if the stream is missing or closed."""
    try:
        return LogOutput(default_descriptor if stream is None else stream.fileno())
    except (OSError, ValueError):
        return LogOutput(default_descriptor)


def log_to_standard_output() -> LogOutput:
    """Configure structlog to write one JSON object per line to standard output."""
    output = _output_to(sys.stdout, STANDARD_OUTPUT)
    logger = LineLogger(output)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=lambda *_: logger,
    )
    return output


def print_error(message: object) -> None:
    """Write one line to standard error without blocking."""
    _output_to(sys.stderr, STANDARD_ERROR).write(str(message))
