"""Bytes of what members say about limits: `MPQ`, a version, a CRC-32, then msgpack, in one datagram."""

from __future__ import annotations

import zlib

import msgspec

from myrtlespar.net.codec.peer import (
    DATAGRAM_MOST,
    HEAD,
    NUMBER_MOST,
    MalformedPeerMessageError,
    UnsupportedPeerVersionError,
    is_valid_name,
)
from myrtlespar.quota.messages import (
    BudgetDrawRequest,
    BudgetDrawResponse,
    GrantRequest,
    GrantResponse,
    LeaseRequest,
    LeaseVote,
    LimitMessage,
)

VERSION = 1
MAGIC = b"MPQ" + bytes([VERSION])
KEY_MOST = 64
ROWS_MOST = 32
AMOUNT_MOST = 10_000_000


class LimitDatagram(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One datagram: the fleet, who sends it, the boot of its life, and what it says."""

    fleet: str
    name: str
    incarnation: int
    message: LimitMessage


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[LimitDatagram] = msgspec.msgpack.Decoder(LimitDatagram)


def encode(letter: LimitDatagram) -> bytes:
    """Its bytes; the caller keeps it small enough for a datagram."""
    body = _encoder.encode(letter)
    return MAGIC + zlib.crc32(body).to_bytes(4, "big") + body


def decode(data: bytes) -> LimitDatagram:
    """One datagram. Spoilt: it is none, or a value in it is out of range."""
    if len(data) > DATAGRAM_MOST or len(data) < HEAD:
        raise MalformedPeerMessageError("length")
    if data[:3] != MAGIC[:3]:
        raise MalformedPeerMessageError("no magic")
    if data[3] != VERSION:
        raise UnsupportedPeerVersionError("version")
    body = data[HEAD:]
    if zlib.crc32(body).to_bytes(4, "big") != data[4:HEAD]:
        raise MalformedPeerMessageError("checksum")
    try:
        letter = _decoder.decode(body)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        raise MalformedPeerMessageError("shape") from None
    _check(letter)
    return letter


def _check(letter: LimitDatagram) -> None:
    message = letter.message
    numbers = [letter.incarnation, message.shard_id]
    if isinstance(message, GrantRequest | GrantResponse | LeaseRequest | LeaseVote):
        numbers.append(message.sequence_number)
    rows: list[tuple[str, int]] = []
    if isinstance(message, GrantRequest):
        rows = [(want.key, want.want) for want in message.demands]
        numbers.append(message.version)
        numbers += [number for want in message.demands for number in (want.acknowledged, want.in_flight, want.peak)]
    elif isinstance(message, GrantResponse):
        numbers += [message.epoch, message.duration_ms, message.settled_version]
        rows = list(message.amounts)
    elif isinstance(message, LeaseVote):
        numbers += [message.highest_epoch, message.version]
        rows = list(message.allowances)
    elif isinstance(message, LeaseRequest):
        numbers.append(message.epoch)
    else:
        rows, numbers = [(message.key, 0)], [letter.incarnation, message.shard_id, message.period, message.epoch]
        if isinstance(message, BudgetDrawRequest):
            numbers += [message.drawn_total, message.returned_total, message.wanted]
        elif isinstance(message, BudgetDrawResponse):
            numbers.append(message.drawn_total)
        else:
            numbers.append(message.reserved_total)
    if len(rows) > ROWS_MOST:
        raise MalformedPeerMessageError("too many")
    if not all(0 <= number < NUMBER_MOST for number in numbers):
        raise MalformedPeerMessageError("number")
    if not all(0 < len(key) <= KEY_MOST and key.isprintable() and 0 <= amount <= AMOUNT_MOST for key, amount in rows):
        raise MalformedPeerMessageError("row")
    if not is_valid_name(letter.name) or not is_valid_name(letter.fleet):
        raise MalformedPeerMessageError("name")
