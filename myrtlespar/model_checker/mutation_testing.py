"""Searches for one mutation, in a process in which it is installed. Started by `myrtlespar check --planted`."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from myrtlespar.model_checker.mutants import MUTATIONS, install_mutation


@click.command()
@click.argument("name")
@click.option("--seconds", default=120.0, type=float)
@click.option("--save", type=click.Path())
@click.option("--replay", type=click.Path())
def main(name: str, seconds: float, save: str | None, replay: str | None) -> None:
    """Print one line: found, with the broken rules and the number of events, or survived."""
    install_mutation(name)
    from myrtlespar.model_checker import command
    from myrtlespar.model_checker.explore import Bounds, explore
    from myrtlespar.model_checker.scenarios import ALL

    if replay is not None:
        sys.exit(command.replay(Path(replay), False, ""))
    if MUTATIONS[name].scenario == "twins":
        from myrtlespar.model_checker import process_pair

        sys.exit(process_pair.print_mutation_result(process_pair.explore(), command.MAX_PATH_EVENTS))
    found = explore(ALL[MUTATIONS[name].scenario], Bounds(seconds))
    if not found.violations:
        print(f"survived {found.states:,} states of {found.scenario}{'' if found.complete else ', not all'}")
        sys.exit(1)
    long = len(found.path) > command.MAX_PATH_EVENTS
    print(
        f"{'too long' if long else 'found'}: {', '.join(found.violations)} after {len(found.path)} events, "
        f"{found.states:,} states of {found.scenario}"
    )
    if save is not None:
        command.save(found, Path(save) / f"{name.replace(' ', '-')}.yaml", name)
    sys.exit(int(long))


if __name__ == "__main__":
    main()
