"""What `myrtlespar fleet check` does. Run as a module it looks for one planted bug in a process of its own."""

from __future__ import annotations

import importlib
import subprocess
import sys
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from myrtlespar.model_checker.mutants import Mutation, install_mutation

LONGEST = 3  # faults of a counter-example
AREAS = {"members": "myrtlespar.model_checker.fleet", "limits": "myrtlespar.model_checker.quota"}


def mutations(area: str) -> Mapping[str, Mutation]:
    """The planted bugs of an area."""
    found: Mapping[str, Mutation] = importlib.import_module(f"{AREAS[area]}.mutants").MUTATIONS
    return found


def explorer(area: str) -> Any:
    """Its explorer, a module with PLANS and `explore`; it loads the machines."""
    return importlib.import_module(f"{AREAS[area]}.explore")


def explored(area: str, plans: list[str], jobs: int, seconds: float) -> int:
    """Explore these plans one by one. 0: all held; 1: a promise fell; 3: stopped by time, which is no verdict."""
    module, status = explorer(area), 0
    for name in plans:
        found = module.explore(name, jobs, seconds)
        verdict = "fell" if found.fell else "holds" if found.whole else "no verdict"
        print(
            f"{area} {name:8} {found.runs:>9,} runs {found.steps:>13,} steps (longest run {found.longest:,}), up to "
            f"{module.PLANS[name].deep} faults a run {found.seconds:7.1f} s  {verdict}",
            flush=True,
        )
        for line in found.fell:
            print(f"  {line}")
        for at, fault in found.path if found.fell else ():
            print(f"  {at:7.0f} ms  {' '.join(str(word) for word in fault)}")
        status = 1 if found.fell else status or (0 if found.whole else 3)
    return status


def planted(area: str, jobs: int, seconds: float) -> int:
    """Find every planted bug. A survivor is a hole in the explorer."""

    def hunt(name: str) -> tuple[str, str]:
        words = [sys.executable, "-m", "myrtlespar.model_checker.fleet.command", area, name, str(seconds)]
        done = subprocess.run(words, capture_output=True, text=True, check=False)
        return name, done.stdout.strip() or f"no result: {done.stderr.strip()[-300:]}"

    found, among = 0, mutations(area)
    with ThreadPoolExecutor(jobs) as pool:
        for name, text in pool.map(hunt, among):
            found += text.startswith("found")
            print(f"{name:40} {text}", flush=True)
    print(f"{found} of {len(among)} planted bugs found")
    return 0 if found == len(among) else 1


def main() -> int:
    """One hunt: print one line, found or survived."""
    area, name, seconds = sys.argv[1], sys.argv[2], float(sys.argv[3])
    among = mutations(area)
    install_mutation(name, among)
    found = explorer(area).explore(among[name].scenario, 1, seconds)
    if not found.fell:
        print(f"survived {found.runs:,} runs{'' if found.whole else ', not all'}")
        return 1
    long = "too long" if len(found.path) > LONGEST else "found"
    print(f"{long}: {found.fell[0].partition(':')[0]}, after {len(found.path)} faults, {found.runs:,} runs")
    return 0


if __name__ == "__main__":
    sys.exit(main())
