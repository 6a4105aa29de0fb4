"""`myrtlespar fleet watch`: the views of several members, live."""

from __future__ import annotations

import click


@click.command("watch")
@click.argument("addresses", nargs=-1, required=True)
@click.option("--seconds", default=60.0, show_default=True, type=click.FloatRange(0.1, 86400), help="For so long.")
@click.option("--every", default=1.0, show_default=True, type=click.FloatRange(0.1, 3600), help="Between looks.")
def watch(addresses: tuple[str, ...], seconds: float, every: float) -> int:
    """All members, live: who believes what, over their management ADDRESSES."""
    from myrtlespar.cli.fleet.member_tables import watch_views

    return watch_views(addresses, seconds, every)
