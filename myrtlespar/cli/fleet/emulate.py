"""`myrtlespar fleet emulate`: a fault script in the simulation."""

from __future__ import annotations

import click


@click.command("emulate")
@click.argument("script", type=click.Path())
@click.option("--seed", default=1, show_default=True, help="For chances on links and members' own choices.")
@click.option(
    "--members",
    default=0,
    type=click.IntRange(0, 20_000),
    help="Grow the sites in proportion to so many members; 0 leaves them.",
)
@click.option("--baseline", is_flag=True, help="Plain heartbeats, all to all with a fixed time-out, instead.")
@click.option("--json", "result", type=click.Path(), help="Write the line of figures to this file as well.")
def emulate(script: str, seed: int, members: int, baseline: bool, result: str | None) -> int:
    """Play a fault script on the pure modules in virtual time. Load, store and kernels are not modelled.

    Status as for `run`. The same script, seed and size give the same figures but for the speed.
    """
    from pathlib import Path

    from myrtlespar.fleet_tests.runner import print_result
    from myrtlespar.fleet_tests.script import ScriptError, read
    from myrtlespar.simulation.runner import play

    try:
        found = read(Path(script), members)
    except ScriptError as error:
        raise click.ClickException(str(error)) from None
    return print_result(play(found, seed, use_baseline=baseline), seed, Path(result) if result else None)
