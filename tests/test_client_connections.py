"""Client connections that send malformed data or nothing, are idle, are too many, or do not read."""

from __future__ import annotations

import signal
import socket
import struct
import threading
import time
from pathlib import Path

import pytest

from myrtlespar.fakes import (
    ServerProcess,
    ThriftClient,
    server_process,
    until,
)
from tests.request_classes import class_settings


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


def begin_request(client: ThriftClient, method: str, body: bytes, sent_bytes: int) -> bytes:
    """Send the first bytes of a request with the client's next sequence number, and return the rest."""
    frame = client.encode_request(method, body)
    client.sock.sendall(frame[:sent_bytes])
    return frame[sent_bytes:]


@pytest.mark.parametrize(
    ("pause_s", "open_ms", "sent_bytes", "connections"),
    [(2.6, 4000, 60, 1), (2.6, 0, 60, 3), (4.0, 4800, 4, 1), (5.0, 5500, 1, 2), (4.5, 1000, 90, 1)],
)
def test_a_pause_within_a_request_loses_no_request_of_its_connection(
    server: ServerProcess, pause_s: float, open_ms: int, sent_bytes: int, connections: int
) -> None:
    """Guards against ending the reading at a pause: what the client sent behind it was never answered."""
    clients = [ThriftClient(server.ports[0]) for _ in range(connections)]
    requests = []
    rests = []
    for client in clients:
        assert client.ask("fetch", b"ms=5")[0] == "success"
        if open_ms:
            requests.append((client, client.send("render", b"ms=%d" % open_ms)))
        rests.append(begin_request(client, "render", b"ms=5", sent_bytes))
        requests.append((client, client.seq))
    assert not clients[0].ended.wait(pause_s)
    for client, rest in zip(clients, rests, strict=True):
        client.sock.sendall(rest)
        requests += [(client, client.send("fetch", b"ms=5")) for _ in range(5)]
    assert {client.answer(seq)[0] for client, seq in requests} <= {"success", "refused"}
    assert not any(client.ended.is_set() for client in clients)
    assert all(client.count[seq] == 1 for client, seq in requests)


def test_a_request_that_stays_unfinished_longer_than_any_caller_waits_ends_its_connection(tmp_path: Path) -> None:
    """Guards against an unfinished message that holds a connection for ever, and against one that ends it early."""
    with server_process(tmp_path, given={"settings": class_settings(("short", "free", 2500.0))}) as running:
        client = ThriftClient(running.ports[0])
        assert client.ask("short", b"ms=5")[0] == "success"
        begin_request(client, "short", b"ms=5", 60)
        began_at = time.monotonic()
        assert client.ended.wait(20)
        assert time.monotonic() - began_at > 2.4  # the caller waits for 2.5 s
        assert running.counters()["in.unfinished.thrift"] == 1


def test_a_connection_that_stopped_within_a_message_gives_way_to_a_new_one(tmp_path: Path) -> None:
    """Guards against connections with unfinished messages that keep new clients out of a full server."""
    patient = {"settings": class_settings(("fetch", "free", 60_000.0))}  # no timeout of a message ends the connections
    with server_process(tmp_path, sockets=64, given=patient) as running:
        clients = [ThriftClient(running.ports[0]) for _ in range(11)]  # the maximum number
        for client in clients:
            assert client.ask("fetch", b"ms=5")[0] == "success"
            begin_request(client, "fetch", b"ms=5", 60)
        until(lambda: ThriftClient(running.ports[0]).ended.wait(0.1) is False, "room for a new connection")
        until(lambda: sum(client.ended.is_set() for client in clients) >= 1, "the end of a stalled connection")
        assert running.counters()["in.unfinished.thrift"] >= 1


@pytest.mark.parametrize("sent_bytes", [1, 4, 5])
def test_a_connection_with_the_first_bytes_of_a_request_is_not_closed_for_a_new_one(
    tmp_path: Path, sent_bytes: int
) -> None:
    """Guards against a connection that counts as idle because exactly the length of a frame has arrived."""
    with server_process(tmp_path, sockets=64) as running:
        clients = [ThriftClient(running.ports[0]) for _ in range(11)]  # the maximum number
        for client in clients:
            assert client.answer(client.send_message("ping", full=False))
        rest = begin_request(clients[0], "fetch", b"ms=5", sent_bytes)  # idle for the longest time but for these bytes
        until(lambda: clients[1].answer(clients[1].send_message("ping", full=False)))
        assert ThriftClient(running.ports[0]).ask("fetch", b"ms=5")[0] == "success"
        assert clients[2].ended.wait(20)
        clients[0].sock.sendall(rest)
        assert clients[0].answer(clients[0].seq)[0] == "success"
        assert running.counters()["in.idle_closed.thrift"] == 1
