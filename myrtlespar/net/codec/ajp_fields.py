"""Codec for the data types of AJP13: packets, strings and headers."""

from __future__ import annotations

import struct

from myrtlespar.errors import MyrtlesparError

# First two bytes of a packet, by its direction.
TO_SERVLET = b"\x12\x34"
TO_GATEWAY = b"AB"
PACKET_HEAD_BYTES = 4
DEFAULT_MAX_PACKET_BYTES = 8192

# Well-known headers in the order of their codes, the first of which is 1.
REQUEST_HEADERS = (
    "accept accept-charset accept-encoding accept-language authorization connection "
    "content-type content-length cookie cookie2 host pragma referer user-agent"
).split()
REPLY_HEADERS = (
    "content-type content-language content-length date last-modified location set-cookie "
    "set-cookie2 servlet-engine status www-authenticate"
).split()
HEADER_CODE_PREFIX = 0xA0  # high byte of a well-known header's code
NULL_STRING_LENGTH = 0xFFFF  # length field of a null string
Headers = tuple[tuple[str, str], ...]


class MalformedPacketError(MyrtlesparError):
    """Bytes that are not a valid AJP13 packet, or values that do not fit into one."""


class PayloadReader:
    """Reads the fields of one payload in their order.

    Each method raises `MalformedPacketError` if the payload ends within the field or the field is malformed.
    """

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._position = 0

    def take(self, size: int) -> bytes:
        """Return the next `size` bytes."""
        end = self._position + size
        if end > len(self._data):
            raise MalformedPacketError("payload ends within a field")
        out = self._data[self._position : end]
        self._position = end
        return out

    def byte(self) -> int:
        """Return the next byte."""
        return self.take(1)[0]

    def number(self) -> int:
        """Return the next two bytes as a big-endian number."""
        return int.from_bytes(self.take(2), "big")

    def text(self) -> str:
        """Return the next string: a length, the characters, a zero byte. A null string is returned as an empty one."""
        size = self.number()
        if size == NULL_STRING_LENGTH:
            return ""
        value = self.take(size).decode("latin-1")
        if self.byte() != 0:
            raise MalformedPacketError("string does not end with a zero byte")
        return value

    def header(self, well_known: list[str]) -> tuple[str, str]:
        """Return the name and the value of a header; the name is sent as a code of `well_known` or as a string."""
        code = self.number()
        if code >> 8 == HEADER_CODE_PREFIX:
            index = code & 0xFF
            if not 0 < index <= len(well_known):
                raise MalformedPacketError(f"unknown header code {code:#x}")
            return well_known[index - 1], self.text()
        self._position -= 2
        name = self.text().lower()
        return name, self.text()


def encode_text(value: str | None) -> bytes:
    """Return the encoded string; None is encoded as a null string."""
    if value is None:
        return struct.pack(">H", NULL_STRING_LENGTH)
    data = value.encode("latin-1", "replace")
    return struct.pack(">H", len(data)) + data + b"\0"


def encode_headers(headers: Headers, well_known: list[str]) -> bytes:
    """Return the number of headers followed by the encoded headers."""
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
        MalformedPacketError: The packet would be longer than `max_bytes`.
    """
    size = len(payload) + PACKET_HEAD_BYTES
    if size > max_bytes:
        raise MalformedPacketError(f"packet of {size} bytes exceeds the maximum packet size")
    return direction + struct.pack(">H", len(payload)) + payload
