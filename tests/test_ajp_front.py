"""The AJP listener: bodies, statuses, malformed packets, idle gateways, drain."""

from __future__ import annotations

import threading
import time
from pathlib import Path

import pytest

from myrtlespar.fakes import FakeGateway, ServerProcess, server_process, until
from tests.ajp_operator_file import AJP_OPERATOR_FILE


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("size", [1, 700, 2048])
def test_body_comes_in_parts_and_result_goes_back_on_one_connection(
    ajp_server: ServerProcess, size: int, chunked: bool
) -> None:
    gateway = FakeGateway(ajp_server.ports[1])
    body = bytes(n % 251 for n in range(size))
    for _ in range(2):
        assert gateway.ask("/order/7", body, chunked=chunked) == (
            200,
            {"0xa001": "application/octet-stream", "0xa003": str(size + 10)},
            b"result of " + body,
            True,
        )
    assert ajp_server.engine.starts_by_body[body] == 2
    assert {row["route"] for row in ajp_server.engine.commands if row["t"] == "SCHED"} == {"order"}


def test_without_a_body_the_engine_gets_path_and_query_and_head_gets_no_body(ajp_server: ServerProcess) -> None:
    gateway = FakeGateway(ajp_server.ports[1])
    assert gateway.ask("/fetch/a?z=9", method=2)[2] == b"result of /fetch/a?z=9"
    status, headers, body, reuse = gateway.ask("/fetch/a", method=3)
    assert (status, headers["0xa003"], body, reuse) == (200, "18", b"", True)


@pytest.mark.parametrize(("body", "status"), [(b"end=FAIL", 500), (b"end=NOOP", 500), (b"x" * 2049, 413)])
def test_failures_have_their_status(ajp_server: ServerProcess, body: bytes, status: int) -> None:
    assert FakeGateway(ajp_server.ports[1]).ask("/order", body)[0] == status


def test_a_request_that_is_not_finished_by_its_due_time_gets_504(ajp_server: ServerProcess) -> None:
    ajp_server.dependency.script = ["hang"]
    assert FakeGateway(ajp_server.ports[1]).ask("/fetch", b"calls=1 ms=5")[0] == 504


@pytest.mark.parametrize(
    ("uri", "secret", "status"),
    [("/moon", "s3", 404), ("/renderer", "s3", 404), ("/render", "s4", 403), ("/render", "", 403)],
)
def test_unknown_paths_and_wrong_secrets_are_rejected(
    ajp_server: ServerProcess, uri: str, secret: str, status: int
) -> None:
    assert FakeGateway(ajp_server.ports[1], secret).ask(uri)[0] == status
    assert not ajp_server.engine.starts


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\n\r\n", 0),
        (b"\x12\x34\xff\xff", 0),
        (b"\x12\x34\0\x03\x02\x04\0", 400),
        (b"\x12\x34\0\x01\x09", 0),
        (b"\x12\x34\0\0", 0),
    ],
)
def test_bad_packets_end_only_their_connection(ajp_server: ServerProcess, data: bytes, status: int) -> None:
    gateway = FakeGateway(ajp_server.ports[1])
    gateway.sock.sendall(data)
    if status:
        assert gateway.answer()[0] == status
    assert gateway.sock.recv(1) == b""
    assert FakeGateway(ajp_server.ports[1]).ask("/fetch", b"x")[0] == 200


@pytest.mark.parametrize("data", [b"", b"\x12", b"\x12\x34\x00\x09\x02"])
def test_silent_and_half_sent_connections_are_closed(ajp_server: ServerProcess, data: bytes) -> None:
    active = FakeGateway(ajp_server.ports[1])
    gateway = FakeGateway(ajp_server.ports[1])
    assert active.ask("/fetch")[0] == 200
    gateway.sock.sendall(data)
    assert gateway.sock.recv(1) == b""
    assert active.ask("/fetch")[0] == 200


def test_idle_gateways_are_closed_for_new_ones(tmp_path: Path) -> None:
    with server_process(tmp_path, operator=AJP_OPERATOR_FILE, sockets=100) as running:
        gateways = [FakeGateway(running.ports[1])]
        assert gateways[0].ask("/fetch")[0] == 200
        for _ in range(11):  # the AJP listener has a quarter of 44 connections
            gateways.append(FakeGateway(running.ports[1]))
            assert gateways[-1].ask("/fetch")[0] == 200
        assert gateways[0].sock.recv(1) == b""
        assert gateways[-1].ask("/fetch")[0] == 200


def test_ping_is_answered_and_remote_shutdown_is_ignored(ajp_server: ServerProcess) -> None:
    gateway = FakeGateway(ajp_server.ports[1])
    gateway.packet(b"\x07")
    gateway.packet(b"\x0a")
    assert gateway.next() == b"\x09"
    assert gateway.ask("/fetch", b"x")[0] == 200
    assert ajp_server.counters()["in.ignored.ajp"] == 1


def test_overload_is_503_with_retry_after_before_the_due_time(ajp_server: ServerProcess) -> None:
    answers: list[tuple[int, dict[str, str], float]] = []

    def ask() -> None:
        began = time.time()
        status, headers, *_ = FakeGateway(ajp_server.ports[1]).ask("/render", b"ms=300")
        answers.append((status, headers, time.time() - began))

    threads = [threading.Thread(target=ask) for _ in range(60)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    refused = [(headers, took) for status, headers, took in answers if status == 503]
    assert len(answers) == 60
    assert refused
    assert {status for status, *_ in answers} <= {200, 503}
    assert all(int(headers["retry-after"]) >= 1 and took < 6.25 for headers, took in refused)


def test_a_queued_request_whose_gateway_disconnects_never_runs(ajp_server: ServerProcess) -> None:
    busy = [FakeGateway(ajp_server.ports[1]) for _ in range(3)]
    for gateway in busy:
        gateway.forward("/render", b"ms=1000")
    until(lambda: ajp_server.engine.starts)
    leaving = FakeGateway(ajp_server.ports[1])
    leaving.forward("/order", b"never")
    until(lambda: ajp_server.counters().get("in.request.ajp") == 4)
    leaving.sock.close()
    assert [gateway.answer()[0] for gateway in busy] == [200] * 3
    assert ajp_server.counters()["answer.gone.ajp"] == 1
    assert b"never" not in ajp_server.engine.starts_by_body


def test_drain_answers_and_closes_gateways(ajp_server: ServerProcess) -> None:
    idle = FakeGateway(ajp_server.ports[1])
    busy = FakeGateway(ajp_server.ports[1])
    busy.forward("/render", b"ms=500")
    until(lambda: ajp_server.engine.starts)
    ajp_server.process.terminate()
    assert idle.sock.recv(1) == b""
    status, _, body, reuse = busy.answer()
    assert (status, body, reuse) == (200, b"result of ms=500", False)
    assert ajp_server.process.wait(20) == 0
