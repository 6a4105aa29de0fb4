"""The AJP13 codec: bytes to messages and back. No sockets here."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field

from myrtlespar.errors import MyrtlesparError

TO_SERVLET, TO_GATEWAY = b"\x12\x34", b"AB"
FORWARD, BODY, HEADERS, END, GET_BODY, SHUTDOWN, PING, CPONG, CPING = 2, 3, 4, 5, 6, 7, 8, 9, 10
METHODS = (
    "OPTIONS GET HEAD POST PUT DELETE TRACE PROPFIND PROPPATCH MKCOL COPY MOVE LOCK UNLOCK ACL REPORT "
    "VERSION-CONTROL CHECKIN CHECKOUT UNCHECKOUT SEARCH MKWORKSPACE UPDATE LABEL MERGE "
    "BASELINE-CONTROL MKACTIVITY"
).split()
STORED_METHOD = 0xFF
REQUEST_HEADERS = (
    "accept accept-charset accept-encoding accept-language authorization connection "
    "content-type content-length cookie cookie2 host pragma referer user-agent"
).split()
REPLY_HEADERS = (
    "content-type content-language content-length date last-modified location set-cookie "
    "set-cookie2 servlet-engine status www-authenticate"
).split()
ATTRIBUTES = {
    1: "context",
    2: "servlet_path",
    3: "remote_user",
    4: "auth_type",
    5: "query_string",
    6: "jvm_route",
    7: "ssl_cert",
    8: "ssl_cipher",
    9: "ssl_session",
    12: "secret",
    13: "stored_method",
}
CODES = {name: code for code, name in ATTRIBUTES.items()}
NAMED, KEY_SIZE, DONE = 10, 11, 0xFF
Headers = tuple[tuple[str, str], ...]


class MalformedPacketError(MyrtlesparError):
    """Bytes that are no AJP13 message."""


@dataclass(slots=True)
class ForwardRequest:
    """A request without its body."""

    method: str = "GET"
    uri: str = "/"
    protocol: str = "HTTP/1.1"
    remote_addr: str = "127.0.0.1"
    remote_host: str = ""
    server_name: str = "localhost"
    port: int = 80
    ssl: bool = False
    headers: Headers = ()
    attributes: dict[str, str] = field(default_factory=dict)

    def header(self, name: str) -> str:
        """The first header of this name, or nothing."""
        return next((value for key, value in self.headers if key == name), "")


class PayloadReader:
    """Reads the fields of one payload."""

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def take(self, size: int) -> bytes:
        """So many bytes."""
        if self.at + size > len(self.data):
            raise MalformedPacketError("cut short")
        self.at += size
        return self.data[self.at - size : self.at]

    def byte(self) -> int:
        """One byte."""
        return self.take(1)[0]

    def number(self) -> int:
        """Two bytes, the high one first."""
        return int.from_bytes(self.take(2), "big")

    def text(self) -> str:
        """A text with its length before and a zero behind; none is empty."""
        size = self.number()
        if size == 0xFFFF:
            return ""
        value = self.take(size).decode("latin-1")
        if self.byte() != 0:
            raise MalformedPacketError("text without its end")
        return value

    def header(self, names: list[str]) -> tuple[str, str]:
        """A header, its name as a code or a text."""
        start = self.number()
        if start >> 8 == 0xA0:
            if not 0 < (start & 0xFF) <= len(names):
                raise MalformedPacketError(f"header code {start:#x}")
            return names[(start & 0xFF) - 1], self.text()
        self.at -= 2
        return self.text().lower(), self.text()


def text(value: str | None) -> bytes:
    """A text, or none."""
    if value is None:
        return b"\xff\xff"
    data = value.encode("latin-1", "replace")
    return struct.pack(">H", len(data)) + data + b"\0"


def headers(rows: Headers, names: list[str]) -> bytes:
    """A count and so many headers."""
    out = struct.pack(">H", len(rows))
    for name, value in rows:
        key = name.lower()
        out += struct.pack(">H", 0xA001 + names.index(key)) if key in names else text(name)
        out += text(value)
    return out


def packet(magic: bytes, payload: bytes, most: int = 8192) -> bytes:
    """A whole packet."""
    if len(payload) + 4 > most:
        raise MalformedPacketError(f"packet of {len(payload) + 4} bytes")
    return magic + struct.pack(">H", len(payload)) + payload


def read_forward(payload: bytes) -> ForwardRequest:
    """A Forward Request, from its code on."""
    at = PayloadReader(payload)
    if at.byte() != FORWARD:
        raise MalformedPacketError("no Forward Request")
    code = at.byte()
    if not (1 <= code <= len(METHODS) or code == STORED_METHOD):
        raise MalformedPacketError(f"method code {code}")
    out = ForwardRequest("" if code == STORED_METHOD else METHODS[code - 1])
    out.protocol, out.uri = at.text(), at.text()
    out.remote_addr, out.remote_host, out.server_name = at.text(), at.text(), at.text()
    out.port, out.ssl = at.number(), bool(at.byte())
    out.headers = tuple(at.header(REQUEST_HEADERS) for _ in range(at.number()))
    while (kind := at.byte()) != DONE:
        if kind == KEY_SIZE:
            at.number()
        elif kind == NAMED:
            name = at.text()
            out.attributes[f"@{name}"] = at.text()
        elif kind in ATTRIBUTES:
            out.attributes[ATTRIBUTES[kind]] = at.text()
        else:
            raise MalformedPacketError(f"attribute code {kind}")
    if code == STORED_METHOD:
        out.method = out.attributes.get("stored_method", "")
    return out


def write_forward(request: ForwardRequest, most: int = 8192) -> bytes:
    """A Forward Request as a whole packet."""
    known = request.method in METHODS
    attributes = dict(request.attributes)
    if not known:
        attributes["stored_method"] = request.method
    out = bytes([FORWARD, METHODS.index(request.method) + 1 if known else STORED_METHOD])
    out += text(request.protocol) + text(request.uri) + text(request.remote_addr)
    out += text(request.remote_host or None) + text(request.server_name)
    out += struct.pack(">HB", request.port, request.ssl) + headers(request.headers, REQUEST_HEADERS)
    for name, value in attributes.items():
        code = bytes([NAMED]) + text(name[1:]) if name.startswith("@") else bytes([CODES[name]])
        out += code + text(value)
    return packet(TO_SERVLET, out + bytes([DONE]), most)


def write_chunk(data: bytes) -> bytes:
    """A part of a request's body; an empty one ends it."""
    return packet(TO_SERVLET, struct.pack(">H", len(data)) + data if data else b"")


