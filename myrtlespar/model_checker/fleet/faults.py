"""The types of faults that a run may contain."""

from __future__ import annotations

from typing import Any, NamedTuple

Link = tuple[str, str]  # one direction between two members: (sender, receiver)


class LosePacket(NamedTuple):
    """The next packet is lost."""


class DuplicatePacket(NamedTuple):
    """The next packet arrives, and a second copy arrives `delay_ms` after it."""

    delay_ms: float


class DelayPacket(NamedTuple):
    """The next packet arrives `delay_ms` from now."""

    delay_ms: float


class Crash(NamedTuple):
    """A member's process ends, and starts again after `restart_after_ms` (None: never).

    The incarnation of the new process is `clock_shift_ms` greater than the latest known one; a negative shift stands
    for a clock that was set back.
    """

    name: str
    restart_after_ms: float | None
    clock_shift_ms: int


class Cut(NamedTuple):
    """Messages on these links are lost for `duration_ms`."""

    links: tuple[Link, ...]
    duration_ms: float


class Stop(NamedTuple):
    """A member's process does not run for `duration_ms`, as after SIGSTOP."""

    name: str
    duration_ms: float


class Leave(NamedTuple):
    """A member leaves the fleet in an orderly way, and its process ends."""

    name: str


PacketFault = LosePacket | DuplicatePacket | DelayPacket
Fault = PacketFault | Crash | Cut | Stop | Leave

FAULT_NAMES: dict[type, str] = {
    LosePacket: "lose",
    DuplicatePacket: "double",
    DelayPacket: "hold",
    Crash: "crash",
    Cut: "cut",
    Stop: "stop",
    Leave: "leave",
}


def fault_words(fault: Fault) -> tuple[Any, ...]:
    """Return the words with which a fault is printed: its name, then its values."""
    return (FAULT_NAMES[type(fault)], *fault)
