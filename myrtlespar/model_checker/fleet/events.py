"""The events that are scheduled in a world of the model checker."""

from __future__ import annotations

from enum import IntEnum
from typing import Any, NamedTuple

from myrtlespar.membership.messages import Packet, ViewSync


class EventKind(IntEnum):
    """The kind of an event."""

    PACKET = 0
    SYNC_REQUEST = 1
    SYNC_REPLY = 2
    START = 3  # a process starts; the content is its incarnation
    HEAL = 4  # a cut ends; the content is a tuple of the links
    RESUME = 5  # a stopped process continues
    END = 6  # the process of a member that left ends
    DELAYED_MESSAGE = 7  # a delayed message arrives, which is the content
    DUPLICATE_MESSAGE = 8  # the second copy of a message arrives, which is the content


MESSAGE_KINDS = (EventKind.PACKET, EventKind.SYNC_REQUEST, EventKind.SYNC_REPLY)


class Message(NamedTuple):
    """A message in transit."""

    kind: EventKind
    content: Packet | ViewSync
    sender: str


class Event(NamedTuple):
    """A scheduled event. Events happen in the order of time, then of their numbers."""

    at: float
    number: int
    kind: EventKind
    receiver: str
    content: Any
    sender: str

    @property
    def message(self) -> Message:
        """The message that arrives with this event."""
        return Message(self.kind, self.content, self.sender)
