#!/bin/sh
# Builds every stand-in that the cases 6 to 10 start, the project's own too, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q myrtlespar/fakes review/second review/6 review/7 review/8 review/9 review/10
