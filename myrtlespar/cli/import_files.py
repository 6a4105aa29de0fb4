"""`myrtlespar import`: an operator's file from those of mod_jk and Apache."""

from __future__ import annotations

import click


@click.command("import")
@click.argument("files", nargs=-1, required=True, type=click.Path())
def import_files(files: tuple[str, ...]) -> int:
    """Turn mod_jk worker files (*.properties) and Apache balancer files into an operator's file.

    The result goes to standard output, what could not be taken to standard error with status 1.
    """
    from myrtlespar.cli.apache_importer import main

    return main(list(files))
