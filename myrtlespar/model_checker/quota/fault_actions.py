"""The faults of the explorer's world. Durations are in milliseconds of true time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from myrtlespar.model_checker.quota.events import EventKind
from myrtlespar.model_checker.quota.fault import Fault
from myrtlespar.model_checker.quota.world import ENGINE, World
from myrtlespar.model_checker.quota.world_settings import MEMBER_NAMES

Pairs = tuple[tuple[str, str], ...]  # pairs of (sender, recipient), each one direction
DETECTION_DELAY_MS = 100.0  # until the other members believe that a stopped one has failed


@dataclass(frozen=True, slots=True)
class LosePacket(Fault):
    """The next packet is lost."""

    kind: ClassVar[str] = "lose"

    def apply(self, world: World) -> None:
        """Remove the packet."""
        world.queue.remove(world.next_event())


@dataclass(frozen=True, slots=True)
class DuplicatePacket(Fault):
    """The next packet arrives a second time."""

    kind: ClassVar[str] = "double"
    delay_ms: float

    def apply(self, world: World) -> None:
        """Schedule the second arrival."""
        packet = world.next_event()
        delay_ms = packet.at - world.now + self.delay_ms
        world.schedule(delay_ms, EventKind.PACKET, packet.member, packet.payload, packet.detail)


@dataclass(frozen=True, slots=True)
class DelayPacket(Fault):
    """The next packet arrives late."""

    kind: ClassVar[str] = "hold"
    delay_ms: float

    def apply(self, world: World) -> None:
        """Schedule the packet again, `delay_ms` later."""
        packet = world.next_event()
        world.queue.remove(packet)
        delay_ms = packet.at - world.now + self.delay_ms
        world.schedule(delay_ms, EventKind.PACKET, packet.member, packet.payload, packet.detail)


@dataclass(frozen=True, slots=True)
class Crash(Fault):
    """A member's process ends, and a new one starts later."""

    kind: ClassVar[str] = "crash"
    member: str
    restart_after_ms: float

    def apply(self, world: World) -> None:
        """End the process."""
        world.members[self.member] = None
        world.schedule(self.restart_after_ms, EventKind.START, self.member)


@dataclass(frozen=True, slots=True)
class Outage(Fault):
    """The processes of all members end, and new ones start later, one after the other."""

    kind: ClassVar[str] = "outage"
    restart_after_ms: float
    interval_ms: float

    def apply(self, world: World) -> None:
        """End all processes."""
        for index, name in enumerate(MEMBER_NAMES):
            world.members[name] = None
            world.schedule(self.restart_after_ms + self.interval_ms * index, EventKind.START, name)


@dataclass(frozen=True, slots=True)
class Stop(Fault):
    """A member's process is stopped for a while; events for it are delayed until then, in order or in reverse."""

    kind: ClassVar[str] = "stop"
    member: str
    duration_ms: float
    is_reversed: bool

    def apply(self, world: World) -> None:
        """Stop the process."""
        world.stopped.add(self.member)
        world.schedule(self.duration_ms, EventKind.RESUME, self.member, self.is_reversed)


@dataclass(frozen=True, slots=True)
class DetectedStop(Fault):
    """A member's process is stopped for a while, and the others soon believe that it has failed."""

    kind: ClassVar[str] = "sleep"
    member: str
    duration_ms: float

    def apply(self, world: World) -> None:
        """Stop the process."""
        world.stopped.add(self.member)
        world.schedule(self.duration_ms, EventKind.RESUME, self.member, False)
        for name in MEMBER_NAMES:
            if name != self.member:
                world.schedule(DETECTION_DELAY_MS, EventKind.SHUN, name, self.member)
                world.schedule(self.duration_ms, EventKind.BELIEVE, name)


@dataclass(frozen=True, slots=True)
class DetectedPairCut(Fault):
    """Two members are cut off from one another, and only the first believes that the other has failed."""

    kind: ClassVar[str] = "shun"
    member: str
    other: str
    duration_ms: float

    def apply(self, world: World) -> None:
        """Cut both directions, and set the belief."""
        pairs = ((self.member, self.other), (self.other, self.member))
        world.cuts |= set(pairs)
        world.set_belief(self.member, frozenset(MEMBER_NAMES) - {self.other})
        world.schedule(self.duration_ms, EventKind.HEAL, "", pairs)
        world.schedule(self.duration_ms, EventKind.BELIEVE, self.member)


@dataclass(frozen=True, slots=True)
class EngineCut(Fault):
    """A member is cut off from the engine, in both directions or only for replies."""

    kind: ClassVar[str] = "away"
    member: str
    duration_ms: float
    both_ways: bool

    def apply(self, world: World) -> None:
        """Cut the member off."""
        pairs = {(ENGINE, self.member)}
        if self.both_ways:
            pairs.add((self.member, ENGINE))
        world.cuts |= pairs
        world.schedule(self.duration_ms, EventKind.HEAL, "", tuple(pairs))


@dataclass(frozen=True, slots=True)
class Cut(Fault):
    """Messages of these (sender, recipient) pairs are lost, and membership does not detect it."""

    kind: ClassVar[str] = "cut"
    pairs: Pairs
    duration_ms: float

    def apply(self, world: World) -> None:
        """Cut the pairs."""
        world.cuts |= set(self.pairs)
        world.schedule(self.duration_ms, EventKind.HEAL, "", self.pairs)


@dataclass(frozen=True, slots=True)
class Partition(Fault):
    """A member is cut off, and both sides believe that the other has failed."""

    kind: ClassVar[str] = "part"
    pairs: Pairs
    member: str
    duration_ms: float

    def apply(self, world: World) -> None:
        """Cut the member off and set the beliefs."""
        world.cuts |= set(self.pairs)
        others = frozenset(MEMBER_NAMES) - {self.member}
        for name in MEMBER_NAMES:
            world.set_belief(name, frozenset({self.member}) if name == self.member else others)
            world.schedule(self.duration_ms, EventKind.BELIEVE, name)
        world.schedule(self.duration_ms, EventKind.HEAL, "", self.pairs)


@dataclass(frozen=True, slots=True)
class LimitChange(Fault):
    """The members adopt the later limit in this order."""

    kind: ClassVar[str] = "change"
    members: tuple[str, ...]
    interval_ms: float

    def apply(self, world: World) -> None:
        """Schedule the adoptions."""
        for index, name in enumerate(self.members):
            world.schedule(index * self.interval_ms, EventKind.ADOPT, name)


@dataclass(frozen=True, slots=True)
class WrongBelief(Fault):
    """A member believes that only the members `present` are present."""

    kind: ClassVar[str] = "believe"
    member: str
    present: tuple[str, ...]
    duration_ms: float

    def apply(self, world: World) -> None:
        """Set the belief."""
        world.set_belief(self.member, frozenset(self.present))
        world.schedule(self.duration_ms, EventKind.BELIEVE, self.member)


@dataclass(frozen=True, slots=True)
class DemandPause(Fault):
    """A member has no demand for a while."""

    kind: ClassVar[str] = "quiet"
    member: str
    duration_ms: float

    def apply(self, world: World) -> None:
        """End the demand."""
        world.without_demand.add(self.member)
        world.schedule(self.duration_ms, EventKind.LOUD, self.member)
