"""Messages between members, and the effects that a member asks its driver to carry out. Data types only.

The structs are msgspec's, so that the codec in `net/codec` needs no second set of types. The order of their fields
and the tags are the wire format. Names are at most 48 characters, addresses at most 64 (the codec checks). Ages are
whole milliseconds.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

import msgspec


class MemberState(IntEnum):
    """What is believed of a member; the more severe state has the higher value."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3


ALIVE = MemberState.ALIVE
SUSPECT = MemberState.SUSPECT
FAILED = MemberState.FAILED
LEFT = MemberState.LEFT
PRESENT_STATES = (ALIVE, SUSPECT)
MAX_AGE_MS = 2**31
UpdatePrecedence = tuple[int, int, int]  # incarnation, refutation, state: the greatest one is believed


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A statement about one member.

    `incarnation` is the Unix time of its start in ms; `refutation` is a counter that only the member itself raises, to
    refute suspicions; `accuser` is who suspects it; `age_ms` is how old the evidence is.
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
        """Incarnation, refutation, state: of two updates about one member the greater tuple is believed."""
        return self.incarnation, self.refutation, self.state

    def with_state(self, state: MemberState, age_ms: int, accuser: str) -> MemberUpdate:
        """An update about the same incarnation and refutation with another state."""
        return MemberUpdate(
            self.name, self.site, self.address, self.incarnation, self.refutation, state, age_ms, accuser
        )

    def aged(self, by_ms: float) -> MemberUpdate:
        """The same update with older evidence."""
        if by_ms < 1:
            return self
        return MemberUpdate(
            self.name,
            self.site,
            self.address,
            self.incarnation,
            self.refutation,
            self.state,
            min(self.age_ms + int(by_ms), MAX_AGE_MS),
            self.accuser,
        )


class ReachabilityRow(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Members that `reporter` cannot reach directly although others can.

    `unreachable` holds (name, whether the reporter still receives packets from it); `version` grows with each change.
    """

    reporter: str
    incarnation: int
    version: int
    unreachable: tuple[tuple[str, bool], ...] = ()


class Ping(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=1):
    """Direct probe: the receiver answers with an `Ack` of the same `probe_id`."""

    probe_id: int


class Ack(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=2):
    """`target` answered a probe: the sender itself, or the member it was asked to probe."""

    probe_id: int
    target: str


class IndirectProbe(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=3):
    """Request to probe `name` at `address` for the sender."""

    probe_id: int
    name: str
    address: str


class Nack(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=4):
    """No answer yet to a probe made for the receiver."""

    probe_id: int


class GossipPush(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=5):
    """No body: the packet only carries updates."""


Body = Ping | Ack | IndirectProbe | Nack | GossipPush


class Packet(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One datagram.

    `sequence_number` counts the sender's packets within its incarnation; `view_hash` and `voter_set_version` are those
    of the sender.
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
    """A complete view, over TCP; the request and the reply are one each."""

    fleet: str
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...]
    reachability: tuple[ReachabilityRow, ...] = ()


class SendPacket(NamedTuple):
    """Effect: send one datagram."""

    address: str
    packet: Packet


class RequestSync(NamedTuple):
    """Effect: send this over TCP and pass the reply to `Member.sync_received`."""

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
    """Effect: the quorum status of `scope` ('' is the fleet, else a site) changed."""

    scope: str
    old_status: int
    new_status: int


class CountEvent(NamedTuple):
    """Effect: count this under `counter`; `log_message` is for the log, if not empty."""

    counter: str
    log_message: str = ""


MembershipEffect = SendPacket | RequestSync | MemberChanged | QuorumChanged | CountEvent
