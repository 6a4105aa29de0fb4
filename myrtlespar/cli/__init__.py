"""The command line, built on click, with one file per command.

Commands import what they need when they run, so that serving loads no other tool.
"""

from __future__ import annotations

import sys

import click

from myrtlespar.cli.check import check
from myrtlespar.cli.fleet import fleet
from myrtlespar.cli.import_files import import_files
from myrtlespar.cli.serve import serve
from myrtlespar.cli.try_command import try_command
from myrtlespar.cli.version import version

EXIT_INVALID_INPUT = 2
EXIT_INTERRUPTED = 130


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """Tile server with overload control.

    Without a command the server runs; this is how the platform starts it. BALANCER_CONFIG names the platform's
    configuration file, MYRTLESPAR_OPERATOR the operator's. Invalid input ends with one line on standard error and exit
    status 2.
    """


for command in (serve, try_command, check, fleet, import_files, version):
    cli.add_command(command)


def main() -> int:
    """Run the command line and return the exit status."""
    try:
        code = cli.main(prog_name="myrtlespar", standalone_mode=False)
    except click.ClickException as error:
        print(f"myrtlespar: {error.format_message()}", file=sys.stderr)
        return EXIT_INVALID_INPUT
    except click.Abort:
        return EXIT_INTERRUPTED
    return code if isinstance(code, int) else 0
