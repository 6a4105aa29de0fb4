"""Codec for the membership protocol: `MPF`, a version byte, a CRC-32, then a msgpack body.

All lengths and ranges are checked. A datagram has at most 1,200 bytes. A message over TCP has at most 2 MiB and is
preceded by its length in four bytes. Other protocols on the same socket, such as `codec.limits`, use the same header
of magic, version and checksum. The texts of the errors are short because they become parts of counter names.
"""

from __future__ import annotations

import re
import zlib
from collections.abc import Iterable
from functools import lru_cache
from typing import Any

import msgspec

from myrtlespar.errors import MyrtlesparError
from myrtlespar.membership.messages import (
    Ack,
    Body,
    GossipPush,
    IndirectProbe,
    MemberState,
    MemberUpdate,
    Packet,
    ReachabilityRow,
    ViewSync,
)

VERSION = 1
MAGIC = b"MPF" + bytes([VERSION])
NAME_CONFLICT_MAGIC = b"MPB" + bytes([VERSION])  # of the probe that a second process of a member sends to the first
MAGIC_BYTES = 3
HEADER_BYTES = 8  # size of magic, version and checksum
MAX_DATAGRAM_BYTES = 1200
MAX_STREAM_BYTES = 2 << 20
NUMBER_LIMIT = 2**53  # exclusive upper bound of all numbers but the hash and the age
HASH_LIMIT = 2**64  # exclusive upper bound
MAX_AGE_MS = 2**31
MAX_LIMIT_NAME_LENGTH = 32
MAX_UPDATES_PER_DATAGRAM = 9
MAX_ROWS_PER_DATAGRAM = 1
MAX_UNREACHABLE_PER_ROW = 8
MAX_ENTRIES_PER_SYNC = 16384
CACHED_NAMES = 8192  # size of each cache of checked names or addresses

_encoder = msgspec.msgpack.Encoder()
_packet_decoder: msgspec.msgpack.Decoder[Packet] = msgspec.msgpack.Decoder(Packet)
_sync_decoder: msgspec.msgpack.Decoder[ViewSync] = msgspec.msgpack.Decoder(ViewSync)
_NAME = re.compile(r"[!-~]{1,48}")
_ADDRESS = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})")


class MalformedPeerMessageError(MyrtlesparError):
    """Bytes that are not a valid message; the text is the reason in a word or two, and part of a counter's name."""


class UnsupportedPeerVersionError(MalformedPeerMessageError):
    """A message of another version of the protocol."""


def frame(magic: bytes, body: bytes) -> bytes:
    """Return a message: the magic, which ends with the version, the checksum of the body, and the body."""
    return magic + zlib.crc32(body).to_bytes(4, "big") + body


def unframe(magic: bytes, data: bytes) -> bytes:
    """Return the body of a message.

    Args:
        magic: The expected magic, which ends with the expected version.
        data: The message, at least HEADER_BYTES long.

    Raises:
        MalformedPeerMessageError: The magic or the checksum is wrong.
        UnsupportedPeerVersionError: The version is another one.
    """
    if data[:MAGIC_BYTES] != magic[:MAGIC_BYTES]:
        raise MalformedPeerMessageError("no magic")
    if data[MAGIC_BYTES] != magic[MAGIC_BYTES]:
        raise UnsupportedPeerVersionError("version")
    body = data[HEADER_BYTES:]
    if zlib.crc32(body).to_bytes(4, "big") != data[MAGIC_BYTES + 1 : HEADER_BYTES]:
        raise MalformedPeerMessageError("checksum")
    return body


def decode_body(decoder: msgspec.msgpack.Decoder[Any], body: bytes) -> Any:
    """Return the decoded body.

    Raises:
        MalformedPeerMessageError: The body is not valid msgpack, or does not have the type that `decoder` expects.
    """
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        raise MalformedPeerMessageError("shape") from None


def encode(message: Packet | ViewSync) -> bytes:
    """Return the encoded message with its header."""
    return frame(MAGIC, _encoder.encode(message))


def decode(data: bytes) -> Packet:
    """Return the packet in a datagram.

    Raises:
        MalformedPeerMessageError: The bytes are not a valid packet, or a value is out of range.
        UnsupportedPeerVersionError: The packet has another version than `VERSION`.
    """
    packet: Packet = _read(data, MAX_DATAGRAM_BYTES, _packet_decoder)
    if len(packet.updates) > MAX_UPDATES_PER_DATAGRAM or len(packet.reachability) > MAX_ROWS_PER_DATAGRAM:
        raise MalformedPeerMessageError("too many")
    if not (
        0 < packet.sequence_number < NUMBER_LIMIT
        and 0 <= packet.view_hash < HASH_LIMIT
        and 0 <= packet.voter_set_version < NUMBER_LIMIT
    ):
        raise MalformedPeerMessageError("number")
    body = packet.body
    _check_body(body)
    if not is_valid_address(body.address if isinstance(body, IndirectProbe) else packet.sender.address):
        raise MalformedPeerMessageError("address")
    _check_contents(packet.fleet, packet.sender, packet.updates, packet.reachability)
    return packet


