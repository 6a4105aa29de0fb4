"""`myrtlespar fleet try`: a demonstration on real processes."""

from __future__ import annotations

import click


@click.command("try")
@click.option("--seed", default=1, show_default=True, help="For load and members' own choices.")
@click.option("--keep", type=click.Path(), help="Keep logs and configurations of all members in this folder.")
def try_command(seed: int, keep: str | None) -> int:
    """Three sites of three members serve a mixed burst through a cut and its healing.

    Prints what each believed when, and requests by outcome. Status 0 only if every promise held.
    """
    from pathlib import Path

    from myrtlespar.fleet_tests.demo import run_demo

    return run_demo(seed, Path(keep) if keep else None)
