"""The command line, on click. Each command loads what it needs when it runs, so that serving loads no tool."""

from __future__ import annotations

import sys

import click

from myrtlespar.cli.check import check
from myrtlespar.cli.demo import trial
from myrtlespar.cli.fleet import fleet
from myrtlespar.cli.serve import import_files, serve, version


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """An overload controller for tile servers, and the server round it.

    Without a command it serves, as the platform starts it. BALANCER_CONFIG names the platform's file,
    MYRTLESPAR_OPERATOR an operator's one. Faulty input ends with one line on standard error and status 2.
    """


for command in (serve, trial, check, fleet, import_files, version):
    cli.add_command(command)


def main() -> int:
    """Run the command line; the exit status."""
    try:
        code = cli.main(prog_name="myrtlespar", standalone_mode=False)
    except click.ClickException as error:
        print(f"myrtlespar: {error.format_message()}", file=sys.stderr)
        return 2
    except click.Abort:
        return 130
    return code if isinstance(code, int) else 0
