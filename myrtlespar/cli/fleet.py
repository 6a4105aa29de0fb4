"""`myrtlespar fleet`: play a fault script on real processes or in the emulator; one member's view; all, live."""

from __future__ import annotations

import click

from myrtlespar.cli.limits import limits


@click.group()
def fleet() -> None:
    """Tile servers that know each other: rehearse faults, look at views."""


@fleet.command()
@click.argument("script", type=click.Path())
@click.option("--seed", default=1, show_default=True, help="For chances on links, load, and members' own choices.")
@click.option("--json", "result", type=click.Path(), help="Write the line of figures to this file as well.")
@click.option("--keep", type=click.Path(), help="Keep logs and configurations of all members in this folder.")
def run(script: str, seed: int, result: str | None, keep: str | None) -> int:
    """Play a fault script on real processes behind the fabric.

    Status 0: every promise judged held. 1: one was broken, named with time and members. 2: the script is faulty.
    """
    from pathlib import Path

    from myrtlespar.fleet_tests.runner import print_result, play
    from myrtlespar.fleet_tests.script import ScriptError, read

    try:
        found = read(Path(script))
    except ScriptError as error:
        raise click.ClickException(str(error)) from None
    done = play(found, seed, Path(keep) if keep else None)
    return print_result(done, seed, Path(result) if result else None)


@fleet.command()
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
    return print_result(play(found, seed, plain=baseline), seed, Path(result) if result else None)


@fleet.command()
@click.option("--quick", is_flag=True, help="One fault at every step, and two at coarse steps.")
@click.option("--full", is_flag=True, help="Two faults a run at finer steps, three at coarse ones.")
@click.option("--planted", is_flag=True, help="Find every planted bug.")
@click.option("--jobs", default=0, type=click.IntRange(0, 256), help="Processes; 0 is one a core.")
@click.option(
    "--seconds",
    default=600.0,
    show_default=True,
    type=click.FloatRange(0, 86400, min_open=True),
    help="For each plan or bug; longer ends without a verdict.",
)
@click.option("--area", "areas", multiple=True, type=click.Choice(["members", "limits"]), help="Only this; repeatable.")
def check(quick: bool, full: bool, planted: bool, jobs: int, seconds: float, areas: tuple[str, ...]) -> int:
    """Explore membership and limits: three members under every schedule with a bounded number of faults.

    Status 0: every promise held. 1: one fell, the faults are printed. 3: stopped by time, which is no verdict.
    """
    import os

    from myrtlespar.model_checker.fleet import command

    jobs = jobs or os.cpu_count() or 1
    status = 0
    for area in areas or tuple(command.AREAS):
        if planted:
            now = command.planted(area, jobs, seconds)
        else:
            finer = {
                "members": ["late", "deaf"],
                "limits": [
                    "keepers",
                    "lives",
                    "fence",
                    "shifts",
                    "leases",
                    "voters",
                    "changes",
                    "engine",
                    "budgets",
                    "written",
                ],
            }[area]
            plans = (["single", "quick"] if quick else []) + ([*finer, "double", "triples"] if full else [])
            now = command.explored(area, plans or ["single"], jobs, seconds)
        status = status if status == 1 else now or status
    return status


@fleet.command()
@click.argument("address")
@click.option("--raw", is_flag=True, help="The JSON as it is.")
def status(address: str, raw: bool) -> int:
    """One member's view, over its management ADDRESS (HOST:PORT), as a table."""
    import json

    from myrtlespar.cli.fleet_tables import ask, table

    found = ask(address)
    if isinstance(found, str):
        raise click.ClickException(found)
    if raw:
        click.echo(json.dumps(found, indent=1))
    else:
        table(found)
    return 0


@fleet.command()
@click.argument("addresses", nargs=-1, required=True)
@click.option("--seconds", default=60.0, show_default=True, type=click.FloatRange(0.1, 86400), help="For so long.")
@click.option("--every", default=1.0, show_default=True, type=click.FloatRange(0.1, 3600), help="Between looks.")
def watch(addresses: tuple[str, ...], seconds: float, every: float) -> int:
    """All members, live: who believes what, over their management ADDRESSES."""
    from myrtlespar.cli.fleet_tables import watching

    return watching(addresses, seconds, every)


fleet.add_command(limits)


@fleet.command("try")
@click.option("--seed", default=1, show_default=True, help="For load and members' own choices.")
@click.option("--keep", type=click.Path(), help="Keep logs and configurations of all members in this folder.")
def trial(seed: int, keep: str | None) -> int:
    """Three sites of three members serve a mixed burst through a cut and its healing.

    Prints what each believed when, and requests by outcome. Status 0 only if every promise held.
    """
    from pathlib import Path

    from myrtlespar.fleet_tests.demo import run_demo as run_trial

    return run_trial(seed, Path(keep) if keep else None)
