"""Hundreds of connections whose clients write slowly, stop, or send much do not take more memory than is configured."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from myrtlespar.exchange import Answer, AnswerKind
from myrtlespar.fakes import FakeGateway, ServerProcess, ThriftClient, server_process, settings, until
from myrtlespar.fakes.ajp_peers import encode_string
from myrtlespar.net.codec.thrift import encode, idl
from myrtlespar.state_machines.attempts import AttemptAction
from tests.ajp_operator_file import AJP_OPERATOR_FILE
from tests.test_request_tracker import effectful_attempt, new_tracker

CONNECTIONS = {64: 250, 192: 500}  # by the memory in MB
OPEN_REQUESTS = 32  # of one connection
FRAME_BYTES = 16384
PIECE_BYTES = 1500  # that a slow client writes at once
DUE_S = 2.7 + 0.3  # for requests of the class fetch
SAMPLE_S = 0.05
TINY_FIELDS = 1500  # that fit a frame
TINY_HEADERS = 1000  # that fit a packet
ALLOWED_HEADERS = 95
UNLIMITED_KB = 2e9  # memory of the settings, so that the policy admits every request


def resident_mb(server: ServerProcess) -> float:
    """Return the memory of the process, libraries included."""
    status = Path(f"/proc/{server.process.pid}/status").read_text()
    return float(status.split("VmRSS:")[1].split()[0]) / 1024


def request(number: int, seq: int) -> bytes:
    """Return a request with a long body and a long run."""
    fields = {"method": "render", "rid": f"{number:08x}{seq:08x}", "mem": "20.0"}
    return encode("invoke", 1, seq, idl.Front.invoke_args(fields=fields, body=b"ms=9000 ".ljust(2000, b"x")))


def request_of_tiny_fields(number: int, seq: int) -> bytes:
    """Return a request with as many fields as fit a frame."""
    fields = {"method": "render", "rid": f"{number:08x}{seq:08x}"} | {f"{n:x}": "" for n in range(TINY_FIELDS)}
    return encode("invoke", 1, seq, idl.Front.invoke_args(fields=fields, body=b"ms=9000"))[:FRAME_BYTES]


def head(header_count: int) -> bytes:
    """Return the packet of a gateway's request with many short headers, whose body is to follow."""
    rows = [encode_string(f"{n:x}") + encode_string("") for n in range(header_count)]
    rows.append(b"\xa0\x08" + encode_string("2000"))
    out = bytes([2, 4]) + b"".join(map(encode_string, ("HTTP/1.1", "/render", "127.0.0.1"))) + b"\xff\xff"
    out += encode_string("host") + struct.pack(">HBH", 80, 0, len(rows)) + b"".join(rows)
    out += b"\x0c" + encode_string("s3") + b"\xff"
    return b"\x12\x34" + struct.pack(">H", len(out)) + out


HALF_A_FRAME = struct.pack(">I", FRAME_BYTES - 4) + b"x" * (FRAME_BYTES - 200)
HALF_A_BODY = b"\x12\x34" + struct.pack(">HH", 1502, 1500) + b"x" * 1400


def open_requests(number: int) -> bytes:
    return b"".join(request(number, seq) for seq in range(1, OPEN_REQUESTS + 1))


def open_requests_of_tiny_fields(number: int) -> bytes:
    return b"".join(request_of_tiny_fields(number, seq) for seq in range(1, 5)) + HALF_A_FRAME


# What one client writes, by its number, and the index of the port that it writes to.
WRITES: dict[str, tuple[Callable[[int], bytes], int]] = {
    "half a frame": (lambda number: HALF_A_FRAME, 0),
    "open requests": (open_requests, 0),
    "open requests and half a frame": (lambda number: open_requests(number) + HALF_A_FRAME, 0),
    "tiny fields": (open_requests_of_tiny_fields, 0),
    "head of tiny headers": (lambda number: head(TINY_HEADERS) + HALF_A_BODY, 1),
    "head of allowed headers": (lambda number: head(ALLOWED_HEADERS) + HALF_A_BODY, 1),
}


