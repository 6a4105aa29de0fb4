"""Codec for Thrift's strict binary protocol: messages from clients and the answers to them.

Messages are encoded by the thriftpy2 library, but decoded here, with every length checked. In the library's decoder a
negative length crashed the process, and a list of two thousand million elements that take no bytes kept it busy for
minutes.
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
ONE_WAY_METHODS = frozenset({"abort"})  # methods that have no answer

# Message types.
CALL = int(TMessageType.CALL)
REPLY = int(TMessageType.REPLY)
EXCEPTION = int(TMessageType.EXCEPTION)
ONEWAY = int(TMessageType.ONEWAY)

# Types of application exceptions.
UNKNOWN_METHOD = 1
PROTOCOL_ERROR = 7

# Types of field values.
BOOL = 2
BYTE = 3
DOUBLE = 4
I16 = 6
I32 = 8
I64 = 10
STRING = 11
STRUCT = 12
MAP = 13
SET = 14
LIST = 15
NUMBER_FORMATS = {
    value_type: struct.Struct(format_text)
    for value_type, format_text in ((BOOL, ">?"), (BYTE, ">b"), (DOUBLE, ">d"), (I16, ">h"), (I32, ">i"), (I64, ">q"))
}
STRICT_VERSION = 0x8001
MESSAGE_HEADER = struct.Struct(">HxBi")  # version, type, length of the name
MAP_HEADER = struct.Struct(">BBi")  # type of the keys, type of the values, size
LIST_HEADER = struct.Struct(">Bi")  # type of the elements, size
UNPACK_LENGTH = NUMBER_FORMATS[I32].unpack_from
MAX_DEPTH = 16  # to which structs and containers may be nested


class MalformedMessageError(MyrtlesparError):
    """A message that can't be decoded, or whose contents are invalid."""


class MalformedCallError(MalformedMessageError):
    """A call with malformed arguments; as its header is valid, it can be answered with an exception."""

    def __init__(self, name: str, sequence_number: int, text: str) -> None:
        super().__init__(text)
        self.name = name
        self.sequence_number = sequence_number


class ThriftMessage(NamedTuple):
    """One message.

    Attributes:
        name: The method's name.
        kind: The message type, such as `CALL`.
        sequence_number: Number chosen by the client, which an answer repeats.
        args: Type and value of each argument by field number; None if the method is unknown.
    """

    name: str
    kind: int
    sequence_number: int
    args: dict[int, tuple[int, Any]] | None

    def get(self, field: int, kind: int, default: Any) -> Any:
        """Return a field's value; the default if the field is absent or, as usual in Thrift, has another type."""
        found = (self.args or {}).get(field)
        return found[1] if found and found[0] == kind else default


def decode(frame: bytes) -> ThriftMessage:
    """Return the message in a frame.

    Raises:
        MalformedCallError: The message is a call with malformed arguments, which can be answered.
        MalformedMessageError: Any other malformed message.
    """
    reader = _FrameReader(frame)
    version, kind, name_length = MESSAGE_HEADER.unpack(reader.take(MESSAGE_HEADER.size))
    if version != STRICT_VERSION:
        raise MalformedMessageError("not strict binary Thrift")
    name = reader.take(name_length).decode("ascii", "replace")
    sequence_number: int = NUMBER_FORMATS[I32].unpack(reader.take(4))[0]
    try:
        return ThriftMessage(name, kind, sequence_number, reader.struct(MAX_DEPTH) if name in METHODS else None)
    except KeyError as error:
        raise _malformed_error(name, kind, sequence_number, f"type {error} is unknown") from None
    except MalformedMessageError as error:
        raise _malformed_error(name, kind, sequence_number, str(error)) from None


def _malformed_error(name: str, kind: int, sequence_number: int, text: str) -> MalformedMessageError:
    if kind == CALL and name in METHODS - ONE_WAY_METHODS:
        return MalformedCallError(name, sequence_number, text)
    return MalformedMessageError(text)


