"""`myrtlespar serve`: the server itself."""

from __future__ import annotations

import click


@click.command()
def serve() -> int:
    """Serve until the notice to drain (SIGTERM).

    SIGHUP reads the configuration again, SIGUSR1 logs the counters. Exit status 0 is a drain carried out.
    """
    from myrtlespar.server.main import main

    return main()
