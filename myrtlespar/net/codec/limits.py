"""Bytes of what members say about limits: `MPQ`, a version, a CRC-32, then msgpack, in one datagram."""

from __future__ import annotations

import zlib

import msgspec

from myrtlespar.net.codec.peer import DATAGRAM_MOST, HEAD, NUMBER_MOST, OtherVersion, Spoilt, good_name
from myrtlespar.quota.messages import Ask, AskLease, Draw, Grants, Message, Promise

VERSION = 1
MAGIC = b"MPQ" + bytes([VERSION])
KEY_MOST = 64
ROWS_MOST = 32
AMOUNT_MOST = 10_000_000


class Letter(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One datagram: the fleet, who sends it, the boot of its life, and what it says."""

    fleet: str
    name: str
    boot: int
    message: Message


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Letter] = msgspec.msgpack.Decoder(Letter)


def encode(letter: Letter) -> bytes:
    """Its bytes; the caller keeps it small enough for a datagram."""
    body = _encoder.encode(letter)
    return MAGIC + zlib.crc32(body).to_bytes(4, "big") + body


def decode(data: bytes) -> Letter:
    """One datagram. Spoilt: it is none, or a value in it is out of range."""
    if len(data) > DATAGRAM_MOST or len(data) < HEAD:
        raise Spoilt("length")
    if data[:3] != MAGIC[:3]:
        raise Spoilt("no magic")
    if data[3] != VERSION:
        raise OtherVersion("version")
    body = data[HEAD:]
    if zlib.crc32(body).to_bytes(4, "big") != data[4:HEAD]:
        raise Spoilt("checksum")
    try:
        letter = _decoder.decode(body)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        raise Spoilt("shape") from None
    _check(letter)
    return letter


def _check(letter: Letter) -> None:
    message = letter.message
    numbers = [letter.boot, message.rng]
    if isinstance(message, Ask | Grants | AskLease | Promise):
        numbers.append(message.no)
    rows: list[tuple[str, int]] = []
    if isinstance(message, Ask):
        rows = [(want.key, want.want) for want in message.wants]
        numbers.append(message.version)
        numbers += [number for want in message.wants for number in (want.took, want.busy, want.peak)]
    elif isinstance(message, Grants):
        numbers += [message.epoch, message.for_ms, message.settled]
        rows = list(message.amounts)
    elif isinstance(message, Promise):
        numbers += [message.seen, message.version]
        rows = list(message.holds)
    elif isinstance(message, AskLease):
        numbers.append(message.epoch)
    else:
        rows, numbers = [(message.key, 0)], [letter.boot, message.rng, message.period, message.epoch]
        numbers += [message.got, message.back, message.want] if isinstance(message, Draw) else [message.total]
    if len(rows) > ROWS_MOST:
        raise Spoilt("too many")
    if not all(0 <= number < NUMBER_MOST for number in numbers):
        raise Spoilt("number")
    if not all(0 < len(key) <= KEY_MOST and key.isprintable() and 0 <= amount <= AMOUNT_MOST for key, amount in rows):
        raise Spoilt("row")
    if not good_name(letter.name) or not good_name(letter.fleet):
        raise Spoilt("name")
