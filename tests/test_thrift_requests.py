"""Requests over Thrift: bodies, answers, aborts, malformed fields, and requests that arrive in parts."""

from __future__ import annotations

import socket
import struct
import time
from pathlib import Path

import pytest

from myrtlespar.fakes import (
    ServerProcess,
    ThriftClient,
    read_exactly,
    server_process,
    until,
)
from myrtlespar.fakes.scripted_engine import ScriptedEngine
from myrtlespar.net.codec.thrift import encode, idl


def test_body_calls_and_result_pass_byte_for_byte(server: ServerProcess) -> None:
    body = b"calls=2 " + bytes(range(256))
    kind, answer = ThriftClient(server.ports[0]).ask("render", body)
    assert (kind, answer.body, answer.good) == ("success", b"result of " + body, True)
    assert 0 <= float(answer.fields["hint"]) <= 1
    assert [call for _, call in server.dependency.calls] == [b"call %d of " % n + body for n in range(2)]
    assert server.engine.replies == [b"reply\r\nto call %d of " % n + body for n in range(2)]


@pytest.mark.parametrize(
    ("body", "kind"), [(b"end=FAIL", "failed"), (b"end=NOOP", "failed"), (b"end=KILLED", "failed")]
)
def test_failed_runs_are_answered_as_failed(server: ServerProcess, body: bytes, kind: str) -> None:
    assert ThriftClient(server.ports[0]).ask("order", body)[0] == kind


def test_answers_may_come_out_of_order_and_ping_is_answered(server: ServerProcess) -> None:
    client = ThriftClient(server.ports[0])
    slow = client.send("render", b"ms=400")
    fast = client.send("fetch", b"ms=1")
    assert client.answer(fast)[0] == "success"
    assert slow not in client.answers
    assert client.answer(client.send_message("ping", full=True))[1].good
    assert client.answer(slow)[0] == "success"


@pytest.mark.parametrize(
    ("method", "fields"),
    [
        ("moon", {}),
        ("render", {"rid": ""}),
        ("render", {"rid": "a b"}),
        ("render", {"t0": "soon"}),
        ("render", {"mem": "-1"}),
        ("render", {"t0": "nan"}),
    ],
)
def test_bad_requests_get_an_exception_and_the_connection_stays_open(
    server: ServerProcess, method: str, fields: dict[str, str]
) -> None:
    client = ThriftClient(server.ports[0])
    assert client.ask(method, b"", **fields)[0] == "exception"
    assert client.ask("fetch")[0] == "success"


def test_unknown_method_is_named_and_33rd_open_request_is_refused(server: ServerProcess) -> None:
    sock = socket.create_connection(("127.0.0.1", server.ports[0]))
    body = b"\x80\x01\x00\x01" + struct.pack(">I", 4) + b"moon" + struct.pack(">I", 7) + b"\0"
    sock.sendall(struct.pack(">I", len(body)) + body)
    reply = read_exactly(sock, struct.unpack(">I", read_exactly(sock, 4))[0])
    assert reply[3] == 3
    assert b"unknown method" in reply
    client = ThriftClient(server.ports[0])
    seqs = [client.send("render", b"ms=300") for _ in range(33)]
    assert client.answer(seqs[-1])[0] == "refused"


def test_an_aborted_queued_request_never_runs_and_gets_no_answer(server: ServerProcess) -> None:
    client = ThriftClient(server.ports[0])
    running = [client.send("render", b"ms=1000") for _ in range(3)]
    until(lambda: server.engine.starts)
    held = client.send("order", b"never")
    client.send_message("abort", seqid=held)
    assert [client.answer(seq)[0] for seq in running] == ["success"] * 3
    assert client.ask("fetch")[0] == "success"
    assert held not in client.answers
    assert b"never" not in server.engine.starts_by_body
    assert client.count[running[0]] == 1


def test_overload_answers_all_by_the_due_time_with_a_retry_after(server: ServerProcess) -> None:
    clients = [ThriftClient(server.ports[0]) for _ in range(4)]
    began = time.time() * 1000
    sent = [(client, client.send("render", b"ms=300"), began) for client in clients for _ in range(16)]
    answers = [client.answer(seq) for client, seq, _ in sent]
    refused = [answer for kind, answer in answers if kind == "refused"]
    assert refused
    assert all(float(answer.fields["backoff"]) > 0 for answer in refused)
    assert all(client.times[seq] - at < 6100 + 150 for client, seq, at in sent)
    assert all(count == 1 for client in clients for count in client.count.values())


def test_a_client_that_shuts_down_its_sending_side_gets_all_answers(
    scripted: tuple[ServerProcess, ScriptedEngine, ThriftClient],
) -> None:
    server, engine, client = scripted
    seqs = [client.send("tide", b"one"), client.send("booking", b"two", token="dd")]
    until(engine.read)
    until(engine.read)
    client.sock.sendall(b"\0\0")  # half of a frame's length, so not a request
    client.sock.shutdown(socket.SHUT_WR)
    until(lambda: server.counters().get("in.half_closed.thrift"))
    for body in (b"one", b"two"):
        engine.end(body, "PASS")
        until(engine.send_next_notice)
    assert [client.answer(seq)[0] for seq in seqs] == ["success"] * 2
    assert client.ended.wait(20)
    assert set(client.count.values()) == {1}


@pytest.mark.parametrize("notice", [False, True])
@pytest.mark.parametrize("at", [1, 4, 5, 40, -1])
def test_a_request_that_arrives_in_two_parts_is_handled_once_complete(tmp_path: Path, at: int, notice: bool) -> None:
    with server_process(tmp_path) as running:
        client = ThriftClient(running.ports[0])
        assert client.answer(client.send_message("ping", full=False))
        fields = {"method": "order", "rid": "ab" * 8, "t0": str(int(time.time() * 1000)), "mem": "20.0"}
        frame = encode("invoke", 1, 7, idl.Front.invoke_args(fields=fields, body=b"in two"))
        client.sock.sendall(frame[:at])
        if notice:
            running.process.terminate()
            until(lambda: client.one_way_messages)
        else:
            other = ThriftClient(running.ports[0])
            assert other.ask("fetch", b"meanwhile")[0] == "success"
        client.sock.sendall(frame[at:])
        assert client.answer(7)[0] == "success"
        assert running.engine.starts_by_body[b"in two"] == 1
        assert running.stop() == 0
        assert client.count[7] == 1
