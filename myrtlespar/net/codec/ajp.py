"""The AJP13 codec: bytes to messages and back. No sockets here."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field

from myrtlespar.errors import MyrtlesparError

# The first bytes of a packet, which tell its direction.
TO_SERVLET = b"\x12\x34"
TO_GATEWAY = b"AB"
PACKET_HEAD_BYTES = 4
DEFAULT_MAX_PACKET_BYTES = 8192

# Codes of the messages.
FORWARD = 2
BODY = 3
HEADERS = 4
END = 5
GET_BODY = 6
SHUTDOWN = 7
PING = 8
CPONG = 9
CPING = 10

METHODS = (
    "OPTIONS GET HEAD POST PUT DELETE TRACE PROPFIND PROPPATCH MKCOL COPY MOVE LOCK UNLOCK ACL REPORT "
    "VERSION-CONTROL CHECKIN CHECKOUT UNCHECKOUT SEARCH MKWORKSPACE UPDATE LABEL MERGE "
    "BASELINE-CONTROL MKACTIVITY"
).split()
STORED_METHOD = 0xFF  # code of a method that is named in an attribute
# Well-known headers, in the order of their codes from 1 on.
REQUEST_HEADERS = (
    "accept accept-charset accept-encoding accept-language authorization connection "
    "content-type content-length cookie cookie2 host pragma referer user-agent"
).split()
REPLY_HEADERS = (
    "content-type content-language content-length date last-modified location set-cookie "
    "set-cookie2 servlet-engine status www-authenticate"
).split()
HEADER_CODE_PREFIX = 0xA0  # high byte of a well-known header's code
NO_TEXT = 0xFFFF  # the length of an absent text
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
ATTRIBUTE_CODES = {name: code for code, name in ATTRIBUTES.items()}
NAMED_ATTRIBUTE = 10
KEY_SIZE_ATTRIBUTE = 11
LAST_ATTRIBUTE = 0xFF
BODY_CHUNK_OVERHEAD_BYTES = 6  # of a packet with a part of a request's body
REPLY_CHUNK_OVERHEAD_BYTES = 8  # of a packet with a part of an answer's body
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
Headers = tuple[tuple[str, str], ...]


class MalformedPacketError(MyrtlesparError):
    """Bytes that are no AJP13 message, or values that fit none."""


@dataclass(slots=True)
class ForwardRequest:
    """A request without its body. Header names are in lower case; an attribute with a name of its own begins with @."""

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
        """Return the first header of this name, or an empty text."""
        return next((value for key, value in self.headers if key == name), "")


class PayloadReader:
    """Reads the fields of one payload in their order.

    Each method raises `MalformedPacketError` if the payload ends first or holds no such field.
    """

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._position = 0

    def take(self, size: int) -> bytes:
        """Return the next `size` bytes."""
        end = self._position + size
        if end > len(self._data):
            raise MalformedPacketError("cut short")
        out = self._data[self._position : end]
        self._position = end
        return out

    def byte(self) -> int:
        """Return the next byte."""
        return self.take(1)[0]

    def number(self) -> int:
        """Return the next two bytes as a number, the high byte first."""
        return int.from_bytes(self.take(2), "big")

    def text(self) -> str:
        """Return a text, which has its length in front and a zero byte behind; an absent one is empty."""
        size = self.number()
        if size == NO_TEXT:
            return ""
        value = self.take(size).decode("latin-1")
        if self.byte() != 0:
            raise MalformedPacketError("text without its end")
        return value

    def header(self, well_known: list[str]) -> tuple[str, str]:
        """Return the name and the value of a header; its name is a code of `well_known` or a text."""
        code = self.number()
        if code >> 8 == HEADER_CODE_PREFIX:
            index = code & 0xFF
            if not 0 < index <= len(well_known):
                raise MalformedPacketError(f"header code {code:#x}")
            return well_known[index - 1], self.text()
        self._position -= 2
        name = self.text().lower()
        return name, self.text()


def encode_text(value: str | None) -> bytes:
    """Return the bytes of a text, or of an absent one."""
    if value is None:
        return struct.pack(">H", NO_TEXT)
    data = value.encode("latin-1", "replace")
    return struct.pack(">H", len(data)) + data + b"\0"


def encode_headers(headers: Headers, well_known: list[str]) -> bytes:
    """Return the count of headers and the headers."""
    out = struct.pack(">H", len(headers))
    for name, value in headers:
        key = name.lower()
        if key in well_known:
            out += struct.pack(">BB", HEADER_CODE_PREFIX, well_known.index(key) + 1)
        else:
            out += encode_text(name)
        out += encode_text(value)
    return out


def encode_packet(direction: bytes, payload: bytes, max_bytes: int = DEFAULT_MAX_PACKET_BYTES) -> bytes:
    """Return a complete packet.

    Raises:
        MalformedPacketError: It would be longer than `max_bytes`.
    """
    size = len(payload) + PACKET_HEAD_BYTES
    if size > max_bytes:
        raise MalformedPacketError(f"packet of {size} bytes")
    return direction + struct.pack(">H", len(payload)) + payload


def decode_forward_request(payload: bytes) -> ForwardRequest:
    """Return the request in a Forward Request payload.

    Raises:
        MalformedPacketError: The payload is none.
    """
    reader = PayloadReader(payload)
    if reader.byte() != FORWARD:
        raise MalformedPacketError("no Forward Request")
    method_code = reader.byte()
    if not (1 <= method_code <= len(METHODS) or method_code == STORED_METHOD):
        raise MalformedPacketError(f"method code {method_code}")
    request = ForwardRequest("" if method_code == STORED_METHOD else METHODS[method_code - 1])
    request.protocol = reader.text()
    request.uri = reader.text()
    request.remote_addr = reader.text()
    request.remote_host = reader.text()
    request.server_name = reader.text()
    request.port = reader.number()
    request.ssl = bool(reader.byte())
    request.headers = tuple(reader.header(REQUEST_HEADERS) for _ in range(reader.number()))
    _decode_attributes(reader, request.attributes)
    if method_code == STORED_METHOD:
        request.method = request.attributes.get("stored_method", "")
    return request


def _decode_attributes(reader: PayloadReader, attributes: dict[str, str]) -> None:
    while (code := reader.byte()) != LAST_ATTRIBUTE:
        if code == KEY_SIZE_ATTRIBUTE:
            reader.number()
        elif code == NAMED_ATTRIBUTE:
            name = reader.text()
            attributes[f"@{name}"] = reader.text()
        elif code in ATTRIBUTES:
            attributes[ATTRIBUTES[code]] = reader.text()
        else:
            raise MalformedPacketError(f"attribute code {code}")


def encode_forward_request(request: ForwardRequest, max_bytes: int = DEFAULT_MAX_PACKET_BYTES) -> bytes:
    """Return a Forward Request packet.

    Raises:
        MalformedPacketError: It would be longer than `max_bytes`.
    """
    has_code = request.method in METHODS
    attributes = dict(request.attributes)
    if not has_code:
        attributes["stored_method"] = request.method
    out = bytes([FORWARD, METHODS.index(request.method) + 1 if has_code else STORED_METHOD])
    out += encode_text(request.protocol)
    out += encode_text(request.uri)
    out += encode_text(request.remote_addr)
    out += encode_text(request.remote_host or None)
    out += encode_text(request.server_name)
    out += struct.pack(">HB", request.port, request.ssl)
    out += encode_headers(request.headers, REQUEST_HEADERS)
    for name, value in attributes.items():
        if name.startswith("@"):
            out += bytes([NAMED_ATTRIBUTE]) + encode_text(name[1:])
        else:
            out += bytes([ATTRIBUTE_CODES[name]])
        out += encode_text(value)
    return encode_packet(TO_SERVLET, out + bytes([LAST_ATTRIBUTE]), max_bytes)


def encode_body_chunk(data: bytes) -> bytes:
    """Return a packet with a part of a request's body; an empty part ends the body."""
    return encode_packet(TO_SERVLET, struct.pack(">H", len(data)) + data if data else b"")


