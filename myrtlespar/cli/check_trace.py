"""`myrtlespar check trace`: checks a recorded run against the state machines."""

from __future__ import annotations

from pathlib import Path

import click


@click.command("trace")
@click.argument("file", type=click.Path())
def trace(file: str) -> int:
    """Check a recorded run against the state machines: the log of a server with `[trace] transitions = true`."""
    from myrtlespar.model_checker.trace_checker import check_trace

    return check_trace(Path(file))
