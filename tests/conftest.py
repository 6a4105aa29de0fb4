"""Fixtures that are used by several test files."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest

from myrtlespar.fakes import (
    FakeAjpServer,
    ServerProcess,
    ThriftClient,
    server_process,
    until,
)
from myrtlespar.fakes.scripted_engine import ScriptedEngine
from myrtlespar.fleet_tests.process_launcher import FleetRun
from myrtlespar.fleet_tests.script import parse
from tests.ajp_operator_file import AJP_OPERATOR_FILE
from tests.request_classes import KEYED_SETTINGS

THREE_MEMBERS = "fleet: {sites: {a: 3}}\nlength_s: 5\n"


class HandoverFolders(NamedTuple):
    """The folders of up to three processes of one server, each of which replaces the one before."""

    shared: Path  # the `$TMPDIR` of all processes
    old: Path
    new: Path
    third: Path


@pytest.fixture
def server(tmp_path: Path) -> Iterator[ServerProcess]:
    """A server process with a fake engine, dependency and registry."""
    with server_process(tmp_path) as running:
        yield running


@pytest.fixture
def scripted(tmp_path: Path) -> Iterator[tuple[ServerProcess, ScriptedEngine, ThriftClient]]:
    """A server process, its scripted engine, which acts only when the test tells it to, and one client."""
    engine = ScriptedEngine()
    with server_process(tmp_path, engine=engine, given=KEYED_SETTINGS) as running:
        until(engine.send_next_notice)  # waits for the greeting and sends it
        until(lambda: running.event("kernel up"))
        yield running, engine, ThriftClient(running.ports[0])


@pytest.fixture
def ajp_server(tmp_path: Path) -> Iterator[ServerProcess]:
    """A server process with an AJP listener."""
    with server_process(tmp_path, operator=AJP_OPERATOR_FILE) as running:
        yield running


@pytest.fixture
def ajp_servers(tmp_path: Path) -> Iterator[tuple[ServerProcess, FakeAjpServer, FakeAjpServer]]:
    """A server process that forwards orders to one of two AJP servers, and these AJP servers."""
    one = FakeAjpServer("one")
    two = FakeAjpServer("two")
    rows = "".join(f'[[worker]]\nname = "{w.name}"\naddress = "{w.address}"\nsecret = "w"\n' for w in (one, two))
    operator = (
        AJP_OPERATOR_FILE.replace('class = "order"', 'class = "order"\nto = "pair"')
        + rows
        + ('[[balancer]]\nname = "pair"\nmembers = ["one", "two"]\n')
    )
    with server_process(tmp_path, operator=operator) as running:
        yield running, one, two
    one.down()
    two.down()


@pytest.fixture
def handover_folders(tmp_path: Path) -> HandoverFolders:
    """Empty folders for an old process and its replacements."""
    folders = HandoverFolders(*(tmp_path / name for name in HandoverFolders._fields))
    for folder in folders:
        folder.mkdir()
    return folders


@pytest.fixture
def three_members(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[FleetRun]:
    """Three members of one site, not started. The fixture's parameter holds changes to the fleet files of members."""
    run = FleetRun(parse(THREE_MEMBERS), 1, tmp_path, own=getattr(request, "param", {}))
    try:
        yield run
    finally:
        run.close()
