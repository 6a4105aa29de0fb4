"""Graceful shutdown: every client is notified, every request answered, and the process exits with status 0."""

from __future__ import annotations

import contextlib
import signal
import socket
import time
from pathlib import Path

import pytest

from myrtlespar.fakes import (
    ServerProcess,
    ThriftClient,
    server_process,
    until,
)
from myrtlespar.net.codec.thrift import encode, idl
from tests.conftest import HandoverFolders
from tests.request_classes import class_settings


def test_a_shutdown_notifies_clients_answers_all_requests_and_exits_with_status_0(server: ServerProcess) -> None:
    client = ThriftClient(server.ports[0])
    seqs = [client.send("render", b"ms=700") for _ in range(10)]
    until(lambda: server.engine.starts)
    server.process.terminate()
    until(lambda: client.one_way_messages == ["shutdown"])
    late = ThriftClient(server.ports[0])
    in_grace = late.send("fetch", b"in grace")
    time.sleep(1.1)
    past_grace = late.send("fetch", b"past grace")
    assert late.answer(in_grace)[0] in ("success", "refused")
    assert late.answer(past_grace)[0] == "refused"
    assert b"past grace" not in server.engine.starts_by_body
    assert all(client.answer(seq)[0] in ("success", "refused", "failed") for seq in seqs)
    assert server.process.wait(20) == 0
    assert client.ended.wait(20)
    assert late.ended.wait(20)
    assert client.one_way_messages == late.one_way_messages == ["shutdown"]
    assert until(lambda: server.event("counters"))["answer.refused.thrift"] >= 1


@pytest.mark.parametrize("engine", ["down", "silent", "late"])
def test_a_shutdown_before_the_engine_is_up_answers_all_requests_and_exits_with_status_0(
    tmp_path: Path, engine: str
) -> None:
    with server_process(tmp_path, late_engine=True, given={"stop_ms": 1500}) as running:
        if engine == "down":
            running.engine.down()
        client = ThriftClient(running.ports[0])
        seqs = [client.send(method, b"ms=5") for method in ("order", "fetch")]
        assert client.answer(
            client.send_message("ping", full=False)
        )  # answered, so the requests before it have been read
        running.process.terminate()
        until(lambda: client.one_way_messages)
        if engine == "late":
            running.engine.up.set()
        kinds = [client.answer(seq)[0] for seq in seqs]
        assert kinds == ["success"] * 2 if engine == "late" else set(kinds) <= {"failed", "refused"}
        assert running.process.wait(20) == 0
        assert set(client.count.values()) == {1}


def test_connections_accepted_as_the_listener_closes_are_notified_and_answered(tmp_path: Path) -> None:
    """Connections made while the process is stopped are still in the accept queue when it closes its listener."""
    with server_process(tmp_path, mgmt=True) as running:
        running.process.send_signal(signal.SIGSTOP)
        clients = [ThriftClient(running.ports[0]) for _ in range(12)]
        seqs = [client.send("order", b"ms=100") for client in clients]
        running.process.terminate()
        running.process.send_signal(signal.SIGCONT)
        assert all(client.answer(seq)[0] == "success" for client, seq in zip(clients, seqs, strict=True))
        assert all(client.ended.wait(20) and client.one_way_messages == ["shutdown"] for client in clients)
        assert running.process.wait(20) == 0


@pytest.mark.parametrize("repeated_signal", [signal.SIGTERM, signal.SIGHUP, signal.SIGINT])
def test_repeated_signals_and_a_client_that_does_not_read_leave_exit_status_0(
    tmp_path: Path, repeated_signal: signal.Signals
) -> None:
    with server_process(
        tmp_path, given={"stop_ms": 700, "settings": class_settings(("slow", "free", 9000.0))}
    ) as running:
        client = ThriftClient(running.ports[0])
        seq = client.send("slow", b"ms=60000")
        until(lambda: running.engine.starts)
        not_reading = socket.create_connection(("127.0.0.1", running.ports[0]))
        ping = encode("ping", 1, 1, idl.Front.ping_args(full=False))
        with contextlib.suppress(OSError):
            not_reading.settimeout(0.5)
            for _ in range(40):
                not_reading.sendall(ping * 500)
        running.process.terminate()
        until(lambda: client.one_way_messages)
        while running.process.poll() is None:  # at every moment of the shutdown, including the last
            running.process.send_signal(repeated_signal)
        assert running.process.returncode == 0
        assert client.answer(seq)[0] == "failed"
        assert client.count[seq] == 1


