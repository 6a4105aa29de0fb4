#!/bin/sh
# Prepares the stand-ins that the cases start. They are Python modules of this repository, and need nothing beside the
# environment that the key `build` of the deploy file makes.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q myrtlespar review
.venv/bin/python -c "import myrtlespar.fakes, review.common.case"
