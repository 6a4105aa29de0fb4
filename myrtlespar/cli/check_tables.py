"""`myrtlespar check tables`: the state machines as Markdown."""

from __future__ import annotations

from pathlib import Path

import click


@click.command("tables")
@click.option("--verify", type=click.Path(), help="Fail if this file differs from what would be printed.")
def tables(verify: str | None) -> int:
    """Print the tables and diagrams of all machines, as Markdown."""
    from myrtlespar.model_checker.diagrams import document

    text = document()
    if verify is None:
        click.echo(text, nl=False)
        return 0
    path = Path(verify)
    if not path.is_file() or path.read_text() != text:
        raise click.ClickException(f"{verify}: differs from the code; write it anew with `myrtlespar check tables`")
    return 0
