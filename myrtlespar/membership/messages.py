"""What members say to one another, and what the machine asks its driver to do. Shapes only.

The structs are msgspec's, so that the codec in `net/codec` needs no second set of types; names are at most 48
characters, addresses at most 64 (the codec checks). Ages are whole milliseconds.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

import msgspec


class MemberState(IntEnum):
    """What is believed of a member, by gravity."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3


ALIVE, SUSPECT, FAILED, LEFT = MemberState.ALIVE, MemberState.SUSPECT, MemberState.FAILED, MemberState.LEFT
HERE = (ALIVE, SUSPECT)
UpdatePrecedence = tuple[int, int, int]  # boot, counter, state: the greater one holds


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A statement about one member. `boot` (Unix ms of its start) and `counter` (raised by itself only, to refute)
    are its life; `by` is who accuses it, with SUSPECT only; `age_ms` is how old the evidence is.
    """

    name: str
    site: str
    address: str
    incarnation: int
    refutation: int
    state: int
    age_ms: int = 0
    accuser: str = ""

    @property
    def precedence(self) -> UpdatePrecedence:
        """What it weighs against another statement about the same member."""
        return self.incarnation, self.refutation, self.state


class ReachabilityRow(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Members that `reporter` cannot reach directly although others can: (name, whether it still hears from them).

    `version` grows with each change.
    """

    reporter: str
    incarnation: int
    version: int
    unreachable: tuple[tuple[str, bool], ...] = ()


class Ping(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=1):
    """Answer with `Ack(seq)`."""

    seq: int


class Ack(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=2):
    """`target` answered: the sender itself, or the member it was asked to ping."""

    seq: int
    target: str


class IndirectProbe(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=3):
    """Ping `name` at `address` for me."""

    seq: int
    name: str
    address: str


class Nack(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=4):
    """I pinged for you and heard nothing yet."""

    seq: int


class GossipPush(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=5):
    """Only what goes with every packet."""


Body = Ping | Ack | IndirectProbe | Nack | GossipPush


class Packet(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One datagram. `no` numbers the sender's packets within its boot; `hash` is that of the sender's view, `roll`
    the version of its electorate.
    """

    fleet: str
    sequence_number: int
    sender: MemberUpdate
    view_hash: int
    voter_set_version: int
    body: Body
    updates: tuple[MemberUpdate, ...] = ()
    reachability: tuple[ReachabilityRow, ...] = ()


class ViewSync(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A whole view, over TCP; asked with one and answered with one."""

    fleet: str
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...]
    reachability: tuple[ReachabilityRow, ...] = ()


class SendPacket(NamedTuple):
    """Effect: one datagram."""

    address: str
    packet: Packet


class RequestSync(NamedTuple):
    """Effect: send this over TCP and hand the reply to `Member.synced`."""

    address: str
    sync: ViewSync


class MemberChanged(NamedTuple):
    """Effect: the believed state of `name` changed.

    `old_state` is None for a member that is new, `new_state` is None for one that was forgotten.
    """

    name: str
    old_state: int | None
    new_state: int | None
    incarnation: int
    refutation: int
    accuser: str


class QuorumChanged(NamedTuple):
    """Effect: one's own standing in `scope` ('' is the fleet, else a site) changed."""

    scope: str
    old_status: int
    new_status: int


class CountEvent(NamedTuple):
    """Effect: count this under `counter`; `log_message` is for the log, if not empty."""

    counter: str
    log_message: str = ""


MembershipEffect = SendPacket | RequestSync | MemberChanged | QuorumChanged | CountEvent
