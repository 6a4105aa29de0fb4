"""`myrtlespar version`."""

from __future__ import annotations

import click


@click.command()
def version() -> None:
    """Print the version."""
    from importlib.metadata import PackageNotFoundError
    from importlib.metadata import version as installed
    from pathlib import Path

    try:
        click.echo(installed("myrtlespar"))
    except PackageNotFoundError:  # run from a checkout
        import tomllib

        project = Path(__file__).parent.parent.parent / "pyproject.toml"
        click.echo(tomllib.loads(project.read_text())["project"]["version"])