@pytest.mark.parametrize(("stop_ms", "connections"), [(400, 1), (1200, 8), (2600, 3), (3200, 1)])
def test_a_process_with_a_management_address_and_no_replacement_ends_before_its_stop_time(
    tmp_path: Path, stop_ms: int, connections: int
) -> None:
    """Guards against a shutdown that counts on the time of a hand-over while no replacement runs: answers were lost."""
    made = class_settings(("slow", "free", 9000.0))
    with server_process(tmp_path, mgmt=True, given={"stop_ms": stop_ms, "settings": made}) as running:
        clients = [ThriftClient(running.ports[0]) for _ in range(connections)]
        requests = [(client, client.send("slow", b"ms=60000")) for client in clients for _ in range(4)]
        for client in clients:
            assert client.answer(client.send_message("ping", full=False))
        until(lambda: running.engine.starts)
        assert running.stop_within(stop_ms / 1000.0) == 0
        assert all(client.ended.wait(20) and client.count[seq] == 1 for client, seq in requests)


def test_a_stop_time_longer_than_that_of_a_handover_is_used(tmp_path: Path) -> None:
    """Guards against the time of a hand-over, 3.7 s, in a shutdown without a replacement that has more time."""
    with server_process(tmp_path, mgmt=True, given={"stop_ms": 8000}) as running:
        client = ThriftClient(running.ports[0])
        seq = client.send("render", b"ms=4500")
        until(lambda: running.engine.starts)
        running.process.terminate()
        assert client.answer(seq)[0] == "success"
        assert running.process.wait(20) == 0


def test_no_request_runs_after_the_grace_of_a_process_with_a_management_address(tmp_path: Path) -> None:
    """Guards against a shutdown without a replacement that sets no grace period: every request ran until its end."""
    with server_process(tmp_path, mgmt=True, given={"stop_ms": 4000}) as running:
        early = ThriftClient(running.ports[0])
        late = ThriftClient(running.ports[0])
        seq = early.send("render", b"ms=2500")
        until(lambda: running.engine.starts)
        running.process.terminate()
        in_grace = ThriftClient(running.ports[0]).ask("fetch", b"in grace")
        time.sleep(1.1)
        assert late.ask("fetch", b"past grace")[0] == "refused"
        assert in_grace[0] in ("success", "refused")
        assert b"past grace" not in running.engine.starts_by_body
        assert early.answer(seq)[0] == "success"
        assert running.process.wait(20) == 0


def test_a_replacement_that_has_died_makes_no_handover(handover_folders: HandoverFolders) -> None:
    """Guards against counting a replacement that no longer runs: its old process has `stop_ms` only."""
    shared = {"mgmt": True, "shared": handover_folders.shared}
    with server_process(handover_folders.old, given={"stop_ms": 1500}, **shared) as old:
        with server_process(handover_folders.new, listen=f"127.0.0.1:{old.ports[0]}", **shared) as new:
            new.process.kill()
            new.process.wait(20)
        client = ThriftClient(old.ports[0])
        seq = client.send("render", b"ms=5000")
        until(lambda: old.engine.starts)
        assert old.stop_within(1.5) == 0
        assert client.ended.wait(20)
        assert client.count[seq] == 1
        assert (old.event("termination requested") or {})["replacement"] == "absent"


def test_a_replacement_that_is_told_to_end_has_none_itself(handover_folders: HandoverFolders) -> None:
    """Guards against a waiting process that takes its own announcement for that of another one."""
    shared = {"mgmt": True, "shared": handover_folders.shared}
    with (
        server_process(handover_folders.old, **shared) as old,
        server_process(handover_folders.new, listen=f"127.0.0.1:{old.ports[0]}", **shared) as new,
    ):
        assert new.stop() == 0
        assert (new.event("termination requested") or {})["replacement"] == "absent"
        assert old.stop() == 0
        assert (old.event("termination requested") or {})["replacement"] == "absent"


def test_without_a_usable_folder_a_shutdown_ends_before_the_earlier_of_both_kills(tmp_path: Path) -> None:
    """Guards against the longer time, `stop_ms`, where a replacement can't be seen: that of a hand-over is 3.7 s."""
    given = {"stop_ms": 8000, "settings": class_settings(("slow", "free", 9000.0))}
    with server_process(tmp_path, mgmt=True, shared=tmp_path / "missing", given=given) as running:
        client = ThriftClient(running.ports[0])
        seq = client.send("slow", b"ms=60000")
        until(lambda: running.engine.starts)
        assert running.stop_within(3.7) == 0
        assert client.ended.wait(20)
        assert client.count[seq] == 1
        assert (running.event("termination requested") or {})["replacement"] == "unknown"
