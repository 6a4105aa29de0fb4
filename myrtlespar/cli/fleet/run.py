"""`myrtlespar fleet run`: a fault script on real processes."""

from __future__ import annotations

import click


@click.command("run")
@click.argument("script", type=click.Path())
@click.option("--seed", default=1, show_default=True, help="For chances on links, load, and members' own choices.")
@click.option("--json", "result", type=click.Path(), help="Write the line of figures to this file as well.")
@click.option("--keep", type=click.Path(), help="Keep logs and configurations of all members in this folder.")
def run(script: str, seed: int, result: str | None, keep: str | None) -> int:
    """Play a fault script on real processes behind the proxy that injects the faults.

    Status 0: every promise judged held. 1: one was broken, named with time and members. 2: the script is faulty.
    """
    from pathlib import Path

    from myrtlespar.fleet_tests.runner import play, print_result
    from myrtlespar.fleet_tests.script import ScriptError, read

    try:
        found = read(Path(script))
    except ScriptError as error:
        raise click.ClickException(str(error)) from None
    played = play(found, seed, Path(keep) if keep else None)
    return print_result(played, seed, Path(result) if result else None)
