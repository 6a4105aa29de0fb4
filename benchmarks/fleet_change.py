"""Lowers a strict limit while a site is cut off and one of its members gets the change late, on real processes.

    python -m benchmarks.fleet_change --seeds 3

At 4 s site c is cut off; at 5 s the limit of all members but c1 is lowered from 30 to 12 starts per second; at 12 s the
cut ends; at 14 s c1 gets the new limit. The starts that the engines recorded are checked: never over 30 in a window,
and never over 12 once the lowering must have taken effect everywhere. The members that the management address reported
as behind (with an older version of the limits) are printed.
"""

from __future__ import annotations

import json
import signal
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

import click

from myrtlespar.fault_proxy.faults import FaultRule
from myrtlespar.fleet_tests.limit_invariants import Run, check_limits
from myrtlespar.fleet_tests.load_generator import LoadGenerator
from myrtlespar.fleet_tests.process_launcher import FleetRun
from myrtlespar.fleet_tests.script import parse
from myrtlespar.fleet_tests.start_times import report_broken_limits
from myrtlespar.quota.settings import GrantSettings, Limit

SLACK_MS = 250.0
POLL_S = 0.25  # interval between queries of the management address
SCRIPT = """
fleet: {sites: {a: 2, b: 2, c: 2}}
load: {rate: 90, mix: {order: 1}, proxies: 6}
limits: {order-farms: {per_s: 30, standing: 0.4}}
length_s: 30
"""
LIMIT_NAME = "order-farms"
OLD_AMOUNT = 30.0
NEW_AMOUNT = 12.0
LATE_MEMBER = "c1"
CUT = FaultRule(frozenset(("a1", "a2", "b1", "b2")), frozenset(("c1", "c2")), False, True)
POLLED_MEMBERS = ("a1", "b1", "c2")
PAUSE_S = 1.5
CUT_AT_S = 4
CHANGED_AT_S = 5
HEALED_AT_S = 12
LATE_MEMBER_CHANGED_AT_S = 14
END_S = 24


class ChangeTimes(NamedTuple):
    """When the load began, the limit was lowered, the late member got the change, and the load ended. Unix ms."""

    begin: float
    changed_at: float
    late_member_changed_at: float
    end: float


class ChangedFleet:
    """One run of the fleet, and the members that it reported as behind.

    `stopped_member` is paused for PAUSE_S when the load begins, so that it learns late that all members have the first
    version of the limits.
    """

    def __init__(self, run: FleetRun, stopped_member: str = "") -> None:
        self.run = run
        self.stopped_member = stopped_member
        self.behind: set[str] = set()
        # By member, at the end: the version of its limits, and whether that version is known to be settled.
        self.versions: dict[str, tuple[Any, Any]] = {}
        self._began_s = 0.0

    def play(self) -> ChangeTimes:
        """Perform all steps under load."""
        run = self.run
        load = LoadGenerator(run)
        begin = time.time() * 1000
        load.start()
        self._began_s = time.monotonic()
        if self.stopped_member:
            member = run.members[self.stopped_member]
            run.signal(member, signal.SIGSTOP, "pause")
            time.sleep(PAUSE_S)
            run.signal(member, signal.SIGCONT, "resume")
        self._poll_until(CUT_AT_S)
        run.fault_proxy.on(1, CUT)
        self._poll_until(CHANGED_AT_S)
        self._lower([name for name in run.members if name != LATE_MEMBER])
        changed_at = time.time() * 1000
        self._poll_until(HEALED_AT_S)
        run.fault_proxy.off(1)
        self._poll_until(LATE_MEMBER_CHANGED_AT_S)
        self._lower([LATE_MEMBER])
        late_member_changed_at = time.time() * 1000
        self._poll_until(END_S)
        load.finish()
        end = time.time() * 1000
        found = {name: run.limits(name) for name in run.members}
        self.versions = {name: (row.get("version"), row.get("settled")) for name, row in found.items()}
        return ChangeTimes(begin, changed_at, late_member_changed_at, end)

    def starts(self) -> list[Run]:
        """Return all runs that the engines began."""
        return [row for member in self.run.members.values() for row in member.runs()]

    def _lower(self, names: list[str]) -> None:
        self.run.change_limits(names, 2, {LIMIT_NAME: {"per_s": NEW_AMOUNT, "before": OLD_AMOUNT}})

    def _poll_until(self, at_s: float) -> None:
        """Wait until this time of the run; meanwhile collect the members that POLLED_MEMBERS report as behind."""
        while time.monotonic() < self._began_s + at_s:
            for name in POLLED_MEMBERS:
                found = self.run.limits(name)
                if found.get("version") == 2:
                    self.behind.update(found.get("behind") or ())
            time.sleep(POLL_S)


def check_starts(starts: list[Run], amount: float, begin: float, end: float) -> tuple[list[str], dict[str, Any]]:
    """Check the starts from `begin` on against an amount; return the broken invariants and the figures."""
    limits = {LIMIT_NAME: Limit(per_s=amount)}
    counted = [row for row in starts if row[1] >= begin]
    broken, figures = check_limits(limits, counted, GrantSettings(), begin, end, SLACK_MS, {})
    return broken, figures[LIMIT_NAME]


def run_once(seed: int, stopped_member: str = "") -> dict[str, Any]:
    """Run the scenario once; return the broken invariants and the figures."""
    with tempfile.TemporaryDirectory() as tmp:
        run = FleetRun(parse(SCRIPT), seed, Path(tmp))
        try:
            run.start()
            fleet = ChangedFleet(run, stopped_member)
            times = fleet.play()
            return _check_run(seed, fleet, times)
        finally:
            run.close()


def _check_run(seed: int, fleet: ChangedFleet, times: ChangeTimes) -> dict[str, Any]:
    starts = fleet.starts()
    lowering_ms = GrantSettings().max_lowering_ms(Limit(per_s=OLD_AMOUNT))
    new_amount_holds_at = times.late_member_changed_at + lowering_ms + SLACK_MS
    broken: list[str] = []
    most: dict[str, int] = {}
    for label, amount, since in (
        ("the greater number", OLD_AMOUNT, times.begin),
        ("the lower number", NEW_AMOUNT, new_amount_holds_at),
    ):
        lines, figures = check_starts(starts, amount, since, times.end)
        broken += [f"{label}: {line}" for line in lines]
        most[label] = figures["most"]
        if lines:
            kept = report_broken_limits(
                {LIMIT_NAME: Limit(per_s=amount)}, {LIMIT_NAME: figures}, fleet.run, times.begin
            )
            broken.append(f"{label}: logs and start times were kept in {kept}")
    between = [row for row in starts if times.changed_at + lowering_ms <= row[1] < times.late_member_changed_at]
    _, behind_figures = check_starts(between, NEW_AMOUNT, times.changed_at, times.late_member_changed_at)
    if set(fleet.versions.values()) != {(2, True)}:
        broken.append(f"expected all members to have settled on version 2 at the end, got {fleet.versions}")
    return {
        "seed": seed,
        "broken": broken,
        "most": most,
        "most_while_c1_was_behind": behind_figures["most"],
        "told_behind": sorted(fleet.behind),
    }


@click.command()
@click.option("--seeds", default=1, show_default=True, type=click.IntRange(1, 20))
@click.option("--stopped", default="", help="A member to pause when the load begins.")
def main(seeds: int, stopped: str) -> None:
    """Run the scenario with each seed; print one JSON line per run."""
    for seed in range(1, seeds + 1):
        print(json.dumps(run_once(seed, stopped)), flush=True)


if __name__ == "__main__":
    main()