def decode_sync(data: bytes) -> ViewSync:
    """Return the complete view in a message that came over TCP.

    Raises:
        MalformedPeerMessageError: The bytes are not a valid view, or a value is out of range.
        UnsupportedPeerVersionError: The message has another version than `VERSION`.
    """
    sync: ViewSync = _read(data, MAX_STREAM_BYTES, _sync_decoder)
    if len(sync.updates) > MAX_ENTRIES_PER_SYNC or len(sync.reachability) > MAX_ENTRIES_PER_SYNC:
        raise MalformedPeerMessageError("too many")
    _check_contents(sync.fleet, sync.sender, sync.updates, sync.reachability)
    return sync


def _read(data: bytes, max_bytes: int, decoder: msgspec.msgpack.Decoder[Any]) -> Any:
    if len(data) > max_bytes:
        raise MalformedPeerMessageError("oversized")
    if len(data) < HEADER_BYTES:
        raise MalformedPeerMessageError("no magic")
    return decode_body(decoder, unframe(MAGIC, data))


def _check_body(body: Body) -> None:
    if isinstance(body, GossipPush):
        return
    if not 0 <= body.probe_id < NUMBER_LIMIT:
        raise MalformedPeerMessageError("number")
    if isinstance(body, Ack):
        _check_names((body.target,))
    elif isinstance(body, IndirectProbe):
        _check_names((body.name,))


def _check_contents(
    fleet: str, sender: MemberUpdate, updates: tuple[MemberUpdate, ...], rows: tuple[ReachabilityRow, ...]
) -> None:
    _check_names((fleet,))
    for update in (sender, *updates):
        _check_update(update)
    for row in rows:
        _check_row(row)


def _check_names(names: Iterable[str]) -> None:
    if not all(is_valid_name(name) for name in names):
        raise MalformedPeerMessageError("name")


def _check_update(update: MemberUpdate) -> None:
    _check_names((update.name, update.site))
    if update.accuser:
        _check_names((update.accuser,))
    if not is_valid_address(update.address):
        raise MalformedPeerMessageError("address")
    if not (
        0 <= update.incarnation < NUMBER_LIMIT
        and 0 <= update.refutation < NUMBER_LIMIT
        and 0 <= update.age_ms <= MAX_AGE_MS
        and 0 <= update.state <= MemberState.LEFT
    ):
        raise MalformedPeerMessageError("number")


def _check_row(row: ReachabilityRow) -> None:
    names = (row.reporter, *(name for name, _ in row.unreachable))
    if len(row.unreachable) > MAX_UNREACHABLE_PER_ROW or not all(is_valid_name(name) for name in names):
        raise MalformedPeerMessageError("row")
    if not (0 <= row.incarnation < NUMBER_LIMIT and 0 <= row.version < NUMBER_LIMIT):
        raise MalformedPeerMessageError("number")


@lru_cache(maxsize=CACHED_NAMES)
def is_valid_name(name: str) -> bool:
    """Return whether a name consists of 1 to 48 printable ASCII characters other than spaces."""
    return _NAME.fullmatch(name) is not None


def is_valid_limit_name(name: str) -> bool:
    """Return whether a limit's name is a valid name without slashes, of at most MAX_LIMIT_NAME_LENGTH characters.

    With the setting `by`, a limit has one key for each value of a dimension: its name, a slash, and that value.
    """
    return is_valid_name(name) and "/" not in name and len(name) <= MAX_LIMIT_NAME_LENGTH


@lru_cache(maxsize=CACHED_NAMES)
def is_valid_address(address: str) -> bool:
    """Return whether an address has the form A.B.C.D:PORT; host names are not valid, as there is no DNS."""
    match = _ADDRESS.fullmatch(address)
    return match is not None and all(int(part) < 256 for part in match.groups()[:4]) and 0 < int(match[5]) < 65536


@lru_cache(maxsize=CACHED_NAMES)
def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of a valid address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def name_conflict_probe(fleet: str, name: str) -> bytes:
    """Return the datagram that a second process of a member sends to the first, which returns it unchanged."""
    return NAME_CONFLICT_MAGIC + f"{fleet} {name}".encode()
