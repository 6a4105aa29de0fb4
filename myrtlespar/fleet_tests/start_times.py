"""Reports when each start was decided, written to the engine, and read by the fake engine, if a limit was exceeded.

A fleet limit holds for the times of the decisions, but is checked at the times at which the fake engines read the
starts. If the check counts too many, this report shows whether a start was decided too early, or delayed in the member,
between the processes, or in the process that runs the fake engines. The first two times come from the member's trace
(`[trace]` in the operators' file).
"""

from __future__ import annotations

import base64
import contextlib
import shutil
import tempfile
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any, Protocol

from myrtlespar.fleet_tests.member_process import MemberProcess
from myrtlespar.fleet_tests.network_counters import read_network_counters
from myrtlespar.fleet_tests.standstills import StandstillMonitor
from myrtlespar.quota.settings import Limit

# Values in log lines of a member's trace.
ADMITTED_EVENT = "admitted"
STEP_EVENT = "step"
COMMAND_MACHINE = "command"
SENT_STATE = "SENT"
MAX_SHOWN_STALLS = 8
MAX_SHOWN_DELAY_MS = 2000.0  # standstills up to this time before a window are shown too
TABLE_NAME = "start-times.txt"
KEPT_PREFIX = "myrtlespar-broken-limit-"


class ObservedRun(Protocol):
    """The attributes of a fleet run that the report uses."""

    members: dict[str, MemberProcess]
    folder: Path
    standstill_monitor: StandstillMonitor
    network_counters: dict[str, int]  # at the start of the run

    def stalls(self) -> list[tuple[str, float, float]]:
        """Return the stalls of the fault proxy: the delayed process or stream, and start and end in Unix ms."""


@dataclass(frozen=True, slots=True)
class StartTimes:
    """The times of one start in Unix ms; None if the member logged none."""

    member: str
    request_id: str
    body: str
    decided_at: float | None
    written_at: float | None
    read_at: float

    @property
    def late_ms(self) -> float:
        """The delay from the decision until the fake engine read the start; 0 if no decision was logged."""
        return 0.0 if self.decided_at is None else self.read_at - self.decided_at


def logged_at(row: Mapping[str, Any]) -> float:
    """Return the time of a log line in Unix ms."""
    return datetime.fromisoformat(row["timestamp"]).timestamp() * 1000.0


def start_times(members: Iterable[MemberProcess]) -> list[StartTimes]:
    """Return all starts that the fake engines read, ordered by `read_at`."""
    starts = [start for member in members for start in _member_starts(member)]
    return sorted(starts, key=lambda start: start.read_at)


def _member_starts(member: MemberProcess) -> Iterable[StartTimes]:
    decided: dict[str, float] = {}
    written: dict[str, float] = {}
    for row in list(member.log):
        if row["event"] == ADMITTED_EVENT:
            decided[row["id"]] = logged_at(row) - row["age_ms"]
        elif row["event"] == STEP_EVENT and row["machine"] == COMMAND_MACHINE and row["to"] == SENT_STATE:
            written.setdefault(row["who"], logged_at(row))
    for engine in member.engines:
        read_at = {body: at for body, at, _ in list(engine.runs)}
        for command in list(engine.commands):
            body = base64.b64decode(command["b64"]) if command["t"] == "SCHED" else b""
            if body in read_at:
                request_id = command["rid"]
                yield StartTimes(
                    member.name,
                    request_id,
                    body.decode("latin-1"),
                    decided.get(request_id),
                    written.get(request_id),
                    read_at.pop(body),
                )


def table(
    limit_name: str,
    limit: Limit,
    last_at: float,
    begin: float,
    starts: Iterable[StartTimes],
    monitor: StandstillMonitor,
) -> list[str]:
    """Return the starts in the window that ends at `last_at` and the longest standstill of the test process, as lines.

    Arguments are in Unix ms; the lines show seconds from `begin`.
    """
    first_at = last_at - limit.window_ms
    prefix = f"{limit.cls} " if limit.cls else ""
    lines = [
        f"{limit_name}: starts read by the fake engines in the window that ends at {(last_at - begin) / 1000:.3f} s",
        "written: delay from the decision; read: delay from the write, or @ its time; late: sum of both delays",
        f"{'member':8} {'decided s':>10} {'written ms':>10} {'read ms':>8} {'late ms':>8}  body",
    ]
    for start in starts:
        if first_at < start.read_at <= last_at and start.body.startswith(prefix):
            lines.append(_table_line(start, begin))
    longest = monitor.longest(first_at - MAX_SHOWN_DELAY_MS, last_at)
    if longest is None:
        lines.append("harness: no standstill")
    else:
        at_s = (longest.begin - begin) / 1000
        lines.append(f"harness: longest standstill {longest.length_ms:.0f} ms, at {at_s:.3f} s")
    return lines


def delay_lines(run: ObservedRun, begin: float) -> list[str]:
    """Return lines on what may have delayed commands between members and fake engines."""
    stalls = sorted(run.stalls(), key=lambda stall: stall[1] - stall[2])[:MAX_SHOWN_STALLS]
    lines = [f"{what}: stood still for {end - at:.0f} ms at {(at - begin) / 1000:.3f} s" for what, at, end in stalls]
    waits = {name: max(engine.longest_wait_ms for engine in member.engines) for name, member in run.members.items()}
    shown_waits = ", ".join(f"{name} {wait_ms:.0f}" for name, wait_ms in waits.items())
    lines.append(f"longest wait for the lock of a fake engine, ms: {shown_waits}")
    before = run.network_counters
    now = read_network_counters()
    changes = (f"{name} {now[name] - before[name]}" for name in now if name in before)
    lines.append("change of the system's network counters during the run: " + ", ".join(changes))
    return lines


def _table_line(start: StartTimes, begin: float) -> str:
    decided = "-" if start.decided_at is None else f"{(start.decided_at - begin) / 1000:.3f}"
    written = "-"
    read = f"@{(start.read_at - begin) / 1000:.3f}"
    if start.decided_at is not None and start.written_at is not None:
        written = f"{start.written_at - start.decided_at:.1f}"
        read = f"{start.read_at - start.written_at:.1f}"
    return f"{start.member:8} {decided:>10} {written:>10} {read:>8} {start.late_ms:>8.1f}  {start.body}"


def report_broken_limits(
    limits: Mapping[str, Limit], figures: Mapping[str, Mapping[str, Any]], run: ObservedRun, begin: float
) -> str:
    """Print a table for the fullest window of each limit, and save it with a copy of the members' files.

    Returns:
        The folder of the copy.
    """
    starts = start_times(run.members.values())
    lines: list[str] = []
    for name, limit in limits.items():
        lines += table(name, limit, figures[name]["most_at"], begin, starts, run.standstill_monitor)
    lines += delay_lines(run, begin)
    print("\n".join(lines))
    kept = tempfile.mkdtemp(prefix=KEPT_PREFIX)
    with contextlib.suppress(shutil.Error, OSError):  # a process may remove a file while it is copied
        shutil.copytree(run.folder, kept, dirs_exist_ok=True)
    (Path(kept) / TABLE_NAME).write_text("\n".join(lines) + "\n")
    return kept
