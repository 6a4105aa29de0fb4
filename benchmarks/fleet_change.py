"""A strict limit is lowered while a site is cut off, and one of its members learns it late. Real processes.

    python -m benchmarks.fleet_change --seeds 3

At 4 s site c is cut off, at 5 s all members but c1 take 12 a second in place of 30, at 12 s the cut heals, at 14 s c1
gets the new number. Checked by the engines' starts: never over 30 in a window, and never over 12 from a stated time on.
The members that the management address reports as behind are printed.
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
POLL_S = 0.25
SCRIPT = """
fleet: {sites: {a: 2, b: 2, c: 2}}
load: {rate: 90, mix: {order: 1}, proxies: 6}
limits: {order-farms: {per_s: 30, standing: 0.4}}
length_s: 30
"""
LIMIT_NAME = "order-farms"
AMOUNT_BEFORE = 30.0
AMOUNT_AFTER = 12.0
LATE_MEMBER = "c1"
CUT = FaultRule(frozenset(("a1", "a2", "b1", "b2")), frozenset(("c1", "c2")), False, True)
POLLED_MEMBERS = ("a1", "b1", "c2")
STANDSTILL_S = 1.5
CUT_AT_S = 4
CHANGED_AT_S = 5
HEALED_AT_S = 12
CHANGED_LAST_AT_S = 14
END_S = 24


class ChangeTimes(NamedTuple):
    """When the limit was lowered, and the end. Unix ms."""

    begin: float
    changed_at: float
    changed_last_at: float  # at the late member
    end: float


class ChangedFleet:
    """One run: the fleet, and the members that it reported as behind.

    `stopped_member` stands still as the load begins, so that it hears late that all have the first version.
    """

    def __init__(self, run: FleetRun, stopped_member: str = "") -> None:
        self.run = run
        self.stopped_member = stopped_member
        self.behind: set[str] = set()
        self.versions: dict[str, tuple[Any, Any]] = {}  # by member: version and whether it is settled, at the end
        self._began_s = 0.0

    def play(self) -> ChangeTimes:
        """Carry out all steps under load."""
        run = self.run
        load = LoadGenerator(run)
        begin = time.time() * 1000
        load.start()
        self._began_s = time.monotonic()
        if self.stopped_member:
            member = run.members[self.stopped_member]
            run.signal(member, signal.SIGSTOP, "pause")
            time.sleep(STANDSTILL_S)
            run.signal(member, signal.SIGCONT, "resume")
        self._watch_until(CUT_AT_S)
        run.fault_proxy.on(1, CUT)
        self._watch_until(CHANGED_AT_S)
        self._lower([name for name in run.members if name != LATE_MEMBER])
        changed_at = time.time() * 1000
        self._watch_until(HEALED_AT_S)
        run.fault_proxy.off(1)
        self._watch_until(CHANGED_LAST_AT_S)
        self._lower([LATE_MEMBER])
        changed_last_at = time.time() * 1000
        self._watch_until(END_S)
        load.finish()
        end = time.time() * 1000
        found = {name: run.limits(name) for name in run.members}
        self.versions = {name: (row.get("version"), row.get("settled")) for name, row in found.items()}
        return ChangeTimes(begin, changed_at, changed_last_at, end)

    def starts(self) -> list[Run]:
        """All runs that the engines began."""
        return [row for member in self.run.members.values() for row in member.runs()]

    def _lower(self, names: list[str]) -> None:
        self.run.change_limits(names, 2, {LIMIT_NAME: {"per_s": AMOUNT_AFTER, "before": AMOUNT_BEFORE}})

    def _watch_until(self, at_s: float) -> None:
        """Wait until then, and ask some members whom they know to be behind."""
        while time.monotonic() < self._began_s + at_s:
            for name in POLLED_MEMBERS:
                found = self.run.limits(name)
                if found.get("version") == 2:
                    self.behind.update(found.get("behind") or ())
            time.sleep(POLL_S)


def check_amount(starts: list[Run], amount: float, begin: float, end: float) -> tuple[list[str], dict[str, Any]]:
    """Check the starts from `begin` on against an amount: broken promises, and the figures."""
    limits = {LIMIT_NAME: Limit(per_s=amount)}
    counted = [row for row in starts if row[1] >= begin]
    broken, figures = check_limits(limits, counted, GrantSettings(), begin, end, SLACK_MS, {})
    return broken, figures[LIMIT_NAME]


def run_once(seed: int, stopped_member: str = "") -> dict[str, Any]:
    """Run it once: broken invariants and figures."""
    with tempfile.TemporaryDirectory() as tmp:
        run = FleetRun(parse(SCRIPT), seed, Path(tmp))
        try:
            run.start()
            fleet = ChangedFleet(run, stopped_member)
            times = fleet.play()
            return _judge(seed, fleet, times)
        finally:
            run.close()


def _judge(seed: int, fleet: ChangedFleet, times: ChangeTimes) -> dict[str, Any]:
    starts = fleet.starts()
    lowering_ms = GrantSettings().max_lowering_ms(Limit(per_s=AMOUNT_BEFORE))
    lower_holds_at = times.changed_last_at + lowering_ms + SLACK_MS
    broken: list[str] = []
    most: dict[str, int] = {}
    for label, amount, since in (
        ("the greater number", AMOUNT_BEFORE, times.begin),
        ("the lower number", AMOUNT_AFTER, lower_holds_at),
    ):
        lines, figures = check_amount(starts, amount, since, times.end)
        broken += [f"{label}: {line}" for line in lines]
        most[label] = figures["most"]
        if lines:
            kept = report_broken_limits(
                {LIMIT_NAME: Limit(per_s=amount)}, {LIMIT_NAME: figures}, fleet.run, times.begin
            )
            broken.append(f"{label}: logs and times of the starts are in {kept}")
    between = [row for row in starts if times.changed_at + lowering_ms <= row[1] < times.changed_last_at]
    _, behind_figures = check_amount(between, AMOUNT_AFTER, times.changed_at, times.changed_last_at)
    if set(fleet.versions.values()) != {(2, True)}:
        broken.append(f"all go by version 2 in the end: {fleet.versions}")
    return {
        "seed": seed,
        "broken": broken,
        "most": most,
        "most_while_c1_was_behind": behind_figures["most"],
        "told_behind": sorted(fleet.behind),
    }


@click.command()
@click.option("--seeds", default=1, show_default=True, type=click.IntRange(1, 20))
@click.option("--stopped", default="", help="A member that stands still as the load begins.")
def main(seeds: int, stopped: str) -> None:
    """Print one JSON line per run."""
    for seed in range(1, seeds + 1):
        print(json.dumps(run_once(seed, stopped)), flush=True)


if __name__ == "__main__":
    main()
