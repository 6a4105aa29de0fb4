"""The faults that may happen at a step of a run."""

from __future__ import annotations

from myrtlespar.model_checker.fleet.events import EventKind
from myrtlespar.model_checker.fleet.faults import (
    Crash,
    Cut,
    DelayPacket,
    DuplicatePacket,
    Fault,
    Leave,
    Link,
    LosePacket,
    Stop,
)
from myrtlespar.model_checker.fleet.world import MEMBER_NAMES, World

CRASHES = ((5.0, 10), (500.0, 10), (500.0, -3_600_000), (4000.0, 10), (None, 0))  # (restart after, clock shift), ms
ISOLATIONS = (("both", 700.0), ("both", 7000.0), ("out", 7000.0), ("in", 7000.0))  # (directions, duration in ms)
PAIR_CUTS: tuple[tuple[Link, ...], ...] = ((("a", "b"), ("b", "a")), (("a", "b"),), (("b", "c"),))
PAIR_CUT_MS = 7000.0
STOPS_MS = (900.0, 3000.0, 6000.0)


def isolating_links(name: str, directions: str) -> tuple[Link, ...]:
    """Return the links of one member to all others (`out`), from them (`in`), or in both directions (`both`)."""
    others = [other for other in MEMBER_NAMES if other != name]
    out = tuple((name, other) for other in others) if directions in ("out", "both") else ()
    return out + (tuple((other, name) for other in others) if directions in ("in", "both") else ())


def possible_faults(world: World, kinds: frozenset[str]) -> list[Fault]:
    """Return the faults of these kinds that may happen now.

    Faults of members happen only just before a timer, faults of packets just before the packet's arrival.
    """
    event = world.next_event()
    if event is None:
        return _member_faults(world, kinds)
    faults: list[Fault] = []
    if event.kind == EventKind.PACKET:
        if "losses" in kinds:
            faults.append(LosePacket())
        if "packets" in kinds:
            faults += [DuplicatePacket(0.5), DuplicatePacket(700.0), DelayPacket(150.0), DelayPacket(1500.0)]
    return faults


def _member_faults(world: World, kinds: frozenset[str]) -> list[Fault]:
    running = [
        name
        for name, member in world.members.items()
        if member is not None and name not in world.left and name not in world.stopped
    ]
    faults: list[Fault] = []
    if "crash" in kinds:
        faults += [Crash(name, restart, shift) for name in running for restart, shift in CRASHES]
    if "cut" in kinds:
        faults += [Cut(isolating_links(name, way), ms) for name in running for way, ms in ISOLATIONS]
        faults += [Cut(links, PAIR_CUT_MS) for links in PAIR_CUTS]
    if "stop" in kinds:
        faults += [Stop(name, ms) for name in running for ms in STOPS_MS]
    if "leave" in kinds:
        faults += [Leave(name) for name in running]
    return faults
