"""`myrtlespar fleet status`: one member's view."""

from __future__ import annotations

import click


@click.command("status")
@click.argument("address")
@click.option("--raw", is_flag=True, help="The JSON as it is.")
def status(address: str, raw: bool) -> int:
    """One member's view, over its management ADDRESS (HOST:PORT), as a table."""
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
