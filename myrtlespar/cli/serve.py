"""Commands that are the product itself: serve, import, version."""

from __future__ import annotations

import click


@click.command()
def serve() -> int:
    """Serve until the notice to drain (SIGTERM).

    SIGHUP reads the configuration again, SIGUSR1 logs the counters. Exit status 0 is a drain carried out.
    """
    from myrtlespar.server.main import main

    return main()


@click.command("import")
@click.argument("files", nargs=-1, required=True, type=click.Path())
def import_files(files: tuple[str, ...]) -> int:
    """Turn mod_jk worker files (*.properties) and Apache balancer files into an operator's file.

    The result goes to standard output, what could not be taken to standard error with status 1.
    """
    from myrtlespar.cli.apache_importer import main

    return main(list(files))


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
