"""The report on the times of starts that exceeded a fleet limit."""

from __future__ import annotations

import base64
import time
from datetime import UTC, datetime
from pathlib import Path

import pytest

from myrtlespar.fakes import until
from myrtlespar.fleet_tests.limit_invariants import check_limits
from myrtlespar.fleet_tests.member_process import MemberProcess
from myrtlespar.fleet_tests.network_counters import read_network_counters
from myrtlespar.fleet_tests.standstills import StandstillMonitor
from myrtlespar.fleet_tests.start_times import report_broken_limits, start_times
from myrtlespar.quota.settings import GrantSettings, Limit

BEGIN_MS = 1_700_000_000_000.0


class RecordedRun:
    """A run of one member in which the fault proxy delayed the commands to the engine."""

    def __init__(self, member: MemberProcess, folder: Path) -> None:
        self.members = {member.name: member}
        self.folder = folder
        self.standstill_monitor = StandstillMonitor()
        self.network_counters = read_network_counters()

    def stalls(self) -> list[tuple[str, float, float]]:
        return [("a1 to kernel", BEGIN_MS + 510.0, BEGIN_MS + 2310.0)]


def iso(at_ms: float) -> str:
    return datetime.fromtimestamp(at_ms / 1000, UTC).isoformat()


def add_start(member: MemberProcess, number: int, decided_at: float, written_at: float, read_at: float) -> None:
    body = b"order n=%d" % number
    member.log += [
        {"event": "admitted", "id": f"r{number}", "age_ms": 2.0, "timestamp": iso(decided_at + 2.0)},
        {"event": "step", "machine": "command", "who": f"r{number}", "to": "SENT", "timestamp": iso(written_at)},
    ]
    member.engine.commands.append({"t": "SCHED", "rid": f"r{number}", "b64": base64.b64encode(body).decode()})
    member.engine.runs.append([body, read_at, read_at + 5.0])


def test_each_start_of_a_broken_window_is_shown_with_where_its_time_went(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    member = MemberProcess("a1", 1, tmp_path / "fleet" / "a1")
    try:
        (member.folder / "log.txt").write_text("lines of a1\n")
        add_start(member, 1, BEGIN_MS + 500.0, BEGIN_MS + 2400.0, BEGIN_MS + 2403.0)
        add_start(member, 2, BEGIN_MS + 2500.0, BEGIN_MS + 2501.0, BEGIN_MS + 2502.0)
        add_start(member, 3, BEGIN_MS + 9000.0, BEGIN_MS + 9001.0, BEGIN_MS + 9002.0)
        starts = start_times([member])
        assert [round(start.late_ms) for start in starts] == [1903, 2, 2]
        assert [start.written_at for start in starts] == [
            pytest.approx(BEGIN_MS + at, abs=0.01) for at in (2400, 2501, 9001)
        ]
        limits = {"x": Limit(per_s=1.0, cls="order")}
        runs = [(body, at, ended) for body, at, ended in member.engine.runs]
        broken, figures = check_limits(limits, runs, GrantSettings(), BEGIN_MS, BEGIN_MS + 10_000, 250.0, {})
        assert broken
        kept = Path(report_broken_limits(limits, figures, RecordedRun(member, tmp_path / "fleet"), BEGIN_MS))
    finally:
        member.engine.down()
    printed = capsys.readouterr().out
    rows = [line.split() for line in printed.splitlines() if line.startswith("a1   ")]
    assert [row[:5] for row in rows] == [
        ["a1", "0.500", "1900.0", "3.0", "1903.0"],
        ["a1", "2.500", "1.0", "1.0", "2.0"],
    ]
    assert "harness: no standstill" in printed
    assert "a1 to kernel: stood still for 1800 ms at 0.510 s" in printed
    assert "TCPTimeouts" in printed
    assert (kept / "a1" / "log.txt").read_text() == "lines of a1\n"
    assert (kept / "start-times.txt").read_text() == printed


def test_a_standstill_of_the_harness_is_found_and_the_longest_one_of_a_window_named() -> None:
    monitor = StandstillMonitor()
    monitor.start()
    began_at = time.time() * 1000
    sum(range(12_000_000))  # one call into C, during which no other thread runs
    ended_at = time.time() * 1000
    until(lambda: monitor.standstills)
    monitor.stop()
    longest = monitor.longest(began_at, ended_at)
    assert longest is not None
    assert longest.length_ms > (ended_at - began_at) / 2
    assert monitor.longest(began_at - 2000, began_at - 1000) is None
