"""`myrtlespar fleet limits`: shows the limits in use, why a limit rejected a request, and what a file promises."""

from __future__ import annotations

import click


@click.group("limits", invoke_without_command=True)
@click.option(
    "--at", "addresses", multiple=True, metavar="HOST:PORT", help="A member's management address; may be repeated."
)
@click.pass_context
def limits(ctx: click.Context, addresses: tuple[str, ...]) -> int | None:
    """Show each key in use at these members, with its limit, kind, use and keeper (the member that grants it).

    "standing" is the share that a member may use without a grant, "granted" what the keeper has granted in addition.
    """
    ctx.obj = addresses
    if ctx.invoked_subcommand is not None:
        return None
    from myrtlespar.cli.fleet.limit_tables import print_limits

    _require_addresses(addresses)
    return print_limits(addresses)


@limits.command("explain")
@click.argument("name")
@click.pass_obj
def explain(addresses: tuple[str, ...], name: str) -> int:
    """Show why limit NAME last refused a request, at each member: the use, the allowance and its grant."""
    from myrtlespar.cli.fleet.limit_tables import print_rejections

    _require_addresses(addresses)
    return print_rejections(addresses, name)


@limits.command("bound")
@click.argument("file", type=click.Path())
def bound(file: str) -> int:
    """Show the bounds that the limits of a settings FILE promise, before it is used."""
    from myrtlespar.cli.fleet.limit_bounds import print_bounds
    from myrtlespar.config import ConfigError

    try:
        print_bounds(file)
    except ConfigError as error:
        raise click.ClickException(str(error)) from None
    return 0


def _require_addresses(addresses: tuple[str, ...]) -> None:
    if not addresses:
        raise click.ClickException("--at: expected at least one management address")
