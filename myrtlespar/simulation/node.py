"""One member's process in the simulation, and the messages it receives."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from myrtlespar.membership.messages import Packet, ViewSync
from myrtlespar.simulation.member_factory import FleetMember


class MessageKind(Enum):
    """What a message on its way is."""

    PACKET = "packet"
    SYNC_REQUEST = "sync request"
    SYNC_REPLY = "sync reply"


class Message(NamedTuple):
    """One message on its way."""

    kind: MessageKind
    content: Packet | ViewSync
    sender: str


@dataclass(slots=True)
class SimulatedNode:
    """The process of one member."""

    name: str
    member: FleetMember
    up: bool = True
    stopped: bool = False
    waiting: list[Message] = field(default_factory=list)  # arrived while it was stopped
    next_tick_at: float = float("inf")
    sent_bytes: int = 0
    datagrams: int = 0  # sent and received
