"""A strict limit is lowered while a site is cut off, and one of its members learns it late. Real processes.

    python -m benchmarks.fleet_change --seeds 3

At 4 s site c is cut off, at 5 s all members but c1 take 12 a second in place of 30, at 12 s the cut heals, at 14 s c1
gets the new number. Checked by the engines' starts: never over 30 in a window, and never over 12 from a stated time on.
The members that the management address reports as behind are printed.
"""

from __future__ import annotations

import json
import tempfile
import time
from pathlib import Path
from typing import Any

import click

from myrtlespar.fault_proxy.faults import FaultRule
from myrtlespar.fleet_tests.limit_invariants import check_limits
from myrtlespar.fleet_tests.load_generator import LoadGenerator
from myrtlespar.fleet_tests.process_launcher import FleetRun
from myrtlespar.fleet_tests.script import parse
from myrtlespar.quota.settings import GrantSettings, Limit

SLACK_MS = 250.0
POLL_S = 0.25
SCRIPT = """
fleet: {sites: {a: 2, b: 2, c: 2}}
load: {rate: 90, mix: {order: 1}, proxies: 6}
limits: {order-farms: {per_s: 30, standing: 0.4}}
length_s: 30
"""


def run_once(seed: int) -> dict[str, Any]:
    """Run it once: broken invariants and figures."""
    script = parse(SCRIPT)
    grant_settings = GrantSettings()
    with tempfile.TemporaryDirectory() as tmp:
        run = FleetRun(script, seed, Path(tmp))
        try:
            run.start()
            load = LoadGenerator(run)
            load.start()
            began = time.monotonic()
            behind: set[str] = set()

            def wait(until_s: float) -> None:
                while time.monotonic() < began + until_s:
                    for name in ("a1", "b1", "c2"):
                        found = run.limits(name)
                        if found.get("version") == 2:
                            behind.update(found.get("behind") or ())
                    time.sleep(POLL_S)

            lower = {"order-farms": {"per_s": 12.0, "before": 30.0}}
            wait(4)
            cut = FaultRule(frozenset(("a1", "a2", "b1", "b2")), frozenset(("c1", "c2")), False, True)
            run.fault_proxy.on(1, cut)
            wait(5)
            run.change_limits([name for name in run.members if name != "c1"], 2, lower)
            changed_at = time.time() * 1000
            wait(12)
            run.fault_proxy.off(1)
            wait(14)
            run.change_limits(["c1"], 2, lower)
            changed_last_at = time.time() * 1000
            wait(24)
            load.finish()
            end = time.time() * 1000
            versions = {
                name: (run.limits(name).get("version"), run.limits(name).get("settled")) for name in run.members
            }
            runs = [
                (body, at, float("inf") if done is None else done)
                for member in run.members.values()
                for engine in member.engines
                for body, at, done in engine.runs
            ]
        finally:
            run.close()
    holds = changed_last_at + grant_settings.max_lowering_ms(Limit(per_s=30.0)) + SLACK_MS
    broken: list[str] = []
    most: dict[str, int] = {}
    for label, amount, since in (("the greater number", 30.0, 0.0), ("the lower number", 12.0, holds)):
        lines, figures = check_limits(
            {"order-farms": Limit(per_s=amount)},
            [row for row in runs if row[1] >= since],
            grant_settings,
            since or changed_at,
            end,
            SLACK_MS,
            {},
        )
        broken += [f"{label}: {line}" for line in lines]
        most[label] = figures["order-farms"]["most"]
    between = [
        row
        for row in runs
        if changed_at + grant_settings.max_lowering_ms(Limit(per_s=30.0)) <= row[1] < changed_last_at
    ]
    figures = check_limits(
        {"x": Limit(per_s=12.0)}, between, grant_settings, changed_at, changed_last_at, SLACK_MS, {}
    )[1]
    if set(versions.values()) != {(2, True)}:
        broken.append(f"all go by version 2 in the end: {versions}")
    return {
        "seed": seed,
        "broken": broken,
        "most": most,
        "most_while_c1_was_behind": figures["x"]["most"],
        "told_behind": sorted(behind),
    }


@click.command()
@click.option("--seeds", default=1, show_default=True, type=click.IntRange(1, 20))
def main(seeds: int) -> None:
    """Print one JSON line per run."""
    for seed in range(1, seeds + 1):
        print(json.dumps(run_once(seed)), flush=True)


if __name__ == "__main__":
    main()
