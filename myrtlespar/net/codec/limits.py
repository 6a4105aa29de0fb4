"""Codec for the datagrams about limits that members exchange: `MPQ`, a version byte, a CRC-32, then a msgpack body.

The texts of the errors are short because they become parts of counter names.
"""

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
MAX_KEY_LENGTH = 64  # in characters
MAX_ROWS_PER_DATAGRAM = 32
MAX_AMOUNT = 10_000_000

BudgetMessage = BudgetDrawRequest | BudgetDrawResponse | BudgetReserveRequest | BudgetReserveResponse
KeyAmounts = list[tuple[str, int]]


class LimitDatagram(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A decoded datagram.

    Attributes:
        fleet: Name of the sender's fleet.
        name: Name of the sender.
        incarnation: Incarnation of the sender.
        message: The message.
    """

    fleet: str
    name: str
    incarnation: int
    message: LimitMessage


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[LimitDatagram] = msgspec.msgpack.Decoder(LimitDatagram)


def encode(datagram: LimitDatagram) -> bytes:
    """Return the encoded datagram. The caller has to check its size: it may exceed `MAX_DATAGRAM_BYTES`."""
    return frame(MAGIC, _encoder.encode(datagram))


def decode(data: bytes) -> LimitDatagram:
    """Return the decoded datagram.

    Raises:
        MalformedPeerMessageError: The bytes are not a valid datagram, or a value is out of range.
        UnsupportedPeerVersionError: The datagram has another version than `VERSION`.
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
    """Return the keys of a message with their amounts, and all its other numbers except the shard id."""
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
