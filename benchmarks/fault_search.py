"""Fault injection on the real program, over any number of seeds, several in parallel.

    .venv/bin/python -m benchmarks.fault_search --first 1000 --seeds 200 --at-once 4
    .venv/bin/python -m benchmarks.fault_search --first 1000 --seeds 20 --clients 200 --rate 80 --chance 0.005

Prints the first deviation of each seed. The exit status is 1 if any seed had one.
"""

from __future__ import annotations

import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

from tests.fault_injection import Trial


def run_seed(
    seed: int, clients: int, rate: float, chance: float, seconds: float
) -> tuple[int, list[str], dict[str, int]]:
    """Run one seed; return its number, its deviations and its counts."""
    with tempfile.TemporaryDirectory() as folder:
        trial = Trial(seed, Path(folder), clients, seconds, rate, chance).play()
    return seed, trial.wrong, dict(trial.counts)


@click.command()
@click.option("--first", default=1000, help="The first seed.")
@click.option("--seeds", default=50, help="Number of seeds.")
@click.option("--at-once", default=4, help="Programs run in parallel.")
@click.option("--clients", default=6)
@click.option("--rate", default=40.0, help="Requests per second of all clients together.")
@click.option("--chance", default=0.02, help="Probability of an error at each system call.")
@click.option("--seconds", default=5.0)
def main(first: int, seeds: int, at_once: int, clients: int, rate: float, chance: float, seconds: float) -> None:
    """Run the seeds, and print the first deviation of each."""
    failed = 0
    with ProcessPoolExecutor(at_once) as pool:
        trials = [pool.submit(run_seed, seed, clients, rate, chance, seconds) for seed in range(first, first + seeds)]
        for trial in trials:
            seed, deviations, counts = trial.result()
            failed += bool(deviations)
            summary = ", ".join(
                f"{counts.get(name, 0)} {name}" for name in ("requests", "success", "refused", "failed")
            )
            print(f"seed {seed}: {summary}: {deviations[0] if deviations else 'no deviation'}", flush=True)
    print(f"{seeds - failed} seeds without a deviation, {failed} with one")
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
