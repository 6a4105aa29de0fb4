"""`myrtlespar fleet`: fault scripts, the model checker, and the views and limits of running members."""

from __future__ import annotations

import click

from myrtlespar.cli.fleet.check import check
from myrtlespar.cli.fleet.emulate import emulate
from myrtlespar.cli.fleet.limits import limits
from myrtlespar.cli.fleet.run import run
from myrtlespar.cli.fleet.status import status
from myrtlespar.cli.fleet.try_command import try_command
from myrtlespar.cli.fleet.watch import watch


@click.group()
def fleet() -> None:
    """Test a fleet of tile servers with faults, and show the views and limits of its members."""


for subcommand in (run, emulate, check, status, watch, limits, try_command):
    fleet.add_command(subcommand)
