"""`myrtlespar fleet emulate`: plays a fault script in the simulation."""

from __future__ import annotations

import click


@click.command("emulate")
@click.argument("script", type=click.Path())
@click.option("--seed", default=1, show_default=True, help="Seed for the faults of links and the choices of members.")
@click.option(
    "--members",
    default=0,
    type=click.IntRange(0, 20_000),
    help="Scale the sites in proportion to this number of members; 0: as in the script.",
)
@click.option(
    "--baseline",
    is_flag=True,
    help="Replace the membership protocol by plain heartbeats, all to all with a fixed timeout.",
)
@click.option("--json", "result", type=click.Path(), help="Also write the JSON line of results to this file.")
def emulate(script: str, seed: int, members: int, baseline: bool, result: str | None) -> int:
    """Play a fault script in virtual time, without processes or sockets. Load, dependency and engines are not modelled.

    The exit status is that of `run`. The same script, seed and size give the same figures except for the speed.
    """
    from pathlib import Path

    from myrtlespar.fleet_tests.runner import print_result
    from myrtlespar.fleet_tests.script import ScriptError, read
    from myrtlespar.simulation.runner import play

    try:
        parsed_script = read(Path(script), members)
    except ScriptError as error:
        raise click.ClickException(str(error)) from None
    return print_result(play(parsed_script, seed, use_baseline=baseline), seed, Path(result) if result else None)
