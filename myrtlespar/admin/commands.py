"""Operators' commands: one line in, one reply out, and the pause that drains this process.

Replies begin with `done` or `error`; `METRICS` follows its `done` line with the figures in the Prometheus text
exposition format and a line `end`. Times are Unix milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

MAX_LINE_BYTES = 256  # bytes of one management line, its end included; more is an error and closes the connection
KINDS = ("succeeded", "declined", "aborted")  # served, refused, failed


@dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """Counts since the process started: per class `ends[c]` = (served, refused, failed) and `forwards[c]`
    (runs handed to the kernel); `outstanding` is the requests taken and not yet answered.
    """

    class_names: Sequence[str]
    answer_counts: Sequence[Sequence[int]]
    engine_run_counts: Sequence[int]
    outstanding: int
    extra_lines: Sequence[str] = ()  # further lines of the exposition


def _label(name: str) -> str:
    """A label's value, with what the exposition format wants escaped."""
    return name.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def exposition(figures: MetricsSnapshot) -> bytes:
    """The figures as Prometheus text exposition, each family with its TYPE line."""
    out: list[str] = []
    rows = list(zip(map(_label, figures.class_names), figures.answer_counts, figures.engine_run_counts, strict=True))
    for n, kind in enumerate(KINDS):
        out.append(f"# TYPE app_{kind} counter")
        out += [f'app_{kind}{{service="{name}"}} {ends[n]}' for name, ends, _ in rows]
    out.append("# TYPE app_forwards counter")
    out += [f'app_forwards{{service="{name}"}} {count}' for name, _, count in rows]
    out += ["# TYPE app_outstanding gauge", f"app_outstanding {figures.outstanding}", *figures.extra_lines, ""]
    return "\n".join(out).encode()


@dataclass(slots=True)
class AdminCommands:
    """Pause state and the answers to operators' lines.

    `ready` is whether the process takes clients: listening, with its kernel up, and not handing over.
    """

    paused: bool = False
    paused_at: float = float("inf")
    resumed_at: float = float("-inf")
    pause_count: int = 0  # PAUSE lines that began a drain
    extra_commands: dict[bytes, Callable[[], bytes]] = field(
        default_factory=dict
    )  # further words, and what answers them

    def is_healthy(self, policy_good: bool) -> bool:
        """What a health check is told: bad from PAUSE until RESUME, else what the policy says."""
        return policy_good and not self.paused

    def handle_line(
        self, raw: bytes, now: float, ready: bool, figures: MetricsSnapshot | None = None
    ) -> tuple[bytes, bool]:
        """The reply to one whole line, and whether the connection is to be closed after it.

        `figures` is asked for by METRICS only; without it METRICS is an error naming that.
        """
        if len(raw) > MAX_LINE_BYTES:
            return b"error line longer than %d bytes\n" % MAX_LINE_BYTES, True
        word = raw.strip()
        if not word:
            return b"error empty line\n", False
        if word == b"STATUS":
            return (b"done yes\n", False) if ready else (b"done no\n", False)
        if word == b"PAUSE":
            if not self.paused:
                self.paused, self.paused_at, self.pause_count = True, now, self.pause_count + 1
                return b"done paused\n", False
            return b"done paused already\n", False
        if word == b"RESUME":
            if self.paused:
                self.paused, self.resumed_at = False, now
                return b"done resumed\n", False
            return b"done not paused\n", False
        if word == b"METRICS":
            if figures is None:
                return b"error no figures\n", False
            return b"done\n" + exposition(figures) + b"end\n", False
        if word in self.extra_commands:
            return b"done\n" + self.extra_commands[word]() + b"end\n", False
        shown = word[:40].decode("ascii", "replace")
        return f"error unknown call {shown!r}\n".encode(), False