class Watch:
    """Samples the memory of a process, and has another client ask it all the time, until it is stopped."""

    def __init__(self, server: ServerProcess) -> None:
        self.most_mb = 0.0
        self.slowest_s = 0.0
        self.answers = 0
        self._server = server
        self._client = ThriftClient(server.ports[0])
        self._stopped = threading.Event()
        self._threads = [threading.Thread(target=run, daemon=True) for run in (self._sample, self._ask)]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join(30)

    def _sample(self) -> None:
        while not self._stopped.wait(SAMPLE_S):
            self.most_mb = max(self.most_mb, resident_mb(self._server))

    def _ask(self) -> None:
        while not self._stopped.wait(SAMPLE_S):
            sent_at = time.monotonic()
            self._client.ask("fetch")
            self.slowest_s = max(self.slowest_s, time.monotonic() - sent_at)
            self.answers += 1


def given(memory_mb: int) -> dict[str, Any]:
    family = {**settings()["family_info"], "memory_kb": UNLIMITED_KB}
    return {
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
        "settings": settings(family_info=family),
    }


def write_slowly(clients: list[socket.socket], data: list[bytes]) -> None:
    """Have all clients write their data in turn, a piece at a time."""
    for start in range(0, max(map(len, data)), PIECE_BYTES):
        for client, rows in zip(clients, data, strict=True):
            with contextlib.suppress(OSError):  # closed by the server, or not read
                client.send(rows[start : start + PIECE_BYTES], socket.MSG_DONTWAIT)


@pytest.mark.parametrize("memory_mb", [64, 192])
@pytest.mark.parametrize("writes", list(WRITES))
def test_hundreds_of_slow_clients_stay_within_the_memory(tmp_path: Path, memory_mb: int, writes: str) -> None:
    """Guards against open requests and heads whose memory nothing bounds: the process was killed."""
    data_of, port_index = WRITES[writes]
    with server_process(tmp_path, given=given(memory_mb), operator=AJP_OPERATOR_FILE) as server:
        watch = Watch(server)
        clients = [
            socket.create_connection(("127.0.0.1", server.ports[port_index])) for _ in range(CONNECTIONS[memory_mb])
        ]
        write_slowly(clients, [data_of(number) for number in range(len(clients))])
        answered = watch.answers
        until(lambda: watch.answers >= answered + 10, "answers to another client")
        watch.stop()
        assert watch.most_mb < memory_mb
        assert watch.slowest_s < DUE_S
        for client in clients:
            client.close()
        assert server.stop() == 0


def test_a_head_of_too_many_headers_is_answered(ajp_server: ServerProcess) -> None:
    gateway = FakeGateway(ajp_server.ports[1])
    gateway.sock.sendall(head(TINY_HEADERS - 200))
    assert gateway.answer()[0] == 400
    many = {f"X-{n}": "v" for n in range(ALLOWED_HEADERS)}
    assert FakeGateway(ajp_server.ports[1]).ask("/render", b"allowed", **many)[0] == 200


def test_requests_beyond_the_memory_are_rejected_and_repeats_fail() -> None:
    """Guards against a rejection of what may have run, and against memory that is not given back."""
    tracker = new_tracker()
    tracker.settings = type(tracker.settings)((6000.0, 4000.0), (False, True), 60.0, 500.0, 2.5 * 2048)
    kinds = []
    for number, key in enumerate(["", "", "", "k"]):
        exchange = effectful_attempt(f"a{number}", key)
        exchange.may_have_run = bool(key)
        effects = tracker.submit(exchange) or []
        answer = effects[0].answer if effects[0].action is AttemptAction.DELIVER else None
        kinds.append(answer and answer.kind)
    assert kinds == [None, None, AnswerKind.REFUSED, AnswerKind.FAILED]
    tracker.reject("a0", Answer(AnswerKind.REFUSED), 1.0)
    tracker.reject("a1", Answer(AnswerKind.REFUSED), 1.0)
    assert tracker.request_bytes == 0
    assert not tracker.requests
