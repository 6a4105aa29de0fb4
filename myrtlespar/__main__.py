"""Entry point: `python -m myrtlespar` runs the server, `python -m myrtlespar COMMAND` runs a command-line tool."""

from __future__ import annotations

import sys


def main() -> int:
    """Run the server or a command, and return the exit code.

    The platform starts the server without a command; the modules of the commands are not imported in this case.
    """
    if len(sys.argv) > 1:
        from myrtlespar.cli import main as run_command

        return run_command()
    from myrtlespar.runtime.startup_signals import StartupSignals

    startup_signals = StartupSignals()  # before the import below, which takes time
    from myrtlespar.server.main import main as run_server

    return run_server(startup_signals)


if __name__ == "__main__":
    sys.exit(main())
