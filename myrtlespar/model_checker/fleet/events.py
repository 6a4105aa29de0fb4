"""What is scheduled in a world of the model checker."""

from __future__ import annotations

from enum import IntEnum
from typing import Any, NamedTuple

from myrtlespar.membership.messages import Packet, ViewSync


class EventKind(IntEnum):
    """What an event is."""

    PACKET = 0
    SYNC_REQUEST = 1
    SYNC_REPLY = 2
    START = 3  # of a process; the content is its incarnation
    HEAL = 4  # of links; the content are the links
    RESUME = 5  # of a stopped process
    END = 6  # of a process that left
    DELAYED_MESSAGE = 7  # the content is the message
    DUPLICATE_MESSAGE = 8  # the content is the message


MESSAGE_KINDS = (EventKind.PACKET, EventKind.SYNC_REQUEST, EventKind.SYNC_REPLY)


class Message(NamedTuple):
    """One message on its way."""

    kind: EventKind
    content: Packet | ViewSync
    sender: str


class Event(NamedTuple):
    """One scheduled event; they happen in the order of their first two fields."""

    at: float
    number: int
    kind: EventKind
    receiver: str
    content: Any
    sender: str

    @property
    def message(self) -> Message:
        """The message that arrives by this event."""
        return Message(self.kind, self.content, self.sender)
