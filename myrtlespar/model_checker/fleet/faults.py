"""The faults that a run may contain, as typed values."""

from __future__ import annotations

from typing import Any, NamedTuple

Link = tuple[str, str]  # sender, receiver: one direction


class LosePacket(NamedTuple):
    """The next packet is lost."""


class DuplicatePacket(NamedTuple):
    """The next packet arrives, and once more after `delay_ms`."""

    delay_ms: float


class DelayPacket(NamedTuple):
    """The next packet arrives after `delay_ms`."""

    delay_ms: float


class Crash(NamedTuple):
    """A process ends; None: it is not restarted. Its clock is `clock_shift_ms` ahead of its earlier incarnation."""

    name: str
    restart_after_ms: float | None
    clock_shift_ms: int


class Cut(NamedTuple):
    """Links carry nothing for `duration_ms`."""

    links: tuple[Link, ...]
    duration_ms: float


class Stop(NamedTuple):
    """A process does not run for `duration_ms`, as by SIGSTOP."""

    name: str
    duration_ms: float


class Leave(NamedTuple):
    """A member leaves."""

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
    """A fault as it is printed: its name, then its values."""
    return (FAULT_NAMES[type(fault)], *fault)