def read_chunk(payload: bytes) -> bytes:
    """A part of a request's body."""
    if not payload:
        return b""
    at = PayloadReader(payload)
    return at.take(at.number())


def body_room(most: int) -> int:
    """Bytes of a request's body that fit one packet."""
    return most - 6


def write_reply(status: int, rows: Headers, body: bytes, reuse: bool, most: int = 8192) -> Iterator[bytes]:
    """Send Headers, the body in parts, End Response."""
    room = most - 8
    start_line = struct.pack(">BH", HEADERS, status) + text(REASONS.get(status, "Unknown"))
    yield packet(TO_GATEWAY, start_line + headers(rows, REPLY_HEADERS), most)
    for start in range(0, len(body), room):
        part = body[start : start + room]
        yield packet(TO_GATEWAY, bytes([BODY]) + struct.pack(">H", len(part)) + part + b"\0", most)
    yield end(reuse)


def end(reuse: bool) -> bytes:
    """End Response."""
    return packet(TO_GATEWAY, bytes([END, reuse]))


def get_body(size: int) -> bytes:
    """Get Body Chunk."""
    return packet(TO_GATEWAY, struct.pack(">BH", GET_BODY, size))


def read_headers(payload: bytes) -> tuple[int, Headers]:
    """Status and headers of a Send Headers payload."""
    at = PayloadReader(payload[1:])
    status = at.number()
    at.text()
    return status, tuple(at.header(REPLY_HEADERS) for _ in range(at.number()))


REASONS = {
    200: "OK",
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    413: "Content Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
