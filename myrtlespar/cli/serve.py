"""`myrtlespar serve`: runs the server."""

from __future__ import annotations

import click


@click.command()
def serve() -> int:
    """Run the server until SIGTERM, which starts the drain.

    SIGHUP reloads the configuration, SIGUSR1 logs the counters. Exit status 0: the drain was completed.
    """
    from myrtlespar.server.main import main

    return main()
