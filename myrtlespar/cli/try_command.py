"""`myrtlespar try`: runs the real server with fake upstream services under a short load, and checks the outcome."""

from __future__ import annotations

import click


@click.command("try")
@click.option("--requests", default=120, show_default=True, type=click.IntRange(3, 5000), help="Number of requests.")
@click.option(
    "--seed", default=7, show_default=True, help="Seed for the classes, pauses and run times of the requests."
)
@click.option("--keep", type=click.Path(), help="File for the server's log, which includes the transitions.")
def try_command(requests: int, seed: int, keep: str | None) -> int:
    """Serve a burst of real requests on loopback, without any other service, and print their outcomes.

    Starts the server with a fake engine, dependency and registry, sends requests over Thrift and AJP, begins to drain
    while some still run, and checks that the server's rules were kept. Exit status 0 only if all were.
    """
    from pathlib import Path

    from myrtlespar.fakes.smoke_load import run_smoke_load

    return run_smoke_load(requests, seed, Path(keep) if keep else None)
