"""`myrtlespar fleet status`: shows one member's view."""

from __future__ import annotations

import click


@click.command("status")
@click.argument("address")
@click.option("--raw", is_flag=True, help="Print JSON instead of a table.")
def status(address: str, raw: bool) -> int:
    """Show the view of the member with the management ADDRESS (HOST:PORT) as a table."""
    import json

    from myrtlespar.cli.fleet.member_tables import print_view, request_report

    view = request_report(address)
    if isinstance(view, str):
        raise click.ClickException(view)
    if raw:
        click.echo(json.dumps(view, indent=1))
    else:
        print_view(view)
    return 0
