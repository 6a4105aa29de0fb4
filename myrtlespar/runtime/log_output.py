"""The log's way out: a writer that never blocks the process and never raises.

Standard output may be a pipe that nobody reads, a pipe whose reader has gone, a file on a full disk, or closed. The
log is lost then, counted, and nothing else suffers.
"""

from __future__ import annotations

import os
import select
import sys
from collections import deque
from typing import TextIO

import structlog

BACKLOG_BYTES = 65536  # lines kept while the descriptor takes none; newer ones are lost
WRITE_BYTES = select.PIPE_BUF  # a pipe that polls as writable takes so many without blocking
STANDARD_DESCRIPTORS = (0, 1, 2)


def open_standard_descriptors() -> None:
    """Guard against standard streams that are closed at the start: the first sockets would get their numbers, and
    what libraries write to standard output or error would reach a client or a server.
    """
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # the lowest free number, which is this one


class LogOutput:
    """Writes whole lines to one descriptor, in order, as far as it takes them."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._backlog: deque[bytes] = deque()
        self._backlog_bytes = 0
        self.lost = 0  # lines that could not be written
        self._told = 0  # of these, already named in the log
        self._failing = False  # whether the last write failed

    def write(self, line: str) -> None:
        """Write a line, or keep it until the descriptor takes it."""
        self._keep(line)
        self.flush()

    def flush(self) -> None:
        """Write what is kept, as far as that is possible at once; then tell what was lost meanwhile."""
        self._write_backlog()
        if self.lost > self._told and not self._backlog and not self._failing:
            self._keep(f'{{"event": "log lines lost", "lines": {self.lost - self._told}, "level": "warning"}}')
            self._told = self.lost
            self._write_backlog()

    def _write_backlog(self) -> None:
        while self._backlog and self._writable():
            head = self._backlog[0]
            try:
                written = os.write(self._descriptor, head[:WRITE_BYTES])
            except BlockingIOError:
                return
            except OSError:  # no reader, no space: this line is lost, the next one may have more luck
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

    def _keep(self, line: str) -> None:
        data = line.encode("utf-8", "backslashreplace") + b"\n"
        if self._backlog_bytes + len(data) > BACKLOG_BYTES:  # guards memory while nobody reads the log
            self.lost += 1
            return
        self._backlog.append(data)
        self._backlog_bytes += len(data)

    def _writable(self) -> bool:
        """Whether a short write would not block; a broken descriptor counts, as its error comes at once."""
        return bool(self._poll.poll(0))


class LineLogger:
    """What structlog calls with each finished line."""

    def __init__(self, output: LogOutput) -> None:
        self.msg = self.debug = self.info = self.warning = self.error = self.critical = output.write


def _output(stream: TextIO | None, default: int) -> LogOutput:
    try:
        return LogOutput(default if stream is None else stream.fileno())
    except (OSError, ValueError):
        return LogOutput(default)


def log_to_standard_output() -> LogOutput:
    """Set the log up: one JSON object a line, to standard output."""
    output = _output(sys.stdout, 1)
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


def complain(text: object) -> None:
    """One line on standard error, without waiting for a reader."""
    _output(sys.stderr, 2).write(str(text))
