"""Bytes of what members send each other about limits: `MPQ`, a version, a CRC-32, then msgpack, in one datagram."""

from __future__ import annotations

import msgspec

from myrtlespar.net.codec.peer import (
    HEADER_BYTES,
    MAX_DATAGRAM_BYTES,
    NUMBER_LIMIT,
    MalformedPeerMessageError,
    decode_body,
    frame,
    is_valid_name,
    unframe,
)
from myrtlespar.quota.messages import (
    BudgetDrawRequest,
    BudgetDrawResponse,
    BudgetReserveRequest,
    BudgetReserveResponse,
    GrantRequest,
    GrantResponse,
    LeaseRequest,
    LeaseVote,
    LimitMessage,
)

VERSION = 1
MAGIC = b"MPQ" + bytes([VERSION])
MAX_KEY_LENGTH = 64  # characters
MAX_ROWS_PER_DATAGRAM = 32
MAX_AMOUNT = 10_000_000

BudgetMessage = BudgetDrawRequest | BudgetDrawResponse | BudgetReserveRequest | BudgetReserveResponse
KeyAmounts = list[tuple[str, int]]


class LimitDatagram(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One datagram: the fleet, the sender's name and incarnation, and its message."""

    fleet: str
    name: str
    incarnation: int
    message: LimitMessage


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[LimitDatagram] = msgspec.msgpack.Decoder(LimitDatagram)


def encode(datagram: LimitDatagram) -> bytes:
    """Return the bytes of a datagram, which may exceed `MAX_DATAGRAM_BYTES`: the caller checks that."""
    return frame(MAGIC, _encoder.encode(datagram))


def decode(data: bytes) -> LimitDatagram:
    """Return the datagram in these bytes.

    MalformedPeerMessageError if there is none or a value is out of range; UnsupportedPeerVersionError if its version is
    another one.
    """
    if len(data) > MAX_DATAGRAM_BYTES or len(data) < HEADER_BYTES:
        raise MalformedPeerMessageError("length")
    datagram: LimitDatagram = decode_body(_decoder, unframe(MAGIC, data))
    _check(datagram)
    return datagram


def _check(datagram: LimitDatagram) -> None:
    message = datagram.message
    rows, numbers = _contents(message)
    if len(rows) > MAX_ROWS_PER_DATAGRAM:
        raise MalformedPeerMessageError("too many")
    if not all(0 <= number < NUMBER_LIMIT for number in (datagram.incarnation, message.shard_id, *numbers)):
        raise MalformedPeerMessageError("number")
    if not all(_is_valid_row(key, amount) for key, amount in rows):
        raise MalformedPeerMessageError("row")
    if not is_valid_name(datagram.name) or not is_valid_name(datagram.fleet):
        raise MalformedPeerMessageError("name")


def _is_valid_row(key: str, amount: int) -> bool:
    return 0 < len(key) <= MAX_KEY_LENGTH and key.isprintable() and 0 <= amount <= MAX_AMOUNT


def _contents(message: LimitMessage) -> tuple[KeyAmounts, list[int]]:
    """Keys with their amounts, and all other numbers but the shard's, of a message."""
    if isinstance(message, GrantRequest):
        rows = [(demand.key, demand.want) for demand in message.demands]
        numbers = [message.sequence_number, message.version]
        for demand in message.demands:
            numbers += [demand.acknowledged, demand.in_flight, demand.peak]
        return rows, numbers
    if isinstance(message, GrantResponse):
        numbers = [message.sequence_number, message.epoch, message.duration_ms, message.settled_version]
        return list(message.amounts), numbers
    if isinstance(message, LeaseVote):
        return list(message.allowances), [message.sequence_number, message.highest_epoch, message.version]
    if isinstance(message, LeaseRequest):
        return [], [message.sequence_number, message.epoch]
    return [(message.key, 0)], _budget_numbers(message)


def _budget_numbers(message: BudgetMessage) -> list[int]:
    numbers = [message.period, message.epoch]
    if isinstance(message, BudgetDrawRequest):
        return [*numbers, message.drawn_total, message.returned_total, message.wanted]
    if isinstance(message, BudgetDrawResponse):
        return [*numbers, message.drawn_total]
    return [*numbers, message.reserved_total]
