"""Messages between members, and the effects that a member asks its driver to carry out. Data types only.

The messages are msgspec structs, so that the codec in `net/codec` needs no second set of types. The order of their
fields and the tags are the wire format. Names are at most 48 characters, addresses at most 64 (the codec checks). Ages
are whole milliseconds.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

import msgspec


class MemberState(IntEnum):
    """Believed state of a member; the more severe state has the higher value."""

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
UpdatePrecedence = tuple[int, int, int]  # incarnation, refutation, state


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A statement about one member.

    Attributes:
        name: Name of the member.
        site: Site of the member.
        address: Host and port at which other members reach it.
        incarnation: Unix time of its start in ms, or more if an earlier process of the name had a later incarnation.
        refutation: Counter that only the member itself raises, to refute suspicions.
        state: A `MemberState`.
        age_ms: Age of the evidence.
        accuser: Member that suspects it or declared it failed; empty in other states.
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
        """Incarnation, refutation and state; of two updates about one member, the one with the greater tuple wins."""
        return self.incarnation, self.refutation, self.state

    def with_state(self, state: MemberState, age_ms: int, accuser: str) -> MemberUpdate:
        """Return an update about the same incarnation and refutation with another state."""
        return MemberUpdate(
            self.name, self.site, self.address, self.incarnation, self.refutation, state, age_ms, accuser
        )

    def aged(self, by_ms: float) -> MemberUpdate:
        """Return the same update with evidence older by `by_ms`."""
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

    Attributes:
        reporter: Name of the member that publishes the row.
        incarnation: Incarnation of the reporter.
        version: Counter that grows with each change of the row.
        unreachable: Pairs of a member's name and whether the reporter still receives packets from it.
    """

    reporter: str
    incarnation: int
    version: int
    unreachable: tuple[tuple[str, bool], ...] = ()


class Ping(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=1):
    """Direct probe: the receiver answers with an `Ack` of the same `probe_id`."""

    probe_id: int


class Ack(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=2):
    """Answer to a probe: `target` is alive. That is the sender, or the member that the sender was asked to probe."""

    probe_id: int
    target: str


class IndirectProbe(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=3):
    """Request to probe the member `name` at `address` on behalf of the sender."""

    probe_id: int
    name: str
    address: str


class Nack(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=4):
    """Reply to an `IndirectProbe`: the sender has no answer from the target yet."""

    probe_id: int


class GossipPush(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=5):
    """Empty body of a packet that only carries updates."""


Body = Ping | Ack | IndirectProbe | Nack | GossipPush


class Packet(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One datagram.

    `sequence_number` counts the packets of the sender's process; `view_hash` and `voter_set_version` are those of the
    sender.
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
    """The sender's complete view, sent over TCP both as the request for a view and as the reply to it."""

    fleet: str
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...]
    reachability: tuple[ReachabilityRow, ...] = ()


class SendPacket(NamedTuple):
    """Effect: send one datagram."""

    address: str
    packet: Packet


class RequestSync(NamedTuple):
    """Effect: send `sync` to `address` over TCP and pass the reply to `Member.sync_received`."""

    address: str
    sync: ViewSync


class MemberChanged(NamedTuple):
    """Effect: the believed state of `name` changed.

    `old_state` is None for a new member, `new_state` is None for one that was forgotten.
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
    """Effect: increment `counter`, and log `log_message` if it is not empty."""

    counter: str
    log_message: str = ""


MembershipEffect = SendPacket | RequestSync | MemberChanged | QuorumChanged | CountEvent
