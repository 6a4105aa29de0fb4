"""Messages between members about limits, and the effects that a coordinator returns to its driver.

The structs are arrays on the wire: their tags and the order of their fields must not change, their names may. The
codec checks lengths and ranges.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

import msgspec


class KeyDemand(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One key in a grant request; amounts are starts in a window, or runs in flight.

    `want` is the mean demand and `peak` the peak demand beyond the guaranteed share. `acknowledged` is the sequence
    number of the request whose response was adopted last, `in_flight` the amount in use beyond the guaranteed share.
    """

    key: str
    want: int
    acknowledged: int = 0
    in_flight: int = 0
    peak: int = 0


class GrantRequest(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=1):
    """A holder asks the leader of a shard for grants.

    `sequence_number` grows with each request of one incarnation; `version` is the holder's version of the limits.
    """

    shard_id: int
    sequence_number: int
    demands: tuple[KeyDemand, ...]
    version: int = 1


class GrantResponse(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=2):
    """The shard leader's response to the request with the same `sequence_number`.

    The amounts are granted for `duration_ms` from when that request was sent, and replace all earlier amounts of the
    same keys and holder. `settled_version` is the latest version of the limits known to be settled, 0 if none is.
    """

    shard_id: int
    epoch: int
    sequence_number: int
    duration_ms: int
    amounts: tuple[tuple[str, int], ...]
    settled_version: int = 0


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=3):
    """A candidate asks a voter to recognise no other leader of this shard for the duration of one lease.

    The `epoch` of a new candidacy is greater than any that the candidate has received.
    """

    shard_id: int
    epoch: int
    sequence_number: int


class LeaseVote(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=4):
    """A voter's response to the `LeaseRequest` with the same `sequence_number`.

    `highest_epoch` is the greatest epoch promised so far. If the vote is `granted`, it is the candidate's epoch, and
    `allowances` are all amounts of this shard that the voter may use or have in use, as (key, amount). `complete` is
    false if they did not fit, or if an earlier incarnation of the voter may have more in use.
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

    `drawn_total` is the amount that this incarnation has drawn so far, `returned_total` the amount that it has returned
    to the leader of `epoch`.
    """

    shard_id: int
    key: str
    period: int
    drawn_total: int
    epoch: int
    returned_total: int
    wanted: int


class BudgetDrawResponse(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=6):
    """The shard leader's response: the total that the incarnation has drawn, and the rest left for all members."""

    shard_id: int
    epoch: int
    key: str
    period: int
    drawn_total: int
    remaining: int


class BudgetReserveRequest(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=7):
    """A shard leader asks a voter to persist the total of a budget that may be allocated.

    With a `reserved_total` of 0 it only asks for the persisted total.
    """

    shard_id: int
    epoch: int
    key: str
    period: int
    reserved_total: int


class BudgetReserveResponse(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=8):
    """A voter's response: the reserved total of a budget period that it has persisted."""

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
    FENCED = "fenced"  # the message belongs to an epoch that was superseded by a later leader
    LATE_GRANT = "late grant"
    UNKNOWN_LIMIT = "unknown limit"
    UNKNOWN_SHARD = "other ranges"  # the sender divides the keys into more shards than this member
    LATER_VERSION = "later version"
    LOWERED = "lowered"


class SendMessage(NamedTuple):
    """Effect: send a message to a member."""

    recipient: str
    message: LimitMessage


class PersistThenSend(NamedTuple):
    """Effect: persist the budget journal, then send the message; if the write fails, send nothing."""

    recipient: str
    message: LimitMessage


class CountEvent(NamedTuple):
    """Effect: increment `counter`, and log `log_message` unless it is empty."""

    counter: LimitCounter
    log_message: str = ""


LimitEffect = SendMessage | CountEvent | PersistThenSend
