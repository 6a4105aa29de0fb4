"""`myrtlespar fleet limits`: what the fleet's limits are at now, why one refused, and what a file promises."""

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
    from myrtlespar.cli.limit_tables import shown

    if not addresses:
        raise click.ClickException("--at: at least one management address is wanted")
    return shown(addresses)


@limits.command()
@click.argument("name")
@click.pass_obj
def explain(addresses: tuple[str, ...], name: str) -> int:
    """Why the last request under limit NAME was refused, at each member: which number, from whom, how old."""
    from myrtlespar.cli.limit_tables import explained

    if not addresses:
        raise click.ClickException("--at: at least one management address is wanted")
    return explained(addresses, name)


@limits.command()
@click.argument("file", type=click.Path())
def bound(file: str) -> int:
    """The promises of a settings FILE in numbers, before it is used."""
    from myrtlespar.cli.limit_tables import bounds

    fault = bounds(file)
    if fault:
        raise click.ClickException(fault)
    return 0
