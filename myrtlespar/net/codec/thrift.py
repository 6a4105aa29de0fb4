"""Thrift's strict binary protocol: clients' messages, read with every length checked, and our answers.

The library's writer is used, its reader is not: a negative length made it crash the process, and a list of
two thousand million elements without a size of their own kept it busy for minutes.
"""

from __future__ import annotations

import struct
from pathlib import Path
from typing import Any, NamedTuple

import thriftpy2
from thriftpy2.protocol import TCyBinaryProtocol
from thriftpy2.thrift import TApplicationException, TMessageType
from thriftpy2.transport import TCyMemoryBuffer

from myrtlespar.errors import MyrtlesparError

idl: Any = thriftpy2.load(str(Path(__file__).parent / "front.thrift"), module_name="front_thrift")
METHODS = frozenset(idl.Front.thrift_services)
ONE_WAY = frozenset({"abort"})  # nobody waits for an answer to these
CALL, REPLY, EXCEPTION, ONEWAY = (
    int(kind) for kind in (TMessageType.CALL, TMessageType.REPLY, TMessageType.EXCEPTION, TMessageType.ONEWAY)
)
UNKNOWN_METHOD, PROTOCOL_ERROR = 1, 7
BOOL, BYTE, DOUBLE, I16, I32, I64, STRING, STRUCT, MAP, SET, LIST = 2, 3, 4, 6, 8, 10, 11, 12, 13, 14, 15
NUMBERS = {
    kind: struct.Struct(shape)
    for kind, shape in ((BOOL, ">?"), (BYTE, ">b"), (DOUBLE, ">d"), (I16, ">h"), (I32, ">i"), (I64, ">q"))
}
HEAD, FIELD, PAIR = struct.Struct(">HxBi"), struct.Struct(">Bh"), struct.Struct(">BBi")
SIZE = NUMBERS[I32].unpack_from
DEPTH = 16  # of structs and containers in each other


class MalformedMessageError(MyrtlesparError):
    """A message that can't be read, or that asks for nothing we know."""


class MalformedCallError(MalformedMessageError):
    """A call whose head could be read, so that it can be answered, and whose arguments could not."""

    def __init__(self, name: str, seq: int, text: str) -> None:
        super().__init__(text)
        self.name, self.seq = name, seq


class ThriftMessage(NamedTuple):
    """One message; `args` holds type and value of each field of a known method."""

    name: str
    kind: int
    seq: int
    args: dict[int, tuple[int, Any]] | None

    def get(self, field: int, kind: int, default: Any) -> Any:
        """A field's value; one of another type counts as absent, as Thrift has it."""
        found = (self.args or {}).get(field)
        return found[1] if found and found[0] == kind else default


def decode(frame: bytes) -> ThriftMessage:
    """A frame's message."""
    at = _Cursor(frame)
    version, kind, size = HEAD.unpack(at.take(8))
    if version != 0x8001:
        raise MalformedMessageError("not strict binary Thrift")
    name = at.take(size).decode("ascii", "replace")
    seq: int = NUMBERS[I32].unpack(at.take(4))[0]
    try:
        return ThriftMessage(name, kind, seq, at.struct(DEPTH) if name in METHODS else None)
    except KeyError as error:
        raise _unreadable(name, kind, seq, f"type {error} is unknown") from None
    except MalformedMessageError as error:
        raise _unreadable(name, kind, seq, str(error)) from None


def _unreadable(name: str, kind: int, seq: int, text: str) -> MalformedMessageError:
    return (
        MalformedCallError(name, seq, text)
        if kind == CALL and name in METHODS - ONE_WAY
        else MalformedMessageError(text)
    )


class _Cursor:
    """Reads values from a frame."""

    __slots__ = ("at", "data")

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def take(self, size: int) -> bytes:
        """So many bytes. Guards against lengths that are negative or reach past the frame."""
        end = self.at + size
        if size < 0 or end > len(self.data):
            raise MalformedMessageError(f"length {size} does not fit the message")
        out = self.data[self.at : end]
        self.at = end
        return out

    def struct(self, depth: int) -> dict[int, tuple[int, Any]]:
        """All fields."""
        fields: dict[int, tuple[int, Any]] = {}
        while (kind := self.take(1)[0]) != 0:
            field = NUMBERS[I16].unpack(self.take(2))[0]
            fields[field] = (kind, self.value(kind, depth - 1))
        return fields

    def value(self, kind: int, depth: int) -> Any:
        """One value. Guards the stack against values nested too deep."""
        if kind == STRING:
            return self.take(NUMBERS[I32].unpack(self.take(4))[0])
        if kind in NUMBERS:
            shape = NUMBERS[kind]
            return shape.unpack(self.take(shape.size))[0]
        if depth <= 0:
            raise MalformedMessageError("nested too deep")
        if kind == STRUCT:
            return self.struct(depth)
        if kind == MAP:
            keys, values, size = PAIR.unpack(self.take(6))
            self._fits(size)
            if keys == values == STRING:
                return self._texts(size)
            rows = [(self.value(keys, depth - 1), self.value(values, depth - 1)) for _ in range(size)]
            return {key: value for key, value in rows if isinstance(key, bytes)}
        if kind in (SET, LIST):
            of, size = struct.unpack(">Bi", self.take(5))
            self._fits(size)
            return [self.value(of, depth - 1) for _ in range(size)]
        raise KeyError(kind)

    def _texts(self, size: int) -> dict[bytes, bytes]:
        """Pairs of strings: every request carries some, so they are read without a call for each."""
        data, at, end, words = self.data, self.at, len(self.data), list[bytes]()
        for _ in range(2 * size):
            start = at + 4
            length = SIZE(data, at)[0] if start <= end else -1
            at = start + length
            if length < 0 or at > end:
                raise MalformedMessageError(f"length {length} does not fit the message")
            words.append(data[start:at])
        self.at = at
        return dict(zip(words[::2], words[1::2], strict=True))

    def _fits(self, size: int) -> None:
        """Guards the core's time: every element takes a byte at least."""
        if not 0 <= size <= len(self.data) - self.at:
            raise MalformedMessageError(f"{size} elements do not fit the message")


def encode(name: str, kind: int, seq: int, body: Any) -> bytes:
    """A whole frame."""
    buffer = TCyMemoryBuffer()
    out = TCyBinaryProtocol(buffer, strict_write=True)
    out.write_message_begin(name, kind, seq)
    out.write_struct(body)
    out.write_message_end()
    data: bytes = buffer.getvalue()
    return len(data).to_bytes(4, "big") + data


def exception(name: str, seq: int, kind: int, text: str) -> bytes:
    """An application exception, whole."""
    return encode(name, EXCEPTION, seq, TApplicationException(kind, text))
