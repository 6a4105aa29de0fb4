"""The explored state: three members, the messages between them and the faults so far; copied where runs branch."""

from __future__ import annotations

import pickle
from dataclasses import dataclass, field
from typing import Any

from myrtlespar.membership.member import Member
from myrtlespar.membership.messages import (
    MemberChanged,
    MembershipEffect,
    Packet,
    QuorumChanged,
    RequestSync,
    SendPacket,
)
from myrtlespar.membership.quorum import VoterSet
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.model_checker.fleet.events import MESSAGE_KINDS, Event, EventKind, Message
from myrtlespar.model_checker.fleet.faults import (
    Crash,
    Cut,
    DelayPacket,
    DuplicatePacket,
    Fault,
    Link,
    LosePacket,
    PacketFault,
    Stop,
)
from myrtlespar.model_checker.fleet.seeded_random import SeededRandom
from myrtlespar.model_checker.fleet.step_invariants import FaultHistory, StepInvariants

MEMBER_NAMES = ("a", "b", "c")
HOP_MS = 1.0  # transit time of a message
FIRST_INCARNATION = 1_700_000_000_000  # incarnations are start times, in milliseconds since 1970
START_INTERVAL_MS = 40.0  # between the starts of two members
CONVERGED_MS = 1500.0  # time from which on faults may happen; all members know one another by then
FAULT_WINDOW_MS = 1300.0  # time within which the first fault happens, and each further one after the one before
LEAVE_MS = 300.0  # from a member's leaving to the end of its process
SETTINGS = MembershipSettings()


def _new_invariants() -> StepInvariants:
    return StepInvariants(FaultHistory())


