"""Runs all fault scripts of a folder on real processes, for several seeds and loads, and checks the invariants.

Sites can be grown to a given number of members. For each limit the run that came closest to its bound is printed.

    python -m benchmarks.fleet_cases fault_scenarios/limits --members 12 --seeds 5 --over 2,10
    python -m benchmarks.fleet_cases fault_scenarios/membership --seeds 5
"""

from __future__ import annotations

import json
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

import click

from myrtlespar.fleet_tests.runner import play
from myrtlespar.fleet_tests.script import Script, read

# The clocks of successive members run too slow, exactly and too fast in turn.
# The deviation is this fraction, the largest that the settings allow.
CLOCK_DRIFT = 0.01


def with_demand(script: Script, demand_ratio: float) -> Script:
    """Return the script with its load set to `demand_ratio` times its first rate limit, unless that is 0."""
    rates = [limit for limit in script.limits.values() if limit.per_s and not limit.by]
    if not demand_ratio or not rates:
        return script
    mix = script.load.mix
    class_share = mix.get(rates[0].cls, sum(mix.values())) / sum(mix.values())
    return replace(script, load=replace(script.load, rate=demand_ratio * float(rates[0].per_s or 0) / class_share))


def run_in_process(job: tuple[Path, int, float, int, float]) -> dict[str, Any]:
    """Run one script in a subprocess, so that the load generators of several fleets share no interpreter."""
    path, members, demand_ratio, seed, slack_ms = job
    began = time.monotonic()
    arguments = [str(path), str(members), str(demand_ratio), str(seed), str(slack_ms)]
    command = [sys.executable, "-m", "benchmarks.fleet_cases", "--play", *arguments]
    done = subprocess.run(command, capture_output=True, text=True, timeout=600, check=False)
    try:
        row: dict[str, Any] = json.loads(done.stdout.splitlines()[-1])
    except (IndexError, ValueError):
        row = {"broken": [f"the run printed no result: {done.stderr.strip()[-300:]}"], "limits": {}}
    return {
        "script": path.stem,
        "over": demand_ratio,
        "seed": seed,
        **row,
        "seconds": round(time.monotonic() - began, 1),
    }


def run_and_print(path: str, members: str, demand_ratio: str, seed: str, slack_ms: str) -> None:
    """Run one script in this process; print its result as one JSON line."""
    script = with_demand(read(Path(path), int(members)), float(demand_ratio))
    own = {name: {"clock_rate": 1 + CLOCK_DRIFT * (n % 3 - 1)} for n, name in enumerate(script.members)}
    done = play(script, int(seed), report_progress=lambda line: None, slack_ms=float(slack_ms), own=own)
    print(json.dumps({"broken": done["broken"], "limits": done.get("limits", {}), "outcomes": done.get("outcomes")}))


@click.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option(
    "--members",
    default=0,
    type=click.IntRange(0, 60),
    help="Grow the sites to this many members in all; 0 leaves them as they are.",
)
@click.option("--seeds", default=5, show_default=True, type=click.IntRange(1, 100))
@click.option(
    "--over",
    default="0",
    show_default=True,
    help="Demand, as multiples of the limit, separated by commas; 0 is the script's own.",
)
@click.option("--jobs", default=1, show_default=True, type=click.IntRange(1, 16), help="Fleets run in parallel.")
@click.option("--slack-ms", default=250.0, show_default=True, type=click.FloatRange(0, 10_000))
def main(folder: Path, members: int, seeds: int, over: str, jobs: int, slack_ms: float) -> None:
    """Run all scripts of FOLDER; print one JSON line per run, then the run closest to the bound of each limit."""
    work = [
        (path, members, float(demand_ratio), seed, slack_ms)
        for seed in range(1, seeds + 1)
        for demand_ratio in over.split(",")
        for path in sorted(folder.glob("*.yaml"))
    ]
    closest_runs: dict[str, tuple[float, str]] = {}
    passed = 0
    runs = 0
    with ThreadPoolExecutor(jobs) as pool:
        for row in pool.map(run_in_process, work):
            runs += 1
            passed += not row["broken"]
            print(json.dumps(row), flush=True)
            for name, limit in row["limits"].items():
                label = f"{row['script']} {name}"
                closest_runs[label] = max(
                    closest_runs.get(label, (0.0, "")),
                    (limit["ratio"], f"seed {row['seed']}, demand {row['over']:g} times the limit"),
                )
    for label, (ratio, where) in closest_runs.items():
        print(f"{label}: at most {ratio:.3f} of its bound ({where})")
    print(f"{passed} of {runs} runs broke no invariant")


if __name__ == "__main__":
    if sys.argv[1:2] == ["--play"]:
        run_and_print(*sys.argv[2:7])
    else:
        main()
