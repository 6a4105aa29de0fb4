"""Exceptions that nobody expected: planted in the real program, in one connection, link, answer or part at a time."""

from __future__ import annotations

from pathlib import Path

import pytest

from myrtlespar.fakes import ServerProcess, ThriftClient, server_process, until

PLANTED = """import os, runpy, sys
sys.path.insert(0, os.getcwd())
from myrtlespar.{module} import {owner} as owner
real, planted = owner.{name}, []
def failing(*args):
    if {when}:
        planted.append(1)
        raise ZeroDivisionError("planted")
    return real(*args)
owner.{name} = failing
sys.argv[:] = ["myrtlespar"]
runpy.run_module("myrtlespar", run_name="__main__")
"""


def planted(tmp: Path, module: str, owner: str, name: str, when: str) -> str:
    """A program that raises in this method, where `when` holds for its `args`."""
    path = tmp / "planted.py"
    path.write_text(PLANTED.format(module=module, owner=owner, name=name, when=when))
    return str(path)


def told_once(running: ServerProcess, event: str, counter: str) -> None:
    """It is in the log with its traceback, and counted."""
    row = until(lambda: running.event(event))
    assert "ZeroDivisionError: planted" in row["exception"]
    assert "Traceback" in row["exception"]
    assert running.counters()[counter] >= 1


def test_a_fault_with_one_message_ends_its_connection_behind_what_is_owed(tmp_path: Path) -> None:
    start = planted(tmp_path, "net.thrift_front", "ThriftConnection", "_handle_frame", "b'boom' in args[1]")
    with server_process(tmp_path, start=start) as running:
        other, client = ThriftClient(running.ports[0]), ThriftClient(running.ports[0])
        owed = client.send("order", b"ms=400 calls=1")
        until(lambda: running.kernel.starts)
        client.send("fetch", b"boom")
        assert client.answer(owed)[0] == "success"
        assert client.ended.wait(20)
        assert other.ask("order", b"calls=1")[0] == "success"
        assert not other.ended.is_set()
        told_once(running, "connection failed", "in.fault.thrift")


def test_a_fault_with_one_answer_costs_no_other_one(tmp_path: Path) -> None:
    start = planted(
        tmp_path, "net.thrift_front", "ThriftConnection", "_answer", "not planted and args[2].kind.value == 'served'"
    )
    with server_process(tmp_path, start=start) as running:
        client = ThriftClient(running.ports[0])
        client.send("fetch", b"ms=1")
        until(lambda: running.event("effect failed"))
        assert [client.ask("order", b"calls=1")[0] for _ in range(3)] == ["success"] * 3
        told_once(running, "effect failed", "core.effect_fault")


@pytest.mark.parametrize(
    ("module", "owner", "name", "part"),
    [
        ("net.engine_client", "EngineClient", "_connect", "kernel"),
        ("net.dependency_client", "DependencyCalls", "expire", "store"),
        ("net.registry_client", "RegistryClient", "_report", "roster"),
        ("net.listener", "Listener", "_close_silent", "thrift.look"),
    ],
)
def test_a_part_that_has_to_go_on_goes_on(tmp_path: Path, module: str, owner: str, name: str, part: str) -> None:
    with server_process(tmp_path, start=planted(tmp_path, module, owner, name, "len(planted) < 2")) as running:
        silent = ThriftClient(running.ports[0])
        told_once(running, "part failed and goes on", f"fault.{part}")
        until(lambda: running.roster.reports)
        assert ThriftClient(running.ports[0]).ask("order", b"calls=1")[0] == "success"
        assert silent.ended.wait(20)  # closed, as any that sends nothing
        assert running.stop() == 0


def test_without_its_core_the_process_ends_at_once_and_says_why(tmp_path: Path) -> None:
    start = planted(
        tmp_path,
        "request_coordinator",
        "RequestCoordinator",
        "_turn",
        "args[0].counters._counts['in.request.thrift'] > 1",
    )
    with server_process(tmp_path, start=start) as running:
        client = ThriftClient(running.ports[0])
        assert client.ask("fetch", b"ms=1")[0] == "success"
        client.send("fetch", b"ms=1")
        assert running.process.wait(5) == 1
        row = until(lambda: running.event("cannot go on"))
        assert "ZeroDivisionError: planted" in row["exception"]
