"""`myrtlespar fleet watch`: shows the views of several members, updated continuously."""

from __future__ import annotations

import click


@click.command("watch")
@click.argument("addresses", nargs=-1, required=True)
@click.option(
    "--seconds", default=60.0, show_default=True, type=click.FloatRange(0.1, 86400), help="How long to watch."
)
@click.option(
    "--every", default=1.0, show_default=True, type=click.FloatRange(0.1, 3600), help="Seconds between updates."
)
def watch(addresses: tuple[str, ...], seconds: float, every: float) -> int:
    """Show the views of the members with these management ADDRESSES, updated continuously."""
    from myrtlespar.cli.fleet.member_tables import watch_views

    return watch_views(addresses, seconds, every)
