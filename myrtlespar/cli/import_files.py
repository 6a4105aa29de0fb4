"""`myrtlespar import`: converts configuration of mod_jk and Apache."""

from __future__ import annotations

import click


@click.command("import")
@click.argument("files", nargs=-1, required=True, type=click.Path())
def import_files(files: tuple[str, ...]) -> int:
    """Convert mod_jk worker files (*.properties) and Apache balancer files into an operator's file.

    The result is printed on standard output. What could not be imported is reported on standard error, with exit status
    1.
    """
    from myrtlespar.cli.apache_importer import main

    return main(list(files))
