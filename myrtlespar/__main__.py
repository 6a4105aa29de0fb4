"""`python -m myrtlespar` serves; with a command behind it, it does that instead."""

from __future__ import annotations

import sys


def main() -> int:
    """Without a command nothing but the server is loaded: that is how the platform starts it."""
    if len(sys.argv) > 1:
        from myrtlespar.cli import main as command

        return command()
    from myrtlespar.runtime.startup_signals import StartupSignals

    early_signals = StartupSignals()  # before all that takes time to load
    from myrtlespar.server.main import main as serve

    return serve(early_signals)


if __name__ == "__main__":
    sys.exit(main())
