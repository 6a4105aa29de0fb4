"""Client connections that send malformed data or nothing, are idle, are too many, or do not read."""

from __future__ import annotations

import signal
import socket
import struct
import threading
from pathlib import Path

import pytest

from myrtlespar.fakes import (
    ServerProcess,
    ThriftClient,
    server_process,
    until,
)


def invoke(fields: bytes) -> bytes:
    """Return the frame of a call to `invoke` whose arguments are these bytes."""
    frame = b"\x80\x01\x00\x01\x00\x00\x00\x06invoke\x00\x00\x00\x09" + fields
    return struct.pack(">I", len(frame)) + frame


@pytest.mark.parametrize(
    "data",
    [
        struct.pack(">I", 1 << 31) + b"x" * 9,
        struct.pack(">I", 0) + b"x" * 9,
        struct.pack(">I", 8) + b"nonsense",
        struct.pack(">I", 20) + b"\x80\x01\x00\x01" + struct.pack(">I", 1 << 30) + b"x" * 12,
        struct.pack(">I", 9) + b"\x80\x01",  # never completed
        invoke(b"\x0b\x00\x02\xff\xff\xff\x00"),  # a string of negative length
        invoke(b"\x0f\x00\x07\x01\x7f\xff\xff\xff"),  # a long list of elements that take no bytes
        invoke(b"\x0d\x00\x01\x0b\x0b\xff\xff\xff\xff"),  # a map of negative size
        invoke(b"\x0c\x00\x07" * 5000),
        invoke(b"\x0f\x00\x07" + b"\x0f\x00\x00\x00\x01" * 5000),
    ],
    ids=[
        "long frame",
        "empty frame",
        "nonsense",
        "long name",
        "unfinished",
        "negative string length",
        "long list",
        "negative map size",
        "deep structures",
        "deep lists in a long frame",
    ],
)
def test_malformed_bytes_close_only_their_connection(server: ServerProcess, data: bytes) -> None:
    client = ThriftClient(server.ports[0])
    open_one = client.send("render", b"ms=3000" if len(data) < 10 else b"ms=400")
    until(lambda: server.engine.starts)
    client.sock.sendall(data)
    assert client.answer(open_one)[0] == "success"
    assert client.ended.wait(20)
    # Only a call with a valid header and an unused sequence number is answered.
    exceptions = {9: "exception"} if b"invoke" in data and len(data) <= 4 + 16384 else {}
    assert {seq: answer[0] for seq, answer in client.answers.items()} == {open_one: "success", **exceptions}
    assert set(client.count.values()) == {1}
    assert ThriftClient(server.ports[0]).ask("fetch")[0] == "success"


def test_a_connection_that_never_sent_a_message_is_closed_and_one_that_did_is_kept(server: ServerProcess) -> None:
    active = ThriftClient(server.ports[0])
    silent = ThriftClient(server.ports[0])
    assert active.ask("fetch")[0] == "success"
    assert silent.ended.wait(20)
    assert not silent.answers
    assert not silent.one_way_messages
    assert active.ask("fetch")[0] == "success"


def test_idle_connections_are_closed_for_new_ones_and_busy_ones_are_kept(tmp_path: Path) -> None:
    with server_process(tmp_path, sockets=100) as running:
        busy = ThriftClient(running.ports[0])
        answer = busy.send("order", b"ms=1500")
        until(lambda: running.engine.starts)
        idle = []
        for _ in range(44):
            idle.append(ThriftClient(running.ports[0]))
            assert idle[-1].ask("fetch")[0] == "success"
        assert idle[0].ended.wait(20)
        assert not idle[-1].ended.is_set()
        assert busy.answer(answer)[0] == "success"
        assert not busy.ended.is_set()
        assert running.counters()["in.idle_closed.thrift"] == 1


def test_a_client_that_does_not_read_is_disconnected_and_delays_no_other(server: ServerProcess) -> None:
    not_reading = socket.create_connection(("127.0.0.1", server.ports[0]))
    not_reading.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    malformed_call = b"\x80\x01\x00\x01" + struct.pack(">I", 40) + b"m" * 40 + struct.pack(">I", 7) + b"\0"

    def flood() -> None:
        try:
            for _ in range(400):
                not_reading.sendall((struct.pack(">I", len(malformed_call)) + malformed_call) * 500)
        except OSError:
            pass

    thread = threading.Thread(target=flood, daemon=True)
    thread.start()
    for _ in range(20):
        assert ThriftClient(server.ports[0]).ask("fetch")[0] == "success"
    thread.join(30)
    assert not thread.is_alive()
    assert server.process.poll() is None


def test_a_connection_with_an_unread_request_is_not_closed_for_a_new_one(tmp_path: Path) -> None:
    with server_process(tmp_path, sockets=64) as running:
        clients = [ThriftClient(running.ports[0]) for _ in range(11)]  # the maximum number
        for client in clients:
            assert client.answer(client.send_message("ping", full=False))
        for busy in clients[:10:2]:  # each in turn is idle the longest; the next one has to be closed instead
            running.process.send_signal(signal.SIGSTOP)
            new = ThriftClient(running.ports[0])
            seq = busy.send("fetch", b"crosses")
            running.process.send_signal(signal.SIGCONT)
            assert busy.answer(seq)[0] == "success"
            assert new.ask("fetch", b"new")[0] == "success"
        assert running.counters()["in.idle_closed.thrift"] == 5
