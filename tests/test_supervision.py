"""Unexpected exceptions in one connection, answer or component of the real program."""

from __future__ import annotations

from pathlib import Path

import pytest

from myrtlespar.fakes import ServerProcess, ThriftClient, server_process, until
from tests.modified_programs import program_that_fails


def assert_logged_and_counted(running: ServerProcess, event: str, counter: str) -> None:
    """Check that the exception was logged with its traceback, and counted."""
    row = until(lambda: running.event(event))
    assert "ZeroDivisionError: raised by the test" in row["exception"]
    assert "Traceback" in row["exception"]
    assert running.counters()[counter] >= 1


def test_an_exception_in_one_message_ends_its_connection_after_the_pending_answers(tmp_path: Path) -> None:
    start = program_that_fails(tmp_path, "net.thrift_front", "ThriftConnection", "_handle_frame", "b'boom' in args[1]")
    with server_process(tmp_path, start=start) as running:
        other = ThriftClient(running.ports[0])
        client = ThriftClient(running.ports[0])
        pending = client.send("order", b"ms=400 calls=1")
        until(lambda: running.engine.starts)
        client.send("fetch", b"boom")
        assert client.answer(pending)[0] == "success"
        assert client.ended.wait(20)
        assert other.ask("order", b"calls=1")[0] == "success"
        assert not other.ended.is_set()
        assert_logged_and_counted(running, "connection failed", "in.fault.thrift")


def test_an_exception_in_one_answer_affects_no_other(tmp_path: Path) -> None:
    start = program_that_fails(
        tmp_path, "net.thrift_front", "ThriftConnection", "_answer", "not raised and args[2].kind.value == 'served'"
    )
    with server_process(tmp_path, start=start) as running:
        client = ThriftClient(running.ports[0])
        client.send("fetch", b"ms=1")
        until(lambda: running.event("carrying out an effect of a request failed"))
        assert [client.ask("order", b"calls=1")[0] for _ in range(3)] == ["success"] * 3
        assert_logged_and_counted(running, "carrying out an effect of a request failed", "core.effect_fault")


@pytest.mark.parametrize(
    ("module", "owner", "name", "component"),
    [
        ("net.engine_client", "EngineClient", "_connect", "kernel"),
        ("net.dependency_client", "DependencyCalls", "expire", "store"),
        ("net.registry_client", "RegistryClient", "_report", "roster"),
        ("net.listener", "Listener", "_check_unfinished", "thrift.look"),
    ],
)
def test_a_component_that_runs_forever_continues_after_an_exception(
    tmp_path: Path, module: str, owner: str, name: str, component: str
) -> None:
    with server_process(
        tmp_path, start=program_that_fails(tmp_path, module, owner, name, "len(raised) < 2")
    ) as running:
        silent = ThriftClient(running.ports[0])
        assert_logged_and_counted(running, "component failed; restarting it", f"fault.{component}")
        until(lambda: running.registry.reports)
        assert ThriftClient(running.ports[0]).ask("order", b"calls=1")[0] == "success"
        assert silent.ended.wait(20)  # closed, like every connection that sends nothing
        assert running.stop() == 0


def test_an_exception_of_the_coordinator_ends_the_process_and_is_logged(tmp_path: Path) -> None:
    start = program_that_fails(
        tmp_path,
        "request_coordinator",
        "RequestCoordinator",
        "_process_batch",
        "args[0].counters._counts['in.request.thrift'] > 1",
    )
    with server_process(tmp_path, start=start) as running:
        client = ThriftClient(running.ports[0])
        assert client.ask("fetch", b"ms=1")[0] == "success"
        client.send("fetch", b"ms=1")
        assert running.process.wait(5) == 1
        row = until(lambda: running.event("fatal error; ending the process"))
        assert "ZeroDivisionError: raised by the test" in row["exception"]
