"""Bytes of what members say about limits: `MPQ`, a version, a CRC-32, then msgpack, in one datagram."""

from __future__ import annotations

import zlib

import msgspec

from myrtlespar.net.codec.peer import (
    DATAGRAM_MOST,
    HEAD,
    NUMBER_MOST,
    MalformedPeerMessage,
    UnsupportedPeerVersion,
    is_valid_name,
)
from myrtlespar.quota.messages import (
    BudgetDrawRequest,
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
    boot: int
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
        raise MalformedPeerMessage("length")
    if data[:3] != MAGIC[:3]:
        raise MalformedPeerMessage("no magic")
    if data[3] != VERSION:
        raise UnsupportedPeerVersion("version")
    body = data[HEAD:]
    if zlib.crc32(body).to_bytes(4, "big") != data[4:HEAD]:
        raise MalformedPeerMessage("checksum")
    try:
        letter = _decoder.decode(body)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        raise MalformedPeerMessage("shape") from None
    _check(letter)
    return letter


def _check(letter: LimitDatagram) -> None:
    message = letter.message
    numbers = [letter.boot, message.rng]
    if isinstance(message, GrantRequest | GrantResponse | LeaseRequest | LeaseVote):
        numbers.append(message.no)
    rows: list[tuple[str, int]] = []
    if isinstance(message, GrantRequest):
        rows = [(want.key, want.want) for want in message.wants]
        numbers.append(message.version)
        numbers += [number for want in message.wants for number in (want.took, want.busy, want.peak)]
    elif isinstance(message, GrantResponse):
        numbers += [message.epoch, message.for_ms, message.settled]
        rows = list(message.amounts)
    elif isinstance(message, LeaseVote):
        numbers += [message.seen, message.version]
        rows = list(message.holds)
    elif isinstance(message, LeaseRequest):
        numbers.append(message.epoch)
    else:
        rows, numbers = [(message.key, 0)], [letter.boot, message.rng, message.period, message.epoch]
        numbers += (
            [message.got, message.back, message.want] if isinstance(message, BudgetDrawRequest) else [message.total]
        )
    if len(rows) > ROWS_MOST:
        raise MalformedPeerMessage("too many")
    if not all(0 <= number < NUMBER_MOST for number in numbers):
        raise MalformedPeerMessage("number")
    if not all(0 < len(key) <= KEY_MOST and key.isprintable() and 0 <= amount <= AMOUNT_MOST for key, amount in rows):
        raise MalformedPeerMessage("row")
    if not is_valid_name(letter.name) or not is_valid_name(letter.fleet):
        raise MalformedPeerMessage("name")
