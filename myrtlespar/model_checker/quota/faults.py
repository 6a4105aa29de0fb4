"""The faults that are possible at each step of the explorer's world."""

from __future__ import annotations

from collections.abc import Callable
from itertools import permutations

from myrtlespar.model_checker.quota.events import EventKind
from myrtlespar.model_checker.quota.fault import Fault
from myrtlespar.model_checker.quota.fault_actions import (
    Crash,
    Cut,
    DelayPacket,
    DemandPause,
    DetectedPairCut,
    DetectedStop,
    DuplicatePacket,
    EngineCut,
    LimitChange,
    LosePacket,
    Outage,
    Pairs,
    Partition,
    Stop,
    WrongBelief,
)
from myrtlespar.model_checker.quota.world import World
from myrtlespar.model_checker.quota.world_settings import MEMBER_NAMES


def cut_pairs() -> list[Pairs]:
    """Return all cuts: each member cut off in both directions, outwards or inwards; and each pair in one direction."""
    cuts: list[Pairs] = []
    for name in MEMBER_NAMES:
        others = [other for other in MEMBER_NAMES if other != name]
        outwards = tuple((name, other) for other in others)
        inwards = tuple((other, name) for other in others)
        cuts += [outwards + inwards, outwards, inwards]
    return cuts + [
        ((sender, recipient),) for sender in MEMBER_NAMES for recipient in MEMBER_NAMES if sender != recipient
    ]


def _wrong_beliefs(names: list[str]) -> list[Fault]:
    beliefs: list[Fault] = [
        WrongBelief(name, tuple(sorted(present)), ms)
        for name in names
        for ms in (100.0, 800.0)
        for present in (set(MEMBER_NAMES) - {other} for other in MEMBER_NAMES if other != name)
    ]
    return beliefs + [WrongBelief(name, (name,), 800.0) for name in names]


# For each kind of fault, a function that returns the faults at a tick, given the names of the running members.
# Faults are explored in this order.
FAULTS_AT_TICK: dict[str, Callable[[list[str]], list[Fault]]] = {
    "crash": lambda names: [Crash(name, after_ms) for name in names for after_ms in (2.0, 150.0, 1200.0)],
    "outage": lambda names: [Outage(after_ms, apart_ms) for after_ms in (2.0, 300.0) for apart_ms in (0.0, 120.0)],
    "stop": lambda names: [
        Stop(name, ms, is_reversed) for name in names for ms in (120.0, 330.0, 900.0) for is_reversed in (False, True)
    ],
    "cut": lambda names: [Cut(pairs, ms) for pairs in cut_pairs() for ms in (150.0, 1000.0)],
    "sleep": lambda names: [DetectedStop(name, ms) for name in names for ms in (280.0, 330.0, 700.0)],
    "shun": lambda names: [
        DetectedPairCut(name, other, 600.0) for name in names for other in MEMBER_NAMES if other != name
    ],
    "long quiet": lambda names: [DemandPause(name, 600.0) for name in names],
    "part": lambda names: [
        Partition(cut_pairs()[3 * index], name, ms) for index, name in enumerate(MEMBER_NAMES) for ms in (400.0, 1000.0)
    ],
    "away": lambda names: [
        EngineCut(name, ms, both_ways) for name in names for ms in (150.0, 400.0) for both_ways in (True, False)
    ],
    "change": lambda names: [LimitChange(order, ms) for order in permutations(MEMBER_NAMES) for ms in (10.0, 330.0)],
    "believe": _wrong_beliefs,
    "demand": lambda names: [DemandPause(name, ms) for name in names for ms in (150.0, 600.0)],
}


def possible_faults(world: World, kinds: frozenset[str]) -> list[Fault]:
    """Return the faults of these kinds that are possible now.

    Faults of packets happen just before a packet's arrival, all others just before a tick event of a member.
    """
    kind = world.next_event().kind
    if kind is EventKind.PACKET:
        return _packet_faults(kinds)
    if kind is not EventKind.TICK:
        return []
    running = [name for name, member in world.members.items() if member is not None and name not in world.stopped]
    return [
        fault
        for fault_kind, make_faults in FAULTS_AT_TICK.items()
        if fault_kind in kinds
        for fault in make_faults(running)
    ]


def _packet_faults(kinds: frozenset[str]) -> list[Fault]:
    if "late" in kinds:
        return [DelayPacket(260.0)]
    if "packets" not in kinds:
        return []
    return [
        LosePacket(),
        DuplicatePacket(30.0),
        DuplicatePacket(250.0),
        DelayPacket(100.0),
        DelayPacket(260.0),
    ]
