"""The events of the explorer's world."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NamedTuple


class EventKind(StrEnum):
    """What an event is."""

    TICK = "tick"  # a member's clock is due
    WANT = "want"  # a request of a member's callers
    END = "end"  # of a run, where it is executed
    PACKET = "packet"  # a message reaches a member
    DISK = "disk"  # a journal is on disk
    REQUEST = "request"  # reaches the engine
    REPLY = "reply"  # of the engine reaches a member
    START = "start"  # a member's new incarnation
    RESUME = "resume"  # a stopped member goes on
    HEAL = "heal"  # a cut ends
    BELIEVE = "believe"  # a member believes all present again
    SHUN = "shun"  # a member believes that another one has failed
    ADOPT = "adopt"  # a member adopts the later limit
    LOUD = "loud"  # a member's demand returns


class Event(NamedTuple):
    """A scheduled event; events are ordered by time, then by number."""

    at: float
    number: int
    kind: EventKind
    member: str
    payload: Any = None  # of its kind: an incarnation's number, a message, pairs of a cut
    detail: Any = None  # of its kind: the sender of a packet, a request, a reply, a journal
