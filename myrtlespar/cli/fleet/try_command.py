"""`myrtlespar fleet try`: runs a demonstration with real processes."""

from __future__ import annotations

import click


@click.command("try")
@click.option("--seed", default=1, show_default=True, help="Seed for the load and the choices of members.")
@click.option("--keep", type=click.Path(), help="Folder to keep the logs and configurations of all members in.")
def try_command(seed: int, keep: str | None) -> int:
    """Serve a mixed burst with three sites of three members, while a network cut begins and heals.

    Prints how the members' views changed over time, and the requests by outcome. Exit status 0 only if every promise
    held.
    """
    from pathlib import Path

    from myrtlespar.fleet_tests.demo import run_demo

    return run_demo(seed, Path(keep) if keep else None)
