"""When each start under a fleet limit was decided, written to the engine, and read by the fake engine.

A limit is promised for the decisions and checked by what the fake engines read. Where a check finds one start too many,
these times show whether it was decided too early, or was late on its way: in the member, between the processes, or in
the process that plays the engines. The first two times are in the member's trace (`[trace]` in the operator's file).
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

ADMITTED_EVENT = "admitted"  # log lines of a member's trace
STEP_EVENT = "step"
COMMAND_MACHINE = "command"
SENT_STATE = "SENT"
MAX_SHOWN_STALLS = 8
MAX_SHOWN_DELAY_MS = 2000.0  # standstills so long before a window are shown as well
TABLE_NAME = "start-times.txt"
KEPT_PREFIX = "myrtlespar-broken-limit-"


class ObservedRun(Protocol):
    """What the report needs of a run of a fleet."""

    members: dict[str, MemberProcess]
    folder: Path
    standstill_monitor: StandstillMonitor
    network_counters: dict[str, int]  # at the begin

    def stalls(self) -> list[tuple[str, float, float]]:
        """When the relay, or one of its streams, stood still: what, begin and end in Unix ms."""


@dataclass(frozen=True, slots=True)
class StartTimes:
    """The times of one start, in Unix ms; None where nothing was logged."""

    member: str
    request_id: str
    body: str
    decided_at: float | None
    written_at: float | None
    read_at: float

    @property
    def late_ms(self) -> float:
        """From the decision to the fake engine."""
        return 0.0 if self.decided_at is None else self.read_at - self.decided_at


def logged_at(row: Mapping[str, Any]) -> float:
    """The time of a log line in Unix ms."""
    return datetime.fromisoformat(row["timestamp"]).timestamp() * 1000.0


def start_times(members: Iterable[MemberProcess]) -> list[StartTimes]:
    """All starts that the fake engines read, in that order."""
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
    """The starts in the window that ends at `last_at`, and how late the harness was; times since `begin`."""
    first_at = last_at - limit.window_ms
    prefix = f"{limit.cls} " if limit.cls else ""
    lines = [
        f"{limit_name}: starts that the engines read in the window before {(last_at - begin) / 1000:.3f} s",
        "written: after the decision; read: after it was written; late: both",
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


def way_lines(run: ObservedRun, begin: float) -> list[str]:
    """What may have delayed commands between the members and the fake engines."""
    stalls = sorted(run.stalls(), key=lambda stall: stall[1] - stall[2])[:MAX_SHOWN_STALLS]
    lines = [f"{what}: stood still for {end - at:.0f} ms at {(at - begin) / 1000:.3f} s" for what, at, end in stalls]
    waits = {name: max(engine.longest_wait_ms for engine in member.engines) for name, member in run.members.items()}
    shown_waits = ", ".join(f"{name} {wait_ms:.0f}" for name, wait_ms in waits.items())
    lines.append(f"fake engines, longest wait for their lock, ms: {shown_waits}")
    before = run.network_counters
    now = read_network_counters()
    changes = (f"{name} {now[name] - before[name]}" for name in now if name in before)
    lines.append("system's network counters, change over the run: " + ", ".join(changes))
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
    """Print the table of each limit's fullest window, keep it with the members' files, and return the folder's name."""
    starts = start_times(run.members.values())
    lines: list[str] = []
    for name, limit in limits.items():
        lines += table(name, limit, figures[name]["most_at"], begin, starts, run.standstill_monitor)
    lines += way_lines(run, begin)
    print("\n".join(lines))
    kept = tempfile.mkdtemp(prefix=KEPT_PREFIX)
    with contextlib.suppress(shutil.Error, OSError):  # a file that a process has just removed
        shutil.copytree(run.folder, kept, dirs_exist_ok=True)
    (Path(kept) / TABLE_NAME).write_text("\n".join(lines) + "\n")
    return kept
