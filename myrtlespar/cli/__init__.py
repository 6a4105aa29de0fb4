"""The command line, on click: one file a command. Each command imports what it needs when it runs.

So serving loads no tool.
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

EXIT_FAULTY_INPUT = 2
EXIT_INTERRUPTED = 130


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """An overload controller for tile servers, and the server round it.

    Without a command it serves, as the platform starts it. BALANCER_CONFIG names the platform's file,
    MYRTLESPAR_OPERATOR an operator's one. Faulty input ends with one line on standard error and status 2.
    """


for command in (serve, try_command, check, fleet, import_files, version):
    cli.add_command(command)


def main() -> int:
    """Run the command line; the exit status."""
    try:
        code = cli.main(prog_name="myrtlespar", standalone_mode=False)
    except click.ClickException as error:
        print(f"myrtlespar: {error.format_message()}", file=sys.stderr)
        return EXIT_FAULTY_INPUT
    except click.Abort:
        return EXIT_INTERRUPTED
    return code if isinstance(code, int) else 0
