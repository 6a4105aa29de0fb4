"""Fixtures that several test files use."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from myrtlespar.fleet_tests.process_launcher import FleetRun
from myrtlespar.fleet_tests.script import parse

THREE_MEMBERS = "fleet: {sites: {a: 3}}\nlength_s: 5\n"


@pytest.fixture
def three_members(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[FleetRun]:
    """Three members of one site, not started; the parameter holds changed keys of single members' fleet files."""
    run = FleetRun(parse(THREE_MEMBERS), 1, tmp_path, own=getattr(request, "param", {}))
    try:
        yield run
    finally:
        run.close()