class _FrameReader:
    """Reads values from a frame in their order, with every length checked.

    Its methods raise `MalformedMessageError` for a value that exceeds the frame, and `KeyError` for an unknown type.
    """

    __slots__ = ("_data", "_position")

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._position = 0

    def take(self, size: int) -> bytes:
        """Return the next `size` bytes."""
        end = self._position + size
        if size < 0 or end > len(self._data):
            raise MalformedMessageError(f"length {size} does not fit the message")
        out = self._data[self._position : end]
        self._position = end
        return out

    def struct(self, depth: int) -> dict[int, tuple[int, Any]]:
        """Return type and value of each field of a struct by field number."""
        fields: dict[int, tuple[int, Any]] = {}
        while (kind := self.take(1)[0]) != 0:
            field = NUMBER_FORMATS[I16].unpack(self.take(2))[0]
            fields[field] = (kind, self.value(kind, depth - 1))
        return fields

    def value(self, kind: int, depth: int) -> Any:
        """Return one value; structs and containers in it may be nested up to `depth` levels."""
        if kind == STRING:
            return self.take(NUMBER_FORMATS[I32].unpack(self.take(4))[0])
        if kind in NUMBER_FORMATS:
            number_format = NUMBER_FORMATS[kind]
            return number_format.unpack(self.take(number_format.size))[0]
        if depth <= 0:
            raise MalformedMessageError("nested too deep")
        if kind == STRUCT:
            return self.struct(depth)
        if kind == MAP:
            return self._map(depth)
        if kind in (SET, LIST):
            element_type, size = LIST_HEADER.unpack(self.take(LIST_HEADER.size))
            self._check_size(size)
            return [self.value(element_type, depth - 1) for _ in range(size)]
        raise KeyError(kind)

    def _map(self, depth: int) -> dict[bytes, Any]:
        """Return the entries of a map whose keys are strings."""
        key_type, value_type, size = MAP_HEADER.unpack(self.take(MAP_HEADER.size))
        self._check_size(size)
        if key_type == value_type == STRING:
            return self._string_map(size)
        entries = [(self.value(key_type, depth - 1), self.value(value_type, depth - 1)) for _ in range(size)]
        return {key: value for key, value in entries if isinstance(key, bytes)}

    def _string_map(self, size: int) -> dict[bytes, bytes]:
        """Return a map of strings to strings; inlined for speed, as every request has one."""
        data = self._data
        position = self._position
        end = len(data)
        strings: list[bytes] = []
        for _ in range(2 * size):
            start = position + 4
            length = UNPACK_LENGTH(data, position)[0] if start <= end else -1
            position = start + length
            if length < 0 or position > end:
                raise MalformedMessageError(f"length {length} does not fit the message")
            strings.append(data[start:position])
        self._position = position
        return dict(zip(strings[::2], strings[1::2], strict=True))

    def _check_size(self, size: int) -> None:
        """Reject a container with more elements than bytes left in the frame, which could keep the process busy."""
        if not 0 <= size <= len(self._data) - self._position:
            raise MalformedMessageError(f"{size} elements do not fit the message")


def encode(name: str, kind: int, sequence_number: int, body: Any) -> bytes:
    """Return a complete frame; `body` is a struct of the Thrift interface, such as the arguments of a method."""
    buffer = TCyMemoryBuffer()
    protocol = TCyBinaryProtocol(buffer, strict_write=True)
    protocol.write_message_begin(name, kind, sequence_number)
    protocol.write_struct(body)
    protocol.write_message_end()
    data: bytes = buffer.getvalue()
    return len(data).to_bytes(4, "big") + data


def encode_exception(name: str, sequence_number: int, kind: int, text: str) -> bytes:
    """Return the complete frame of an application exception of type `kind`."""
    return encode(name, EXCEPTION, sequence_number, TApplicationException(kind, text))
