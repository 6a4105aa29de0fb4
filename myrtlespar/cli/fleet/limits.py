"""`myrtlespar fleet limits`: the fleet's limits as they are now, why one rejected, and what a file promises."""

from __future__ import annotations

import click


@click.group("limits", invoke_without_command=True)
@click.option("--at", "addresses", multiple=True, metavar="HOST:PORT", help="A member's management address; repeat.")
@click.pass_context
def limits(ctx: click.Context, addresses: tuple[str, ...]) -> int | None:
    """Every key in use on these members: limit, granted, standing, used, keeper, age."""
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
    """Why the last request under limit NAME was refused, at each member: which number, from whom, how old."""
    from myrtlespar.cli.fleet.limit_tables import print_rejections

    _require_addresses(addresses)
    return print_rejections(addresses, name)


@limits.command("bound")
@click.argument("file", type=click.Path())
def bound(file: str) -> int:
    """The promises of a settings FILE in numbers, before it is used."""
    from myrtlespar.cli.fleet.limit_bounds import print_bounds
    from myrtlespar.config import ConfigError

    try:
        print_bounds(file)
    except ConfigError as error:
        raise click.ClickException(str(error)) from None
    return 0


def _require_addresses(addresses: tuple[str, ...]) -> None:
    if not addresses:
        raise click.ClickException("--at: at least one management address is wanted")
