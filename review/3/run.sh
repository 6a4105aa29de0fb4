#!/bin/sh
# Plays this case once; TROUBLE=0 plays it without the disruption. Exit status: 1 broken, 0 held, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=. exec .venv/bin/python review/3/case.py
