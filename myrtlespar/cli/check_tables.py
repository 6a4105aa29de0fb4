"""`myrtlespar check tables`: prints the state machines as Markdown."""

from __future__ import annotations

from pathlib import Path

import click


@click.command("tables")
@click.option("--verify", type=click.Path(), help="Print nothing; fail if this file is not up to date.")
def tables(verify: str | None) -> int:
    """Print the transition tables and diagrams of all state machines as Markdown."""
    from myrtlespar.model_checker.diagrams import document

    text = document()
    if verify is None:
        click.echo(text, nl=False)
        return 0
    path = Path(verify)
    if not path.is_file() or path.read_text() != text:
        raise click.ClickException(f"{verify}: differs from the code; regenerate it with `myrtlespar check tables`")
    return 0
