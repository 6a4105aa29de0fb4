"""Codec for the messages of AJP13."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field

from myrtlespar.net.codec.ajp_fields import (
    DEFAULT_MAX_PACKET_BYTES,
    PACKET_HEAD_BYTES,
    REPLY_HEADERS,
    REQUEST_HEADERS,
    TO_GATEWAY,
    TO_SERVLET,
    Headers,
    MalformedPacketError,
    PayloadReader,
    encode_headers,
    encode_packet,
    encode_text,
)

__all__ = [
    "PACKET_HEAD_BYTES",
    "TO_GATEWAY",
    "TO_SERVLET",
    "Headers",
    "MalformedPacketError",
    "encode_packet",
]

# Message type codes.
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
STORED_METHOD = 0xFF  # method code of a request whose method is in the attribute `stored_method`
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
DEFAULT_MAX_FIELDS = 100  # headers of one request, and as many attributes
BODY_CHUNK_OVERHEAD_BYTES = 6  # packet header and chunk length
REPLY_CHUNK_OVERHEAD_BYTES = 8  # packet header, message type, chunk length and terminating zero byte
REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    413: "Content Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@dataclass(slots=True)
class ForwardRequest:
    """A Forward Request message: an HTTP request without its body.

    Header names are in lower case. An attribute that is sent by name instead of by code has a key that begins with `@`.
    """

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
        """Return the value of the first header with this name, which is in lower case; empty if there is none."""
        return next((value for key, value in self.headers if key == name), "")


def decode_forward_request(payload: bytes, max_fields: int = DEFAULT_MAX_FIELDS) -> ForwardRequest:
    """Return the request in a Forward Request payload.

    Raises:
        MalformedPacketError: The payload is not a valid Forward Request, or has over `max_fields` headers or
            attributes; short ones would take many times the memory of the packet.
    """
    reader = PayloadReader(payload)
    if reader.byte() != FORWARD:
        raise MalformedPacketError("payload does not start with the type code of a Forward Request")
    method_code = reader.byte()
    if not (1 <= method_code <= len(METHODS) or method_code == STORED_METHOD):
        raise MalformedPacketError(f"unknown method code {method_code}")
    request = ForwardRequest("" if method_code == STORED_METHOD else METHODS[method_code - 1])
    request.protocol = reader.text()
    request.uri = reader.text()
    request.remote_addr = reader.text()
    request.remote_host = reader.text()
    request.server_name = reader.text()
    request.port = reader.number()
    request.ssl = bool(reader.byte())
    header_count = reader.number()
    if header_count > max_fields:
        raise MalformedPacketError(f"{header_count} headers")
    request.headers = tuple(reader.header(REQUEST_HEADERS) for _ in range(header_count))
    _decode_attributes(reader, request.attributes, max_fields)
    if method_code == STORED_METHOD:
        request.method = request.attributes.get("stored_method", "")
    return request


def _decode_attributes(reader: PayloadReader, attributes: dict[str, str], max_fields: int) -> None:
    while (code := reader.byte()) != LAST_ATTRIBUTE:
        if len(attributes) >= max_fields:
            raise MalformedPacketError("too many attributes")
        if code == KEY_SIZE_ATTRIBUTE:
            reader.number()
        elif code == NAMED_ATTRIBUTE:
            name = reader.text()
            attributes[f"@{name}"] = reader.text()
        elif code in ATTRIBUTES:
            attributes[ATTRIBUTES[code]] = reader.text()
        else:
            raise MalformedPacketError(f"unknown attribute code {code}")


def encode_forward_request(request: ForwardRequest, max_bytes: int = DEFAULT_MAX_PACKET_BYTES) -> bytes:
    """Return a Forward Request packet.

    Raises:
        MalformedPacketError: The packet would be longer than `max_bytes`.
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
    """Return a packet with a chunk of a request's body; an empty chunk ends the body."""
    return encode_packet(TO_SERVLET, struct.pack(">H", len(data)) + data if data else b"")


def decode_body_chunk(payload: bytes) -> bytes:
    """Return the chunk of a request's body in a payload; an empty chunk ends the body.

    Raises:
        MalformedPacketError: The payload is shorter than the chunk length in it.
    """
    if not payload:
        return b""
    reader = PayloadReader(payload)
    return reader.take(reader.number())


def decode_reply_chunk(payload: bytes) -> bytes:
    """Return the chunk of an answer's body in a Send Body Chunk payload.

    Raises:
        MalformedPacketError: The payload is shorter than the chunk length in it.
    """
    reader = PayloadReader(payload[1:])
    return reader.take(reader.number())


def max_body_chunk_bytes(max_packet_bytes: int) -> int:
    """Return how many bytes of a request's body fit into one packet."""
    return max_packet_bytes - BODY_CHUNK_OVERHEAD_BYTES


def encode_reply(
    status: int, headers: Headers, body: bytes, reuse: bool, max_bytes: int = DEFAULT_MAX_PACKET_BYTES
) -> Iterator[bytes]:
    """Yield the packets of a complete answer: Send Headers, Send Body Chunk for each chunk, End Response.

    Args:
        status: The HTTP status.
        headers: The headers.
        body: The body.
        reuse: Whether the connection may carry another request.
        max_bytes: Maximum size of a packet.

    Raises:
        MalformedPacketError: The headers do not fit into one packet.
    """
    start_line = struct.pack(">BH", HEADERS, status) + encode_text(REASON_PHRASES.get(status, "Unknown"))
    yield encode_packet(TO_GATEWAY, start_line + encode_headers(headers, REPLY_HEADERS), max_bytes)
    max_chunk_bytes = max_bytes - REPLY_CHUNK_OVERHEAD_BYTES
    for start in range(0, len(body), max_chunk_bytes):
        chunk = body[start : start + max_chunk_bytes]
        yield encode_packet(TO_GATEWAY, bytes([BODY]) + struct.pack(">H", len(chunk)) + chunk + b"\0", max_bytes)
    yield encode_end_response(reuse)


def encode_end_response(reuse: bool) -> bytes:
    """Return an End Response packet; `reuse` states whether the connection may carry another request."""
    return encode_packet(TO_GATEWAY, bytes([END, reuse]))


def encode_get_body_chunk(size: int) -> bytes:
    """Return a Get Body Chunk packet, which requests at most `size` bytes of the request's body."""
    return encode_packet(TO_GATEWAY, struct.pack(">BH", GET_BODY, size))


def decode_send_headers(payload: bytes) -> tuple[int, Headers]:
    """Return the status and the headers in a Send Headers payload.

    Raises:
        MalformedPacketError: The payload is not a valid Send Headers message.
    """
    reader = PayloadReader(payload[1:])
    status = reader.number()
    reader.text()  # skips the reason phrase
    return status, tuple(reader.header(REPLY_HEADERS) for _ in range(reader.number()))
