"""Runs the real server with one mutation: `python -m myrtlespar.model_checker.mutants NAME`."""

from __future__ import annotations

import sys

from myrtlespar.model_checker.mutants import install_mutation

if __name__ == "__main__":
    install_mutation(sys.argv[1])
    from myrtlespar.server.main import main

    sys.exit(main())
