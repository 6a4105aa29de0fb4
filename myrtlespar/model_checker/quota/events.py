"""The events of the explorer's world."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NamedTuple


class EventKind(StrEnum):
    """The kind of an event."""

    TICK = "tick"  # a timer of a member is due
    WANT = "want"  # a caller of a member makes a request
    END = "end"  # a run ends
    PACKET = "packet"  # a message reaches a member
    DISK = "disk"  # a journal has been written to disk
    REQUEST = "request"  # a member's request reaches the engine
    REPLY = "reply"  # a reply of the engine reaches a member, or its timeout has passed
    START = "start"  # a new incarnation of a member starts
    RESUME = "resume"  # a stopped member continues
    HEAL = "heal"  # a cut ends
    BELIEVE = "believe"  # a member believes all members present again
    SHUN = "shun"  # a member believes that another one has failed
    ADOPT = "adopt"  # a member adopts the later limit
    LOUD = "loud"  # a member has demand again


class Event(NamedTuple):
    """A scheduled event. Events are ordered by time, then by number."""

    at: float
    number: int
    kind: EventKind
    member: str
    # By kind: the number of an incarnation, a message, the pairs of a cut, the member that is believed to have failed
    # (SHUN), or whether delayed events are handled in reverse order (RESUME).
    payload: Any = None
    detail: Any = None  # by kind: the sender of a packet, a request, a reply, or a journal
