"""The simulated process of a member, and the messages between such processes."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from myrtlespar.membership.messages import Packet, ViewSync
from myrtlespar.simulation.member_factory import FleetMember


class MessageKind(Enum):
    """The kind of a message between members."""

    PACKET = "packet"
    SYNC_REQUEST = "sync request"
    SYNC_REPLY = "sync reply"


class Message(NamedTuple):
    """A message in transit to a member; `sender` is a member's name."""

    kind: MessageKind
    content: Packet | ViewSync
    sender: str


@dataclass(slots=True)
class SimulatedNode:
    """The process of a member, with its state and traffic counts."""

    name: str
    member: FleetMember
    running: bool = True
    paused: bool = False
    pending_messages: list[Message] = field(default_factory=list)  # messages that arrived while the process was paused
    next_tick_at: float = float("inf")
    sent_bytes: int = 0
    datagram_count: int = 0  # datagrams sent and received
