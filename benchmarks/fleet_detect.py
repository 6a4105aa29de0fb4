"""Times of failure detection, restart, quorum change and healing, on real processes and in the simulation.

    python -m benchmarks.fleet_detect --seeds 5                # 24 members in 3 sites, about 40 s a seed
    python -m benchmarks.fleet_detect --calm 600 --pin         # false failures under loss and jitter, 3 members a core

With each seed, one member is killed and restarted after 6 s, another is killed for good, then a site is cut off for
8 s. The invariant checks measure the times. This process shares the machine's cores with the members.
"""

from __future__ import annotations

import json
import sys
from typing import Any

import click

from myrtlespar.fleet_tests.runner import percentile, play
from myrtlespar.fleet_tests.script import parse
from myrtlespar.simulation.runner import play as simulate

SITES = "fleet: {sites: {a: %d, b: %d, c: %d}}\n"
KILLS = """
length_s: 36
events:
  - {at_s: 2, kill: b3, restart_after_s: 6}
  - {at_s: 13, kill: c2}
  - {at_s: 20, cut: [site a, site b], for_s: 8}
  - {at_s: 20, cut: [site a, site c], for_s: 8}
"""
CALM = """
length_s: %g
events:
  - {at_s: 0, link: [all, all], drop: 0.05, jitter_ms: 50}
"""
FIGURES = ("detect_ms", "restart_ms", "standing_ms", "known_ms")


def summarize(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the median of the seeds' medians, and the worst value, of each figure."""
    out: dict[str, Any] = {}
    for name in FIGURES:
        medians = [row[name]["median"] for row in rows if row[name]["median"] is not None]
        worst = [row[name]["worst"] for row in rows if row[name]["worst"] is not None]
        out[name] = {"median": percentile(medians, 0.5), "worst": max(worst, default=None)}
    return {
        **out,
        "false_failures": sum(row["false_failures"] for row in rows),
        "broken": sum(len(row["broken"]) for row in rows),
    }


@click.command()
@click.option("--seeds", default=5, show_default=True, type=click.IntRange(1, 100))
@click.option("--each", default=8, show_default=True, type=click.IntRange(1, 20), help="Members per site.")
@click.option(
    "--calm",
    default=0.0,
    type=click.FloatRange(0, 3600),
    help="Instead run this many seconds with no fault but loss and jitter.",
)
@click.option("--pin", is_flag=True, help="Pin three members to each core.")
@click.option("--real/--no-real", default=True, help="Whether to run real processes too.")
def main(seeds: int, each: int, calm: float, pin: bool, real: bool) -> None:
    """Print one line per kind and seed, and one per kind over all seeds."""
    script = parse(SITES % (each, each, each) + (CALM % calm if calm else KILLS))
    rows: dict[str, list[dict[str, Any]]] = {"real": [], "emulated": [], "baseline": []}
    for seed in range(1, seeds + 1):
        if real:
            rows["real"].append(play(script, seed, report_progress=lambda line: None, pin=pin))
        rows["emulated"].append(simulate(script, seed))
        rows["baseline"].append(simulate(script, seed, use_baseline=True))
        for kind, done in rows.items():
            if done:
                shown = {key: done[-1][key] for key in (*FIGURES, "false_failures")}
                print(kind, seed, json.dumps({**shown, "broken": done[-1]["broken"][:3]}), flush=True)
    for kind, done in rows.items():
        if done:
            print(kind, "all", json.dumps(summarize(done)))
    sys.exit(int(any(row["broken"] for row in rows["real"])))


if __name__ == "__main__":
    main()
