"""The operators' commands: each line is a command and gets one reply.

PAUSE makes the health check fail until RESUME, so that clients move to other servers; requests are still served.

Replies begin with `done` or `error`. The reply to `METRICS` is a `done` line, the metrics in the Prometheus text
exposition format and a line `end`. Times are Unix milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from myrtlespar.admin.metrics import MetricsSnapshot, exposition

MAX_LINE_BYTES = 256  # limit for a command line with its line end; a longer one is an error and ends the connection
MAX_SHOWN_BYTES = 40  # how much of an unknown command the reply quotes


@dataclass(frozen=True, slots=True)
class AdminReply:
    """The reply to one line, and whether the connection is to be closed after it."""

    data: bytes
    close_connection: bool = False


@dataclass(slots=True)
class AdminCommands:
    """The replies to operators' lines, and whether the process is paused.

    Attributes:
        paused: Whether the last of PAUSE and RESUME was PAUSE.
        paused_at: When the latest pause began; infinity before the first.
        resumed_at: When the latest pause ended; minus infinity before the first end.
        pause_count: The number of pauses that began.
        extra_commands: Further commands, each with a function that returns the lines of its reply.
    """

    paused: bool = False
    paused_at: float = float("inf")
    resumed_at: float = float("-inf")
    pause_count: int = 0
    extra_commands: dict[bytes, Callable[[], bytes]] = field(default_factory=dict)

    def is_healthy(self, policy_healthy: bool) -> bool:
        """Return the result of a health check: unhealthy while paused, otherwise as the policy decides."""
        return policy_healthy and not self.paused

    def handle_line(self, line: bytes, now: float, ready: bool, metrics: MetricsSnapshot | None = None) -> AdminReply:
        """Carry out one command.

        Args:
            line: The line, with or without its end.
            now: The current time.
            ready: Whether the process can serve new clients: its execution engine is connected, and no shutdown or
                hand-over has begun.
            metrics: The current metrics. Only METRICS needs them, and fails without them.
        """
        if len(line) > MAX_LINE_BYTES:
            return AdminReply(b"error line longer than %d bytes\n" % MAX_LINE_BYTES, close_connection=True)
        command = line.strip()
        if not command:
            return AdminReply(b"error empty line\n")
        if command == b"STATUS":
            return AdminReply(b"done yes\n" if ready else b"done no\n")
        if command == b"PAUSE":
            return self._pause(now)
        if command == b"RESUME":
            return self._resume(now)
        if command == b"METRICS":
            return _metrics_reply(metrics)
        if command in self.extra_commands:
            return AdminReply(b"done\n" + self.extra_commands[command]() + b"end\n")
        shown = command[:MAX_SHOWN_BYTES].decode("ascii", "replace")
        return AdminReply(f"error unknown call {shown!r}\n".encode())

    def _pause(self, now: float) -> AdminReply:
        if self.paused:
            return AdminReply(b"done paused already\n")
        self.paused = True
        self.paused_at = now
        self.pause_count += 1
        return AdminReply(b"done paused\n")

    def _resume(self, now: float) -> AdminReply:
        if not self.paused:
            return AdminReply(b"done not paused\n")
        self.paused = False
        self.resumed_at = now
        return AdminReply(b"done resumed\n")


def _metrics_reply(metrics: MetricsSnapshot | None) -> AdminReply:
    if metrics is None:
        return AdminReply(b"error no figures\n")
    return AdminReply(b"done\n" + exposition(metrics) + b"end\n")
