"""Requests and data that arrive while the server closes a connection (see docs/race-conditions.md)."""

from __future__ import annotations

import socket
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from myrtlespar.fakes import ThriftClient, server_process, settings, until
from myrtlespar.net.codec.thrift import encode, idl
from myrtlespar.net.thrift_front import ThriftConnection
from myrtlespar.net.thrift_requests import ThriftRequestReader
from myrtlespar.resource_limits import ResourceLimits
from myrtlespar.runtime.counters import Counters
from tests.gates import Gate
from tests.modified_programs import program_that_is_slow

# Delays the callback that tells the reader of the close behind so much other work of the event loop that the reader
# finds the request first.
DELAY_CLOSE = (
    "import gevent, time; [gevent.get_hub().loop.run_callback(*c) for c in [(time.sleep, 0.02)] + [(int,)] * 3000]"
)


@pytest.mark.parametrize("why", ["room", "flush"])
def test_a_request_that_crosses_our_close_runs_only_where_it_is_sent_again(tmp_path: Path, why: str) -> None:
    """The client sends the request again on another connection, so it would run twice if it also ran here."""
    gate = Gate(
        tmp_path, "myrtlespar.net.listener:Listener." + ("close_idle" if why == "room" else "end"), then=DELAY_CLOSE
    )
    with server_process(tmp_path, sockets=64, start=gate.start, given={"stop_ms": 1500}) as running:
        clients = [ThriftClient(running.ports[0]) for _ in range(11)]  # the maximum number
        for client in clients:
            assert client.answer(client.send_message("ping", full=False))
        if why == "room":
            new = ThriftClient(running.ports[0])  # the server closes clients[0] for it, as that is idle the longest
        else:
            running.process.terminate()
        gate.wait_until_reached(running)
        seq = clients[0].send("order", b"crosses")
        gate.open()
        assert clients[0].ended.wait(20)
        assert seq not in clients[0].answers
        if why == "room":
            assert new.ask("order", b"crosses")[0] == "success"
            assert running.engine.starts_by_body[b"crosses"] == 1
            assert running.counters()["in.behind_close.thrift"] == 1
        else:
            assert running.process.wait(20) == 0
            assert not running.engine.starts_by_body
        counts = until(lambda: running.event("counters"))
        assert not [name for name in counts if name.startswith("impossible")], counts


def test_a_request_that_is_complete_at_the_message_timeout_is_handled(tmp_path: Path) -> None:
    gate = Gate(
        tmp_path,
        "myrtlespar.net.socket_reader:SocketReader.has_buffered",
        "args[0]._data",
        # With this interval the first check already closes the connection.
        "import dataclasses, myrtlespar.config.platform_file as c; f = c.size_limits\n"
        "c.size_limits = lambda *args: dataclasses.replace(f(*args), idle_check_ms=2500.0)",
    )
    with server_process(tmp_path, start=gate.start) as running:
        client = ThriftClient(running.ports[0])
        assert client.answer(client.send_message("ping", full=False))
        frame = encode("invoke", 1, 7, idl.Front.invoke_args(fields={"method": "order", "rid": "ab" * 8}, body=b"late"))
        client.sock.sendall(frame[:9])
        gate.wait_until_reached(running)
        client.sock.sendall(frame[9:])
        gate.open()
        assert client.answer(7)[0] == "success"
        assert running.engine.starts_by_body[b"late"] == 1


@pytest.mark.parametrize("how", ["close", "finish"])
def test_a_request_that_is_unread_at_our_close_is_never_handled(how: str) -> None:
    """Data that arrived before the close can still be read after it.

    This happens for example when the server closes a connection because the client does not read its answers.
    """
    submitted: list[Any] = []
    with socket.create_server(("127.0.0.1", 0)) as server, socket.create_connection(server.getsockname()) as client:
        limits = ResourceLimits()
        request_classes = [SimpleNamespace(effect=None)]
        config: Any = SimpleNamespace(
            class_names=("order",),
            thrift_key="",
            limits=limits,
            settings=SimpleNamespace(classes=request_classes, marks_retries=False),
        )
        front: Any = SimpleNamespace(
            limits=limits,
            connections_opened=0,
            outbox_budget=None,
            hides_advertised_value=False,
            request_reader=ThriftRequestReader(config, Counters()),
            finish_answers=lambda connection: None,
            coordinator=SimpleNamespace(
                counters=Counters(), advertised_value=1.0, submit=submitted.append, caller_gone=submitted.append
            ),
        )
        with server.accept()[0] as sock:
            connection = ThriftConnection(front, sock)
            args = idl.Front.invoke_args(fields={"method": "order", "rid": "ab" * 8}, body=b"behind")
            client.sendall(encode("invoke", 1, 1, args) * 2)
            client.shutdown(socket.SHUT_WR)
            getattr(connection.outbox, how)()
            connection.read()
    assert not submitted


def test_a_shutdown_begins_early_enough_to_send_many_slow_answers(tmp_path: Path) -> None:
    """Each answer takes 5 ms of CPU time, as with a small share of a core; the process is killed at its stop time."""
    start = program_that_is_slow(tmp_path, "net.thrift_front", "ThriftConnection", "_answer", cpu_ms=5.0)
    many = settings(classes=[{"name": "slow", "effect": "free", "aim_ms": 4000.0, "give_up_ms": 9000.0, "worth": 1.0}])
    with server_process(tmp_path, start=start, given={"stop_ms": 2000, "settings": many}) as running:
        clients = [ThriftClient(running.ports[0]) for _ in range(10)]
        assert all(clients[0].ask("slow", b"ms=1")[0] == "success" for _ in range(30))
        seqs = [(client, client.send("slow", b"ms=60000")) for client in clients for _ in range(30)]
        for client in clients:
            assert client.answer(client.send_message("ping", full=False))
        assert running.stop_within(2.0) == 0
        assert all(client.ended.wait(20) and client.count[seq] == 1 for client, seq in seqs)


@pytest.mark.parametrize("why", ["exit", "spoilt"])
def test_a_slow_reader_gets_every_answer_although_its_bytes_cross_our_close(tmp_path: Path, why: str) -> None:
    """Answers that the client has not read are in the system's buffers at the close; a reset would discard them."""
    gate = Gate(tmp_path, "myrtlespar.net.outbox:Outbox.finish")
    with server_process(tmp_path, start=gate.start, given={"stop_ms": 2500}) as running:
        slow = socket.socket()
        slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        slow.connect(("127.0.0.1", running.ports[0]))

        def order(seq: int) -> bytes:
            fields = {"method": "fetch", "rid": f"{seq:016x}", "mem": "20.0"}
            return encode("invoke", 1, seq, idl.Front.invoke_args(fields=fields, body=b"%04d" % seq + b"x" * 2000))

        for seq in range(1, 31):
            slow.sendall(order(seq))
        until(lambda: len(running.engine.starts_by_body) == 30)
        if why == "exit":
            running.process.terminate()
        else:
            slow.sendall(b"\x7f\xff\xff\xff no frame is so long" + b"." * 50000)
        gate.wait_until_reached(running)
        slow.sendall(order(31))
        gate.open()
        if why == "exit":
            assert running.process.wait(20) == 0
        else:
            until(lambda: running.counters().get("in.bad_message.thrift"))
        data = b""
        slow.settimeout(20)
        while chunk := slow.recv(65536):
            data += chunk
        assert all(data.count(b"result of %04d" % seq) == 1 for seq in range(1, 31))
        assert b"result of 0031" not in data
        assert len(running.engine.starts_by_body) == 30
