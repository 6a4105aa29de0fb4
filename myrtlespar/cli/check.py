"""`myrtlespar check`: explore the state machines, find planted bugs, replay counter-examples."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

from myrtlespar.cli.check_tables import tables
from myrtlespar.cli.check_trace import trace

CORES = os.cpu_count() or 1
TWO_PROCESSES = "twins"  # the scenario of an old and a new process, explored apart from the others


# Longer than 40 lines only by its options, each of which is a parameter.
@click.group(invoke_without_command=True)
@click.option("--quick", is_flag=True, help="All small scenarios, every state.")
@click.option("--full", is_flag=True, help="The large scenario: 3 tries, 2 lives of the server, 2 breaks.")
@click.option("--scenario", "names", multiple=True, help="One scenario by name; may be repeated.")
@click.option("--planted", is_flag=True, help="Find every planted bug.")
@click.option("--replay", type=click.Path(), help="Play a saved counter-example and print the state after each event.")
@click.option("--real", is_flag=True, help="With --replay: against the real program on loopback.")
@click.option("--plant", default="", help="With --replay: with this planted bug in it.")
@click.option("--save", type=click.Path(), help="Save the counter-examples found in this folder.")
@click.option("--jobs", default=CORES, show_default=True, type=click.IntRange(1, 256), help="Processes.")
@click.option(
    "--seconds",
    default=600.0,
    show_default=True,
    type=click.FloatRange(0, 86400, min_open=True),
    help="For each scenario; longer ends without a verdict.",
)
@click.option("--states", default=8_000_000, show_default=True, type=click.IntRange(1), help="The same, in states.")
@click.option(
    "--memory-mb", default=6000, show_default=True, type=click.IntRange(64), help="The same, of the main process."
)
@click.pass_context
def check(
    ctx: click.Context,
    quick: bool,
    full: bool,
    names: tuple[str, ...],
    planted: bool,
    replay: str | None,
    real: bool,
    plant: str,
    save: str | None,
    jobs: int,
    seconds: float,
    states: int,
    memory_mb: int,
) -> int | None:
    """Explore the state machines that the server runs on, in every order of events.

    Status 0: every rule holds in every state. 1: a rule fell; the shortest way there is printed. 2: faulty input.
    3: stopped by time, states or memory, which is no verdict.
    """
    if ctx.invoked_subcommand is not None:
        return None
    from myrtlespar.model_checker import command
    from myrtlespar.model_checker.explore import Bounds
    from myrtlespar.model_checker.scenarios import ALL, QUICK

    folder = Path(save) if save else None
    if planted:
        return command.find_all_mutations(jobs, seconds, folder)
    if replay is not None:
        return command.replay(Path(replay), real, plant)
    chosen = [*names, *((*QUICK, TWO_PROCESSES) if quick else ()), *(("large",) if full else ())]
    for name in chosen:
        if name not in (*ALL, TWO_PROCESSES):
            raise click.ClickException(
                f"--scenario: no scenario named {name!r}; there are {', '.join(ALL)}, {TWO_PROCESSES}"
            )
    if not chosen:
        raise click.ClickException("check: say --quick, --full, --scenario, --planted, --replay, tables or trace")
    return command.explore_all(chosen, Bounds(seconds, states, memory_mb), jobs, folder, sys.stderr.isatty())


check.add_command(trace)
check.add_command(tables)