def decode_body_chunk(payload: bytes) -> bytes:
    """Return a part of a request's body; an empty one ends the body.

    Raises:
        MalformedPacketError: The payload holds none.
    """
    if not payload:
        return b""
    reader = PayloadReader(payload)
    return reader.take(reader.number())


def decode_reply_chunk(payload: bytes) -> bytes:
    """Return the part of an answer's body in a Send Body Chunk payload.

    Raises:
        MalformedPacketError: The payload holds none.
    """
    reader = PayloadReader(payload[1:])
    return reader.take(reader.number())


def max_body_chunk_bytes(max_packet_bytes: int) -> int:
    """Return how many bytes of a request's body fit one packet."""
    return max_packet_bytes - BODY_CHUNK_OVERHEAD_BYTES


def encode_reply(
    status: int, headers: Headers, body: bytes, reuse: bool, max_bytes: int = DEFAULT_MAX_PACKET_BYTES
) -> Iterator[bytes]:
    """Yield the packets of a complete answer: Send Headers, the body in parts, End Response.

    Args:
        status: The HTTP status.
        headers: The headers.
        body: The body.
        reuse: Whether the connection may carry another request.
        max_bytes: Size of the longest packet.

    Raises:
        MalformedPacketError: The headers do not fit a packet.
    """
    start_line = struct.pack(">BH", HEADERS, status) + encode_text(REASONS.get(status, "Unknown"))
    yield encode_packet(TO_GATEWAY, start_line + encode_headers(headers, REPLY_HEADERS), max_bytes)
    max_chunk_bytes = max_bytes - REPLY_CHUNK_OVERHEAD_BYTES
    for start in range(0, len(body), max_chunk_bytes):
        chunk = body[start : start + max_chunk_bytes]
        yield encode_packet(TO_GATEWAY, bytes([BODY]) + struct.pack(">H", len(chunk)) + chunk + b"\0", max_bytes)
    yield encode_end_response(reuse)


def encode_end_response(reuse: bool) -> bytes:
    """Return an End Response packet; `reuse` tells whether the connection may carry another request."""
    return encode_packet(TO_GATEWAY, bytes([END, reuse]))


def encode_get_body_chunk(size: int) -> bytes:
    """Return a Get Body Chunk packet, which asks for `size` bytes at most."""
    return encode_packet(TO_GATEWAY, struct.pack(">BH", GET_BODY, size))


def decode_send_headers(payload: bytes) -> tuple[int, Headers]:
    """Return the status and the headers in a Send Headers payload.

    Raises:
        MalformedPacketError: The payload is none.
    """
    reader = PayloadReader(payload[1:])
    status = reader.number()
    reader.text()  # the reason
    return status, tuple(reader.header(REPLY_HEADERS) for _ in range(reader.number()))
