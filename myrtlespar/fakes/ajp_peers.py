"""Fakes that speak AJP13: a gateway that sends requests to the server, and an AJP server as its backend."""

from __future__ import annotations

import socket
import struct
import time
from typing import Any

from myrtlespar.fakes.tcp_server import WAIT_S, FakeServer, read_exactly

MAX_PACKET_BYTES = 8188
MAX_BODY_PART_BYTES = 700

# Types of packets from an AJP server to a gateway.
SEND_BODY_CHUNK = 3
SEND_HEADERS = 4
END_RESPONSE = 5
GET_BODY_CHUNK = 6


def encode_string(value: str) -> bytes:
    """Encode a string as in AJP13: length, bytes, NUL."""
    data = value.encode()
    return struct.pack(">H", len(data)) + data + b"\0"


class FakeGateway:
    """A web server that forwards requests to the server under test on one connection."""

    def __init__(self, port: int, secret: str = "s3") -> None:
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.settimeout(WAIT_S)
        self.secret = secret

    def packet(self, payload: bytes) -> None:
        """Send one packet with this payload."""
        self.sock.sendall(b"\x12\x34" + struct.pack(">H", len(payload)) + payload)

    def forward(self, uri: str, body: bytes = b"", chunked: bool = False, method: int = 4, **headers: str) -> None:
        """Send a Forward Request, followed by the first part of the body unless it is chunked."""
        rows = [(encode_string(name.replace("_", "-")), value) for name, value in headers.items()]
        if chunked:
            rows.append((encode_string("Transfer-Encoding"), "chunked"))
        elif body:
            rows.append((b"\xa0\x08", str(len(body))))
        uri, _, query = uri.partition("?")
        out = (
            bytes([2, method])
            + encode_string("HTTP/1.1")
            + encode_string(uri)
            + encode_string("127.0.0.1")
            + b"\xff\xff"
        )
        out += encode_string("host")
        out += struct.pack(">HBH", 80, 0, len(rows)) + b"".join(name + encode_string(value) for name, value in rows)
        out += (
            (b"\x05" + encode_string(query) if query else b"")
            + b"\x06"
            + encode_string("n3")
            + b"\x0c"
            + encode_string(self.secret)
        )
        self.packet(out + b"\xff")
        self.rest = body
        if body and not chunked:
            self.part(len(body))

    def part(self, max_bytes: int) -> None:
        """Send the next part of the body, or an empty packet if there is no more."""
        size = min(max_bytes, MAX_BODY_PART_BYTES)
        part = self.rest[:size]
        self.rest = self.rest[size:]
        self.packet(struct.pack(">H", len(part)) + part if part else b"")

    def next(self) -> bytes:
        """Read the payload of the next packet."""
        magic, size = struct.unpack(">2sH", read_exactly(self.sock, 4))
        assert magic == b"AB"
        assert size <= MAX_PACKET_BYTES
        return read_exactly(self.sock, size)

    def answer(self) -> tuple[int, dict[str, str], bytes, bool]:
        """Read a complete answer.

        Returns:
            Status, headers, body, and whether the connection may be reused.
        """
        status = 0
        headers: dict[str, str] = {}
        body = b""
        while True:
            payload = self.next()
            if payload[0] == GET_BODY_CHUNK:
                self.part(struct.unpack(">H", payload[1:3])[0])
            elif payload[0] == SEND_HEADERS:
                status, headers = parse_headers(payload)
            elif payload[0] == SEND_BODY_CHUNK:
                size = struct.unpack(">H", payload[1:3])[0]
                assert len(payload) == size + 4
                assert payload[-1] == 0
                body += payload[3 : 3 + size]
            else:
                assert payload[0] == END_RESPONSE
                assert len(payload) == 2
                return status, headers, body, payload[1] == 1

    def ask(self, uri: str, body: bytes = b"", **more: Any) -> tuple[int, dict[str, str], bytes, bool]:
        """Send a request and read its answer, see `forward` and `answer`."""
        self.forward(uri, body, **more)
        return self.answer()


def parse_headers(payload: bytes) -> tuple[int, dict[str, str]]:
    """Return status and headers of a Send Headers packet; header names with a code appear as hexadecimal numbers."""
    status = struct.unpack(">H", payload[1:3])[0]
    at = 3
    at += 3 + struct.unpack(">H", payload[at : at + 2])[0]
    count = struct.unpack(">H", payload[at : at + 2])[0]
    at += 2
    headers: dict[str, str] = {}
    for _ in range(count):
        row = []
        for _ in range(2):
            size = struct.unpack(">H", payload[at : at + 2])[0]
            coded = size >> 8 == 0xA0
            row.append(hex(size) if coded else payload[at + 2 : at + 2 + size].decode())
            at += 2 if coded else 3 + size
        headers[row[0].lower()] = row[1]
    assert at == len(payload)
    return status, headers


class FakeAjpServer(FakeServer):
    """An AJP server that answers with its name and the size of the body.

    Attributes:
        script: The next answers: an HTTP status, `cut` (close the connection) or `hang` (never answer).
            After the last entry the status is 200.
        seen: The payloads of the Forward Requests received.
        seen_at: The arrival time of each of these requests, in seconds of the monotonic clock.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.script: list[str] = []
        self.seen: list[bytes] = []
        self.seen_at: list[float] = []
        super().__init__()

    def serve(self, link: socket.socket) -> None:
        """Answer requests until the connection ends."""
        while True:
            magic, size = struct.unpack(">2sH", read_exactly(link, 4))
            payload = read_exactly(link, size)
            assert magic == b"\x12\x34"
            if payload[:1] == b"\x0a":
                link.sendall(b"AB\0\x01\x09")
                continue
            self.seen_at.append(time.monotonic())
            self.seen.append(payload)
            body = b""
            want = int(payload.split(b"\xa0\x08")[1][2:].split(b"\0")[0])
            while len(body) < want:
                if body:
                    link.sendall(b"AB\0\x03\x06\x1f\xfa")
                body += read_exactly(link, struct.unpack(">2sHH", read_exactly(link, 6))[2])
            step = self.script.pop(0) if self.script else "200"
            if step == "cut":
                return None
            if step == "hang":
                return time.sleep(WAIT_S)
            out = b"\x04" + struct.pack(">H", int(step)) + encode_string("x") + b"\0\x01"
            out += encode_string("X-By") + encode_string(self.name)
            link.sendall(b"AB" + struct.pack(">H", len(out)) + out)
            part = b"%s got %d" % (self.name.encode(), len(body))
            link.sendall(b"AB" + struct.pack(">HBH", len(part) + 4, 3, len(part)) + part + b"\0")
            link.sendall(b"AB\0\x02\x05\x01")