@dataclass(slots=True)
class World:
    """The complete state of a run, in milliseconds of simulated time."""

    now: float = 0.0
    steps: int = 0
    event_count: int = 0
    starts: int = 0
    members: dict[str, Member | None] = field(default_factory=dict)
    queue: list[Event] = field(default_factory=list)
    stopped: set[str] = field(default_factory=set)
    delayed: dict[str, list[Message]] = field(default_factory=dict)  # undelivered messages to stopped members
    cuts: set[Link] = field(default_factory=set)
    left: set[str] = field(default_factory=set)  # members that left and were not started again
    changed_at: float = 0.0  # time of the last change to the running members and working links
    # Duplicated packets, by (receiver, sender, sequence number): whether the first copy has arrived.
    duplicated: dict[tuple[str, str, int], bool] = field(default_factory=dict)
    invariants: StepInvariants = field(default_factory=_new_invariants)

    @property
    def history(self) -> FaultHistory:
        """The faults of this run so far."""
        return self.invariants.history

    @property
    def violations(self) -> list[str]:
        """The invariants broken so far."""
        return self.invariants.violations

    def record_violation(self, invariant: str, text: str) -> None:
        """Record a broken invariant."""
        self.invariants.record_violation(invariant, text, self.now)

    def copy(self) -> World:
        """Return a deep copy."""
        world: World = pickle.loads(pickle.dumps(self, 5))
        return world

    def schedule(self, delay_ms: float, kind: EventKind, receiver: str, content: Any = None, sender: str = "") -> None:
        """Schedule an event after `delay_ms`."""
        self.event_count += 1
        self.queue.append(Event(self.now + delay_ms, self.event_count, kind, receiver, content, sender))

    def next_event(self) -> Event | None:
        """Return the earliest event, or None if a member's timer is due before it."""
        event = min(self.queue, default=None, key=lambda event: event[:2])
        timer = self._next_timer()
        if event is None or (timer is not None and timer[0] < event.at):
            return None
        return event

    def _next_timer(self) -> tuple[float, str] | None:
        return min(
            (
                (member.next_at(), name)
                for name, member in self.members.items()
                if member is not None and name not in self.stopped
            ),
            default=None,
        )

    def step(self) -> None:
        """Run the next event or due timer of the default order."""
        self.steps += 1
        event = self.next_event()
        if event is None:
            timer = self._next_timer()
            assert timer is not None
            at, name = timer
            self.now = max(self.now, at)
            self._tick(name)
            return
        self.queue.remove(event)
        self.now = max(self.now, event.at)
        if event.kind in MESSAGE_KINDS:
            self._deliver(event.receiver, event.message)
        else:
            self._handle(event)

    def _tick(self, name: str) -> None:
        member = self.members[name]
        assert member is not None
        self._apply_effects(name, member.tick(self.now))

    def _handle(self, event: Event) -> None:
        name = event.receiver
        match event.kind:
            case EventKind.START:
                self._record_disruption(name)
                self.left.discard(name)
                self._start(name, event.content)
            case EventKind.HEAL:
                self._record_disruption()
                self.cuts -= set(event.content)
            case EventKind.RESUME:
                self._resume(name)
            case EventKind.END:
                self.members[name] = None
            case EventKind.DELAYED_MESSAGE:
                self._deliver(name, event.content)
            case EventKind.DUPLICATE_MESSAGE:
                # A disturbed receiver, such as a restarted one, need not recognize the second copy.
                self._deliver(name, event.content, duplicate=name not in self.history.affected)

    def _deliver(self, receiver: str, message: Message, duplicate: bool = False) -> None:
        """Deliver a message to a member: drop it on a cut link, delay it for a stopped member."""
        member = self.members.get(receiver)
        sender = message.sender
        if member is None or (sender, receiver) in self.cuts:
            return
        if receiver in self.stopped:
            self.delayed.setdefault(receiver, []).append(message)
            return
        if isinstance(message.content, Packet):
            self._receive_packet(receiver, member, message.content, sender, duplicate)
        elif message.kind == EventKind.SYNC_REQUEST:
            reply, effects = member.sync_requested(self.now, message.content)
            self._apply_effects(receiver, effects)
            if reply is not None:
                self.schedule(HOP_MS, EventKind.SYNC_REPLY, sender, reply, receiver)
        else:
            self._apply_effects(receiver, member.sync_received(self.now, message.content))

    def _receive_packet(self, receiver: str, member: Member, packet: Packet, sender: str, duplicate: bool) -> None:
        label = (receiver, sender, packet.sequence_number)
        if label in self.duplicated:
            duplicate = duplicate and self.duplicated[label]
            self.duplicated[label] = True
        hash_before = member.view.hash
        known = member.view.entries.get(sender)
        outdated = known is not None and packet.sender.incarnation < known.packet_incarnation
        effects = member.receive(self.now, packet)
        same_view = member.view.hash == hash_before
        self.invariants.check_replay(receiver, sender, duplicate, outdated, same_view, effects, self.now)
        self._apply_effects(receiver, effects)

    def _apply_effects(self, name: str, effects: list[MembershipEffect]) -> None:
        """Carry out a member's effects and check the invariants of single steps."""
        member = self.members[name]
        if member is not None:
            self.invariants.check_own_update(member.self_update)
        for effect in effects:
            if isinstance(effect, SendPacket):
                self._send(EventKind.PACKET, name, effect.address, effect.packet)
            elif isinstance(effect, RequestSync):
                self._send(EventKind.SYNC_REQUEST, name, effect.address, effect.sync)
            elif isinstance(effect, MemberChanged):
                self.invariants.check_member_change(name, effect, self.now)
            elif isinstance(effect, QuorumChanged):
                self.invariants.check_quorum_change(name, effect, self.now)

    def _send(self, kind: EventKind, sender: str, address: str, content: Any) -> None:
        receiver = next((name for name in MEMBER_NAMES if address_of(name) == address), "")
        if receiver:
            self.schedule(HOP_MS, kind, receiver, content, sender)

    def _start(self, name: str, incarnation: int) -> None:
        self.starts += 1
        random = SeededRandom(self.starts * 77 + MEMBER_NAMES.index(name))
        voter_set = VoterSet(1, {"x": MEMBER_NAMES})
        seeds = [address_of("a")]
        member = Member(name, "x", address_of(name), incarnation, "small", SETTINGS, voter_set, seeds, random, self.now)
        self.members[name] = member
        self.invariants.restarted(name)
        self._apply_effects(name, member.start(self.now))

    def _resume(self, name: str) -> None:
        self.stopped.discard(name)
        self._record_disruption()
        for message in self.delayed.pop(name, []):
            self._deliver(name, message)
        member = self.members[name]
        if member is not None and member.next_at() <= self.now:
            self._tick(name)

    def _record_disruption(self, *names: str) -> None:
        """Record that something other than a lost or delayed packet happens to these members."""
        self.history.affected.update(names)
        self.changed_at = self.now

    def apply(self, fault: Fault) -> None:
        """Apply a fault now."""
        self.history.faults.append((self.now, fault))
        if isinstance(fault, LosePacket | DuplicatePacket | DelayPacket):
            self._apply_to_packet(fault)
        elif isinstance(fault, Crash):
            self._crash(fault)
        elif isinstance(fault, Cut):
            # A cut of 4 links isolates one member in both directions, and counts as a disruption of that member only.
            isolated = {fault.links[0][0]}
            self._record_disruption(
                *({end for link in fault.links for end in link} if len(fault.links) < 4 else isolated)
            )
            self.cuts |= set(fault.links)
            self.schedule(fault.duration_ms, EventKind.HEAL, "", fault.links)
        elif isinstance(fault, Stop):
            self._record_disruption(fault.name)
            self.stopped.add(fault.name)
            self.schedule(fault.duration_ms, EventKind.RESUME, fault.name)
        else:
            self._record_disruption(fault.name)
            member = self.members[fault.name]
            assert member is not None
            self.left.add(fault.name)
            self._apply_effects(fault.name, member.leave(self.now))
            self.schedule(LEAVE_MS, EventKind.END, fault.name)

    def _apply_to_packet(self, fault: PacketFault) -> None:
        event = min(self.queue, key=lambda event: event[:2])
        if isinstance(fault, DuplicatePacket):
            self.duplicated[event.receiver, event.sender, event.content.sequence_number] = False
            delay_ms = event.at - self.now + fault.delay_ms
            self.schedule(delay_ms, EventKind.DUPLICATE_MESSAGE, event.receiver, event.message)
            return
        self.queue.remove(event)
        self.history.lost_packets += 1
        if isinstance(fault, DelayPacket):
            self.schedule(fault.delay_ms, EventKind.DELAYED_MESSAGE, event.receiver, event.message)

    def _crash(self, fault: Crash) -> None:
        self._record_disruption(fault.name)
        incarnation = self.invariants.latest_incarnation(fault.name, FIRST_INCARNATION)
        self.members[fault.name] = None
        if fault.restart_after_ms is not None:
            self.schedule(fault.restart_after_ms, EventKind.START, fault.name, incarnation + fault.clock_shift_ms)


def address_of(name: str) -> str:
    """Return the address of a member."""
    return f"127.8.0.{MEMBER_NAMES.index(name) + 1}:7000"


def converged_world() -> World:
    """Return a world whose three members were started `START_INTERVAL_MS` apart and know one another."""
    world = World(members=dict.fromkeys(MEMBER_NAMES))
    for index, name in enumerate(MEMBER_NAMES):
        world.schedule(START_INTERVAL_MS * index, EventKind.START, name, FIRST_INCARNATION)
    while world.now < CONVERGED_MS:
        world.step()
    world.history.affected.clear()
    world.changed_at = 0.0
    return world
