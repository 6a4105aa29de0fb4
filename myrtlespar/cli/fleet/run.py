"""`myrtlespar fleet run`: plays a fault script on real processes."""

from __future__ import annotations

import click


@click.command("run")
@click.argument("script", type=click.Path())
@click.option(
    "--seed", default=1, show_default=True, help="Seed for the faults of links, the load and the choices of members."
)
@click.option("--json", "result", type=click.Path(), help="Also write the JSON line of results to this file.")
@click.option("--keep", type=click.Path(), help="Folder to keep the logs and configurations of all members in.")
def run(script: str, seed: int, result: str | None, keep: str | None) -> int:
    """Play a fault script on real processes behind the proxy that injects the faults.

    Exit status 0: every promise that was checked held. 1: a promise was broken, which is printed with the time and the
    members. 2: the script is invalid.
    """
    from pathlib import Path

    from myrtlespar.fleet_tests.runner import play, print_result
    from myrtlespar.fleet_tests.script import ScriptError, read

    try:
        parsed_script = read(Path(script))
    except ScriptError as error:
        raise click.ClickException(str(error)) from None
    played = play(parsed_script, seed, Path(keep) if keep else None)
    return print_result(played, seed, Path(result) if result else None)
