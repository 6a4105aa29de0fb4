"""What members say to one another about limits. Shapes only; the codec checks lengths and ranges."""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class KeyDemand(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One key in an ask. `want` is what is used on average beyond the standing share, `peak` what would be at times;
    `took` the ask whose answer was taken last, `busy` the runs in hand beyond the standing share.
    """

    key: str
    want: int
    acknowledged: int = 0
    in_flight: int = 0
    peak: int = 0


class GrantRequest(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=1):
    """A holder asks the keeper of a range. `no` grows with each ask of one life; `version` is that of the limits it
    goes by.
    """

    shard_id: int
    sequence_number: int
    demands: tuple[KeyDemand, ...]
    version: int = 1


class GrantResponse(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=2):
    """The keeper's answer to ask `no`: amounts that hold for `for_ms` from the sending of that ask, in place of all
    that this holder had before. `settled` is the keeper's version of the limits once all members took it, or 0.
    """

    shard_id: int
    epoch: int
    sequence_number: int
    duration_ms: int
    amounts: tuple[tuple[str, int], ...]
    settled_version: int = 0


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=3):
    """Would you promise to recognise no other keeper of this range for one lease? `epoch` is greater than any that
    the asker has heard of.
    """

    shard_id: int
    epoch: int
    sequence_number: int


class LeaseVote(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=4):
    """The answer to `LeaseRequest(no)`. `seen` is the greatest epoch ever promised; with `ok` it is the asker's, and
    `holds` is all that the voter may still use or have in use of this range. `whole` is false where that did not fit,
    or where an earlier life of the voter may have held more.
    """

    shard_id: int
    sequence_number: int
    granted: bool
    highest_epoch: int
    complete: bool = True
    allowances: tuple[tuple[str, int], ...] = ()
    version: int = 1


class BudgetDrawRequest(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=5):
    """A member asks for `want` more of a budget. In this life it has got so much, all counted up, and has given `back`
    so much to the keeper of that epoch.
    """

    shard_id: int
    key: str
    period: int
    drawn_total: int
    epoch: int
    returned_total: int
    wanted: int


class BudgetDrawResponse(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=6):
    """The keeper's answer: what this life has been given in all, and what is left for all."""

    shard_id: int
    epoch: int
    key: str
    period: int
    drawn_total: int
    remaining: int


class BudgetReserveRequest(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=7):
    """A keeper asks an elector to write down that so much of a budget may be handed out; 0 asks what is written."""

    shard_id: int
    epoch: int
    key: str
    period: int
    reserved_total: int


class BudgetReserveResponse(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=8):
    """So much of it is on that elector's disk."""

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


class SendMessage(NamedTuple):
    """Effect: send this to that member."""

    recipient: str
    message: LimitMessage


class PersistThenSend(NamedTuple):
    """Effect: write the vault to the disk, then send this; if it can't be written, send nothing."""

    recipient: str
    message: LimitMessage


class CountEvent(NamedTuple):
    """Effect: count this under `counter`; `log_message` is for the log, if not empty."""

    counter: str
    log_message: str = ""
