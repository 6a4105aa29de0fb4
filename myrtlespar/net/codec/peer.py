"""The peer link's bytes: `MPF`, a version, a CRC-32, then msgpack. Every length and range is checked.

A datagram is at most 1,200 bytes; what goes over TCP has a length of four bytes in front and is at most 2 MiB.
"""

from __future__ import annotations

import re
import zlib
from functools import lru_cache
from typing import Any

import msgspec

from myrtlespar.errors import MyrtlesparError
from myrtlespar.membership.messages import MemberState, MemberUpdate, Packet, ReachabilityRow, ViewSync

VERSION = 1
MAGIC = b"MPF" + bytes([VERSION])
HEAD = 8  # magic, version, checksum
DATAGRAM_MOST = 1200
STREAM_MOST = 2 << 20
NUMBER_MOST = 2**53
RUMOURS_MOST, ROWS_MOST, CANNOT_MOST = 9, 1, 8  # of one datagram
ENTRIES_MOST = 16384  # of one whole view

_encoder = msgspec.msgpack.Encoder()
_packet: msgspec.msgpack.Decoder[Packet] = msgspec.msgpack.Decoder(Packet)
_sync: msgspec.msgpack.Decoder[ViewSync] = msgspec.msgpack.Decoder(ViewSync)
_NAME = re.compile(r"[!-~]{1,48}")
_ADDRESS = re.compile(r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})")


BESIDE = b"MPB" + bytes([VERSION])  # a second process of one name asks the first at its address; the same is the answer


class MalformedPeerMessageError(MyrtlesparError):
    """Bytes that hold no message; the text says why in a word."""


class UnsupportedPeerVersionError(MalformedPeerMessageError):
    """Whole, but of another version of the link."""


def encode(message: Packet | ViewSync) -> bytes:
    """The bytes of a message."""
    body = _encoder.encode(message)
    return MAGIC + zlib.crc32(body).to_bytes(4, "big") + body


def decode(data: bytes) -> Packet:
    """One datagram. Spoilt: it is none, or a value in it is out of range."""
    packet: Packet = _read(data, DATAGRAM_MOST, _packet)
    if len(packet.updates) > RUMOURS_MOST or len(packet.reachability) > ROWS_MOST:
        raise MalformedPeerMessageError("too many")
    if not (
        0 < packet.sequence_number < NUMBER_MOST
        and 0 <= packet.view_hash < 2**64
        and 0 <= packet.voter_set_version < NUMBER_MOST
    ):
        raise MalformedPeerMessageError("number")
    body = packet.body
    if not 0 <= getattr(body, "probe_id", 0) < NUMBER_MOST:
        raise MalformedPeerMessageError("number")
    for name in (getattr(body, "name", "x"), getattr(body, "target", "x")):
        if not is_valid_name(name):
            raise MalformedPeerMessageError("name")
    if not is_valid_address(getattr(body, "address", packet.sender.address)):
        raise MalformedPeerMessageError("address")
    _check(packet.fleet, packet.sender, packet.updates, packet.reachability)
    return packet


def decode_sync(data: bytes) -> ViewSync:
    """A whole view. Spoilt as above."""
    sync: ViewSync = _read(data, STREAM_MOST, _sync)
    if len(sync.updates) > ENTRIES_MOST or len(sync.reachability) > ENTRIES_MOST:
        raise MalformedPeerMessageError("too many")
    _check(sync.fleet, sync.sender, sync.updates, sync.reachability)
    return sync


def _read(data: bytes, most: int, decoder: msgspec.msgpack.Decoder[Any]) -> Any:
    if len(data) > most:
        raise MalformedPeerMessageError("oversized")
    if data[:3] != MAGIC[:3] or len(data) < HEAD:
        raise MalformedPeerMessageError("no magic")
    if data[3] != VERSION:
        raise UnsupportedPeerVersionError("version")
    body = data[HEAD:]
    if zlib.crc32(body).to_bytes(4, "big") != data[4:HEAD]:
        raise MalformedPeerMessageError("checksum")
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        raise MalformedPeerMessageError("shape") from None


def _check(fleet: str, me: MemberUpdate, rumours: tuple[MemberUpdate, ...], rows: tuple[ReachabilityRow, ...]) -> None:
    if not is_valid_name(fleet):
        raise MalformedPeerMessageError("name")
    for rumour in (me, *rumours):
        if not (
            is_valid_name(rumour.name)
            and is_valid_name(rumour.site)
            and (not rumour.accuser or is_valid_name(rumour.accuser))
        ):
            raise MalformedPeerMessageError("name")
        if not is_valid_address(rumour.address):
            raise MalformedPeerMessageError("address")
        if not (
            0 <= rumour.incarnation < NUMBER_MOST
            and 0 <= rumour.refutation < NUMBER_MOST
            and 0 <= rumour.age_ms <= 2**31
            and 0 <= rumour.state <= MemberState.LEFT
        ):
            raise MalformedPeerMessageError("number")
    for row in rows:
        if len(row.unreachable) > CANNOT_MOST or not all(
            is_valid_name(name) for name in (row.reporter, *(n for n, _ in row.unreachable))
        ):
            raise MalformedPeerMessageError("row")
        if not (0 <= row.incarnation < NUMBER_MOST and 0 <= row.version < NUMBER_MOST):
            raise MalformedPeerMessageError("number")


@lru_cache(maxsize=8192)
def is_valid_name(name: str) -> bool:
    """Printable ASCII without spaces, 1 to 48 characters."""
    return _NAME.fullmatch(name) is not None


@lru_cache(maxsize=8192)
def is_valid_address(address: str) -> bool:
    """A.B.C.D:PORT, numbers only, as there is no DNS."""
    found = _ADDRESS.fullmatch(address)
    return found is not None and all(int(part) < 256 for part in found.groups()[:4]) and 0 < int(found[5]) < 65536


@lru_cache(maxsize=8192)
def split(address: str) -> tuple[str, int]:
    """Host and port of a good address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def beside(fleet: str, name: str) -> bytes:
    """What a second process of a member says to the first, and hears from it."""
    return BESIDE + f"{fleet} {name}".encode()
