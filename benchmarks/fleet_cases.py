"""All scenarios of a folder on real processes, for several seeds and loads: which invariants held, and how closely.

Sites can be grown to a number of members; for each limit the run that came nearest to it is printed.

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

CLOCK_DRIFT = 0.01  # members' clocks run slow, true and fast by this in turn, the most that settings allow


def with_demand(script: Script, over: float) -> Script:
    """The script with `over` times the demand that its limits allow; 0 leaves it as it is."""
    rates = [limit for limit in script.limits.values() if limit.per_s and not limit.by]
    if not over or not rates:
        return script
    mix = script.load.mix
    part = mix.get(rates[0].cls, sum(mix.values())) / sum(mix.values())
    return replace(script, load=replace(script.load, rate=over * float(rates[0].per_s or 0) / part))


def run_in_process(job: tuple[Path, int, float, int, float]) -> dict[str, Any]:
    """Run one script in a process of its own, so that the load of several fleets shares no interpreter."""
    path, members, times, seed, slack_ms = job
    began = time.monotonic()
    arguments = [str(path), str(members), str(times), str(seed), str(slack_ms)]
    command = [sys.executable, "-m", "benchmarks.fleet_cases", "--play", *arguments]
    done = subprocess.run(command, capture_output=True, text=True, timeout=600, check=False)
    try:
        row: dict[str, Any] = json.loads(done.stdout.splitlines()[-1])
    except (IndexError, ValueError):
        row = {"broken": [f"no result: {done.stderr.strip()[-300:]}"], "limits": {}}
    return {"script": path.stem, "over": times, "seed": seed, **row, "seconds": round(time.monotonic() - began, 1)}


def run_and_print(path: str, members: str, times: str, seed: str, slack_ms: str) -> None:
    """Run one script in this process, and print one JSON line."""
    script = with_demand(read(Path(path), int(members)), float(times))
    own = {name: {"clock_rate": 1 + CLOCK_DRIFT * (n % 3 - 1)} for n, name in enumerate(script.members)}
    done = play(script, int(seed), report_progress=lambda line: None, slack_ms=float(slack_ms), own=own)
    print(json.dumps({"broken": done["broken"], "limits": done.get("limits", {}), "outcomes": done.get("outcomes")}))


@click.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--members", default=0, type=click.IntRange(0, 60), help="Grow the sites to so many; 0 leaves them.")
@click.option("--seeds", default=5, show_default=True, type=click.IntRange(1, 100))
@click.option("--over", default="0", show_default=True, help="Demand, in limits; 0 is the script's own. A list.")
@click.option("--jobs", default=1, show_default=True, type=click.IntRange(1, 16), help="Fleets at a time.")
@click.option("--slack-ms", default=250.0, show_default=True, type=click.FloatRange(0, 10_000))
def main(folder: Path, members: int, seeds: int, over: str, jobs: int, slack_ms: float) -> None:
    """Print one JSON line per run, then the run nearest to each limit."""
    work = [
        (path, members, float(times), seed, slack_ms)
        for seed in range(1, seeds + 1)
        for times in over.split(",")
        for path in sorted(folder.glob("*.yaml"))
    ]
    tight: dict[str, tuple[float, str]] = {}
    held = 0
    runs = 0
    with ThreadPoolExecutor(jobs) as pool:
        for row in pool.map(run_in_process, work):
            runs += 1
            held += not row["broken"]
            print(json.dumps(row), flush=True)
            for name, limit in row["limits"].items():
                label = f"{row['script']} {name}"
                tight[label] = max(
                    tight.get(label, (0.0, "")), (limit["ratio"], f"seed {row['seed']}, {row['over']:g} limits")
                )
    for label, (ratio, where) in tight.items():
        print(f"{label}: {ratio:.3f} of its bound at the most ({where})")
    print(f"{held} of {runs} runs held every promise")


if __name__ == "__main__":
    if sys.argv[1:2] == ["--play"]:
        run_and_print(*sys.argv[2:7])
    else:
        main()
