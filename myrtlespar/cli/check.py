"""`myrtlespar check`: explores the state machines, finds planted bugs, replays counterexamples."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

from myrtlespar.cli.check_tables import tables
from myrtlespar.cli.check_trace import trace

CORES = os.cpu_count() or 1
PROCESS_PAIR = "twins"  # scenario with an old and a new process, which has an explorer of its own


# Longer than the usual limit of 40 lines because each option is a parameter.
@click.group(invoke_without_command=True)
@click.option("--quick", is_flag=True, help="Explore every state of all small scenarios.")
@click.option(
    "--full", is_flag=True, help="Explore the large scenario: 3 attempts, 2 server processes in turn, 2 broken links."
)
@click.option("--scenario", "names", multiple=True, help="Explore the scenario of this name; may be repeated.")
@click.option("--planted", is_flag=True, help="Check that the explorer finds every planted bug.")
@click.option("--replay", type=click.Path(), help="Replay a saved counterexample and print the state after each event.")
@click.option("--real", is_flag=True, help="With --replay: replay it against the real program on loopback.")
@click.option("--plant", default="", help="With --replay: add the planted bug of this name.")
@click.option("--save", type=click.Path(), help="Folder to save counterexamples in.")
@click.option("--jobs", default=CORES, show_default=True, type=click.IntRange(1, 256), help="Number of processes.")
@click.option(
    "--seconds",
    default=600.0,
    show_default=True,
    type=click.FloatRange(0, 86400, min_open=True),
    help="Time limit for each scenario; when it is reached, there is no verdict.",
)
@click.option(
    "--states",
    default=8_000_000,
    show_default=True,
    type=click.IntRange(1),
    help="Limit on the explored states of each scenario; when it is reached, there is no verdict.",
)
@click.option(
    "--memory-mb",
    default=6000,
    show_default=True,
    type=click.IntRange(64),
    help="Limit on the memory of the main process; when it is reached, there is no verdict.",
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

    Exit status 0: every invariant holds in every state. 1: an invariant is violated, and the shortest path to the
    violation is printed. 2: invalid input. 3: stopped by the limit on time, states or memory, without a verdict.
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
    chosen = [*names, *((*QUICK, PROCESS_PAIR) if quick else ()), *(("large",) if full else ())]
    for name in chosen:
        if name not in (*ALL, PROCESS_PAIR):
            raise click.ClickException(
                f"--scenario: no scenario named {name!r}; there are {', '.join(ALL)}, {PROCESS_PAIR}"
            )
    if not chosen:
        raise click.ClickException("check: expected --quick, --full, --scenario, --planted, --replay, tables or trace")
    return command.explore_all(chosen, Bounds(seconds, states, memory_mb), jobs, folder, sys.stderr.isatty())


check.add_command(trace)
check.add_command(tables)
