"""Implements `myrtlespar fleet check`. Run as a module, it searches for one mutation, which it installs first.

The module's arguments are the area, the name of the mutation, and the time limit in seconds.
"""

from __future__ import annotations

import importlib
import subprocess
import sys
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from myrtlespar.model_checker.mutants import Mutation, install_mutation

MAX_COUNTEREXAMPLE_FAULTS = 3  # longest acceptable counter-example of a mutation
AREAS = {"members": "myrtlespar.model_checker.fleet", "limits": "myrtlespar.model_checker.quota"}
STATUS_HOLDS = 0
STATUS_VIOLATED = 1
STATUS_NO_VERDICT = 3  # the time limit stopped the exploration


def mutations(area: str) -> Mapping[str, Mutation]:
    """Return the mutations of an area, by name."""
    found: Mapping[str, Mutation] = importlib.import_module(f"{AREAS[area]}.mutants").MUTATIONS
    return found


def explorer(area: str) -> Any:
    """Import and return the explorer of an area: a module with `PLANS` and `explore`, which loads the tested code."""
    return importlib.import_module(f"{AREAS[area]}.explore")


def explore_plans(area: str, plans: list[str], jobs: int, seconds: float) -> int:
    """Explore these plans one after the other, print the results and return the exit status."""
    module = explorer(area)
    status = STATUS_HOLDS
    for name in plans:
        result = module.explore(name, jobs, seconds)
        verdict = "fell" if result.violations else "holds" if result.complete else "no verdict"
        print(
            f"{area} {name:8} {result.runs:>9,} runs {result.steps:>13,} steps (longest run {result.longest_run:,}), "
            f"up to {module.PLANS[name].max_faults} faults a run {result.seconds:7.1f} s  {verdict}",
            flush=True,
        )
        for line in result.violations:
            print(f"  {line}")
        if result.violations:
            for at, fault in result.counterexample:
                print(f"  {at:7.0f} ms  {' '.join(str(word) for word in fault)}")
            status = STATUS_VIOLATED
        elif not result.complete:
            status = status or STATUS_NO_VERDICT
    return status


def planted(area: str, jobs: int, seconds: float) -> int:
    """Search for every mutation, each in its own process, and return the exit status.

    A mutation that is not found shows a gap in the invariants or plans.
    """

    def search(name: str) -> tuple[str, str]:
        """Run the search for one mutation, and return its name and the line that the search printed."""
        command_line = [sys.executable, "-m", "myrtlespar.model_checker.fleet.command", area, name, str(seconds)]
        done = subprocess.run(command_line, capture_output=True, text=True, check=False)
        return name, done.stdout.strip() or f"no result: {done.stderr.strip()[-300:]}"

    found = 0
    names = mutations(area)
    with ThreadPoolExecutor(jobs) as pool:
        for name, text in pool.map(search, names):
            found += text.startswith("found")
            print(f"{name:40} {text}", flush=True)
    print(f"{found} of {len(names)} planted bugs found")
    return STATUS_HOLDS if found == len(names) else STATUS_VIOLATED


def main() -> int:
    """Search for one mutation, print in one line whether it was found or survived, and return the exit status."""
    area = sys.argv[1]
    name = sys.argv[2]
    seconds = float(sys.argv[3])
    known = mutations(area)
    install_mutation(name, known)
    result = explorer(area).explore(known[name].scenario, 1, seconds)
    if not result.violations:
        print(f"survived {result.runs:,} runs{'' if result.complete else ', not all'}")
        return STATUS_VIOLATED
    outcome = "too long" if len(result.counterexample) > MAX_COUNTEREXAMPLE_FAULTS else "found"
    invariant = result.violations[0].partition(":")[0]
    print(f"{outcome}: {invariant}, after {len(result.counterexample)} faults, {result.runs:,} runs")
    return STATUS_HOLDS


if __name__ == "__main__":
    sys.exit(main())
