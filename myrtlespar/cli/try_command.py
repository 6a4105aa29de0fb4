"""`myrtlespar try`: the real server between its own fakes, a short mixed load, and a verdict on the rules."""

from __future__ import annotations

import click


@click.command("try")
@click.option("--requests", default=120, show_default=True, type=click.IntRange(3, 5000), help="How many, in all.")
@click.option("--seed", default=7, show_default=True, help="For classes, pauses and lengths of runs.")
@click.option("--keep", type=click.Path(), help="Write the server's log here, transitions included.")
def try_command(requests: int, seed: int, keep: str | None) -> int:
    """Serve a burst of real requests on loopback with nothing else at hand, and show what became of them.

    Starts the server with a kernel, store and roster of its own, sends requests over Thrift and AJP, gives it the
    notice to drain while some still run, and checks the rules. Status 0 only if every rule held.
    """
    from pathlib import Path

    from myrtlespar.fakes.smoke_load import run_smoke_load

    return run_smoke_load(requests, seed, Path(keep) if keep else None)
