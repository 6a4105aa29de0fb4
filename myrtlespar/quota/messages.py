"""Messages between members about limits, and the effects that a coordinator returns to its driver.

The structs are arrays on the wire: the order of their fields and their tags are fixed, their names are not. The codec
checks lengths and ranges.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

import msgspec


class KeyDemand(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One key in a grant request; amounts are starts in a window, or runs in flight.

    `want` is the average demand beyond the guaranteed share and `peak` the demand at its swings. `acknowledged` is the
    sequence number of the request whose response was adopted last, `in_flight` what is in use beyond the guaranteed
    share.
    """

    key: str
    want: int
    acknowledged: int = 0
    in_flight: int = 0
    peak: int = 0


class GrantRequest(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=1):
    """A holder asks the leader of a shard for grants.

    `sequence_number` grows with each request of one incarnation; `version` is that of the limits the holder uses.
    """

    shard_id: int
    sequence_number: int
    demands: tuple[KeyDemand, ...]
    version: int = 1


class GrantResponse(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=2):
    """The shard leader's response to the request of that `sequence_number`.

    The amounts hold for `duration_ms` from the sending of that request and replace all earlier ones of this holder.
    `settled_version` is the leader's version of the limits once all members adopted it, otherwise 0.
    """

    shard_id: int
    epoch: int
    sequence_number: int
    duration_ms: int
    amounts: tuple[tuple[str, int], ...]
    settled_version: int = 0


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=3):
    """A candidate asks a voter to recognise no other leader of this shard for the duration of one lease.

    `epoch` is greater than any that the candidate has heard of.
    """

    shard_id: int
    epoch: int
    sequence_number: int


class LeaseVote(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=4):
    """A voter's response to the `LeaseRequest` of that `sequence_number`.

    `highest_epoch` is the greatest epoch ever promised; if `granted`, it is the candidate's, and `allowances` are all
    amounts of this shard that the voter may still use or have in use. `complete` is false if they did not fit, or if an
    earlier incarnation of the voter may have had more in use.
    """

    shard_id: int
    sequence_number: int
    granted: bool
    highest_epoch: int
    complete: bool = True
    allowances: tuple[tuple[str, int], ...] = ()
    version: int = 1


class BudgetDrawRequest(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=5):
    """A member asks a shard leader for `wanted` more of a budget.

    `drawn_total` is what this incarnation has drawn so far, `returned_total` what it has returned to the leader of that
    `epoch`.
    """

    shard_id: int
    key: str
    period: int
    drawn_total: int
    epoch: int
    returned_total: int
    wanted: int


class BudgetDrawResponse(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=6):
    """The shard leader's response: what this incarnation has drawn in all, and what remains for all members."""

    shard_id: int
    epoch: int
    key: str
    period: int
    drawn_total: int
    remaining: int


class BudgetReserveRequest(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=7):
    """A shard leader asks a voter to persist the amount of a budget that may be handed out.

    A `reserved_total` of 0 only asks for the persisted one.
    """

    shard_id: int
    epoch: int
    key: str
    period: int
    reserved_total: int


class BudgetReserveResponse(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=8):
    """The amount of a budget's period that is persisted at this voter."""

    shard_id: int
    epoch: int
    key: str
    period: int
    reserved_total: int


LimitMessage = (
    GrantRequest
    | GrantResponse
    | LeaseRequest
    | LeaseVote
    | BudgetDrawRequest
    | BudgetDrawResponse
    | BudgetReserveRequest
    | BudgetReserveResponse
)


class LimitCounter(StrEnum):
    """Names of the counters that a coordinator increments; operators see them as `limits.NAME` with underscores."""

    LEADERSHIP_BEGAN = "keeper"
    NOT_LEADER = "not keeper"
    FENCED = "fenced"  # a message of an epoch that a later leader has ended
    LATE_GRANT = "late grant"
    UNKNOWN_LIMIT = "unknown limit"
    UNKNOWN_SHARD = "other ranges"  # the sender divides the keys into more shards
    LATER_VERSION = "later version"
    LOWERED = "lowered"


class SendMessage(NamedTuple):
    """Effect: send a message to a member."""

    recipient: str
    message: LimitMessage


class PersistThenSend(NamedTuple):
    """Effect: persist the budget journal, then send the message; if it cannot be written, send nothing."""

    recipient: str
    message: LimitMessage


class CountEvent(NamedTuple):
    """Effect: increment `counter`; `log_message` goes to the log unless it is empty."""

    counter: LimitCounter
    log_message: str = ""


LimitEffect = SendMessage | CountEvent | PersistThenSend
