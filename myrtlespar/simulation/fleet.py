"""A simulated fleet: its members' processes and the messages between them."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping, Sequence
from random import Random

from myrtlespar.fault_proxy.faults import FaultRule
from myrtlespar.fleet_tests.ground_truth import FaultAction
from myrtlespar.fleet_tests.observations import Observation
from myrtlespar.membership.member import Member
from myrtlespar.membership.messages import (
    CountEvent,
    MemberChanged,
    MembershipEffect,
    Packet,
    QuorumChanged,
    RequestSync,
    SendPacket,
    ViewSync,
)
from myrtlespar.membership.quorum import QuorumTracker, VoterSet
from myrtlespar.membership.view import entry_hash
from myrtlespar.net.codec.peer import encode
from myrtlespar.simulation.event_loop import EventLoop
from myrtlespar.simulation.member_factory import FleetMember, MemberFactory, MemberStart
from myrtlespar.simulation.network import SimulatedNetwork
from myrtlespar.simulation.node import Message, MessageKind, SimulatedNode

FIRST_INCARNATION = 1_700_000_000_000
LEAVE_DURATION_MS = 300.0  # from the departure of a member to the end of its process
MAX_SEEDS = 3
MAX_MEMBERS_ALL_VOTERS = 300  # in a larger fleet only VOTERS_PER_SITE members of each site are voters
VOTERS_PER_SITE = 5
MAX_PENDING_MESSAGES = 400  # limit for a paused member; about as many as a socket buffer holds
IP_UDP_HEADER_BYTES = 28
TCP_EXCHANGE_BYTES = 200  # overhead of one message over TCP: headers, handshake and acknowledgements


def address_of(number: int) -> str:
    """Return the address of the member with this number, from 1."""
    return f"127.8.{number >> 8}.{number & 255}:7000"


class SimulatedFleet:
    """Simulated members and the network between them.

    Attributes:
        actions: What was done to members and links, for the ground truth.
        observations: What the observers believed about other members and the quorum.
        counters: How often members counted each event.
    """

    def __init__(
        self,
        sites: Mapping[str, Sequence[str]],
        factory: MemberFactory,
        seed: int,
        observers: Sequence[str] = (),
        voters: Mapping[str, Sequence[str]] | None = None,
        measure_bytes: bool = True,
    ) -> None:
        """Create the fleet; no member is started yet.

        Args:
            sites: The names of the members of each site.
            factory: Creates the member of each process.
            seed: The seed of all random choices.
            observers: The members whose observations are recorded; all if empty.
            voters: The voters of each site. By default all members, or some of each site of a large fleet.
            measure_bytes: Whether packets and views are encoded to count their bytes.
        """
        self.sites = sites
        self.factory = factory
        self.seed = seed
        self.measure_bytes = measure_bytes
        self.event_loop = EventLoop()
        self.network = SimulatedNetwork(seed)
        self.site_of = {name: site for site, names in sites.items() for name in names}
        self.names = list(self.site_of)
        self.address_by_name = {name: address_of(number) for number, name in enumerate(self.names, 1)}
        self.name_by_address = {address: name for name, address in self.address_by_name.items()}
        self.voter_set = _voter_set(sites if voters is None else voters, voters is None)
        self.observers = set(observers or self.names)
        self.nodes: dict[str, SimulatedNode] = {}
        self.actions: list[FaultAction] = []
        self.observations: list[Observation] = []
        self.counters: dict[str, int] = {}
        self._start_count = 0

    def start(self, within_ms: float = 400.0) -> None:
        """Schedule the start of each member at a random time within `within_ms`."""
        random = Random(f"starts {self.seed}")
        for name in self.names:
            self.event_loop.call_at(random.random() * within_ms, self.start_member, name)

    def start_joined(self) -> None:
        """Start all members with complete views, for large fleets in which joining is not examined."""
        for name in self.names:
            self.start_member(name, join=False)
        members = [node.member for node in self.nodes.values() if isinstance(node.member, Member)]
        updates = [member.self_update for member in members]
        view_hash = 0
        for update in updates:
            view_hash ^= entry_hash(update.name, update.precedence)
        for member in members:
            member.view.fill(updates, 0.0, view_hash)
            member.outbox.dissemination.clear()
            for name in member.view.present:
                member.quorum.set_present(name, True, 0.0)

    def run(self, until: float) -> None:
        """Run the simulation until this virtual time (ms)."""
        self.event_loop.run(until)

    # Start and end of processes.

    def start_member(self, name: str, join: bool = True) -> None:
        """Start a new process of a member; if `join` is false, it does not contact the seed members."""
        self._start_count += 1
        now = self.event_loop.now
        seed = hashlib.blake2b(f"{self.seed} {name} {self._start_count}".encode(), digest_size=8).digest()
        member = self.factory(
            MemberStart(
                name,
                self.site_of[name],
                self.address_by_name[name],
                FIRST_INCARNATION + int(now),
                Random(int.from_bytes(seed, "big")),
                now,
                [self.address_by_name[seed_name] for seed_name in self._seed_names()],
                self.voter_set,
            )
        )
        node = self.nodes[name] = SimulatedNode(name, member)
        self.record_action("up", name)
        if name in self.observers:
            self._record_start(name, member)
        self._apply_effects(node, member.start(now) if join else [])

    def _seed_names(self) -> list[str]:
        """Return the names of the seed members: the first member of each of the first MAX_SEEDS sites."""
        return list(dict.fromkeys([names[0] for names in self.sites.values()][:MAX_SEEDS] + [self.names[0]]))

    def _record_start(self, name: str, member: FleetMember) -> None:
        now = self.event_loop.now
        self.observations.append(Observation(now, name, "begin"))
        quorum: QuorumTracker | None = getattr(member, "quorum", None)
        if quorum is None:
            return
        for scope, count in quorum.scopes.items():
            self.observations.append(Observation(now, name, "standing", scope, count.status))

    def kill(self, name: str, kind: str = "down") -> None:
        """End a process at once; `kind` is the action to record."""
        node = self.nodes.get(name)
        if node is not None and node.running:
            node.running = False
            self.record_action(kind, name)

    def pause(self, name: str) -> None:
        """Pause a process, as SIGSTOP does."""
        node = self.nodes[name]
        if node.running and not node.paused:
            node.paused = True
            self.record_action("pause", name)

    def resume(self, name: str) -> None:
        """Resume a process, as SIGCONT does: messages that arrived during the pause are handled before its timers."""
        node = self.nodes[name]
        if not (node.running and node.paused):
            return
        node.paused = False
        self.record_action("resume", name)
        pending_messages = node.pending_messages
        node.pending_messages = []
        for message in pending_messages:
            self._handle_message(node, message)
        self._tick(node)

    def leave(self, name: str) -> None:
        """Let a member leave the fleet, as on SIGTERM; its process ends LEAVE_DURATION_MS later."""
        node = self.nodes[name]
        if node.running:
            self._apply_effects(node, node.member.leave(self.event_loop.now))
            self.event_loop.call_at(self.event_loop.now + LEAVE_DURATION_MS, self._end_process, node)
            self.record_action("left", name)

    def _end_process(self, node: SimulatedNode) -> None:
        node.running = False

    def record_action(self, kind: str, name: str = "", rule_number: int = 0, rule: FaultRule | None = None) -> None:
        """Record what was done to a member, or which fault rule was added or removed."""
        self.actions.append(FaultAction(self.event_loop.now, kind, name, rule_number, rule))

    # Messages between members.

    def _apply_effects(self, node: SimulatedNode, effects: list[MembershipEffect]) -> None:
        for effect in effects:
            if isinstance(effect, SendPacket):
                self._send_packet(node, effect)
            elif isinstance(effect, RequestSync):
                self._request_sync(node, effect)
            elif isinstance(effect, CountEvent):
                self.counters[effect.counter] = self.counters.get(effect.counter, 0) + 1
            elif node.name in self.observers:
                self._record_observation(node.name, effect)
        next_tick_at = node.member.next_at()
        if next_tick_at != node.next_tick_at:
            node.next_tick_at = next_tick_at
            self.event_loop.call_at(next_tick_at, self._tick, node)

    def _record_observation(self, name: str, effect: MemberChanged | QuorumChanged) -> None:
        now = self.event_loop.now
        if isinstance(effect, MemberChanged):
            observation = Observation(now, name, "member", effect.name, effect.new_state, effect.incarnation)
        else:
            observation = Observation(now, name, "standing", effect.scope, effect.new_status)
        self.observations.append(observation)

    def _send_packet(self, node: SimulatedNode, effect: SendPacket) -> None:
        node.datagram_count += 1
        if self.measure_bytes:
            node.sent_bytes += len(encode(effect.packet)) + IP_UDP_HEADER_BYTES
        receiver = self.name_by_address.get(effect.address)
        if receiver is None:
            return
        message = Message(MessageKind.PACKET, effect.packet, node.name)
        for at in self.network.datagram_arrivals(self.event_loop.now, node.name, receiver):
            self.event_loop.call_at(at, self._deliver, receiver, message)

    def _request_sync(self, node: SimulatedNode, effect: RequestSync) -> None:
        """Send a view over TCP. It is lost if the link is cut in either direction or the receiver does not run."""
        receiver = self.name_by_address.get(effect.address)
        if receiver is None or self.network.is_cut(node.name, receiver) or self.network.is_cut(receiver, node.name):
            return
        target = self.nodes.get(receiver)
        if target is None or not target.running:
            return
        self._send_sync(node, receiver, MessageKind.SYNC_REQUEST, effect.sync, round_trips=2)

    def _send_sync(
        self, node: SimulatedNode, receiver: str, kind: MessageKind, sync: ViewSync, round_trips: int
    ) -> None:
        if self.measure_bytes:
            node.sent_bytes += len(encode(sync)) + TCP_EXCHANGE_BYTES
        at = self.event_loop.now + self.network.exchange_delay_ms(node.name, receiver, round_trips)
        self.event_loop.call_at(at, self._deliver, receiver, Message(kind, sync, node.name))

    def _deliver(self, receiver: str, message: Message) -> None:
        node = self.nodes.get(receiver)
        if node is None or not node.running:
            return
        if node.paused:
            if len(node.pending_messages) < MAX_PENDING_MESSAGES:
                node.pending_messages.append(message)
            return
        self._handle_message(node, message)

    def _handle_message(self, node: SimulatedNode, message: Message) -> None:
        now = self.event_loop.now
        content = message.content
        if isinstance(content, Packet):
            node.datagram_count += 1
            self._apply_effects(node, node.member.receive(now, content))
        elif message.kind is MessageKind.SYNC_REPLY:
            self._apply_effects(node, node.member.sync_received(now, content))
        else:
            reply, effects = node.member.sync_requested(now, content)
            self._apply_effects(node, effects)
            if reply is not None and not self.network.is_cut(node.name, message.sender):
                self._send_sync(node, message.sender, MessageKind.SYNC_REPLY, reply, round_trips=1)

    def _tick(self, node: SimulatedNode) -> None:
        now = self.event_loop.now
        if not node.running or node.paused or now < node.member.next_at():
            return
        self._apply_effects(node, node.member.tick(now))


def _voter_set(voters: Mapping[str, Sequence[str]], limited: bool) -> VoterSet:
    """Return a voter set of all these members, or of some of each site if `limited` and the fleet is large."""
    members = sum(len(names) for names in voters.values())
    max_voters = VOTERS_PER_SITE if limited and members > MAX_MEMBERS_ALL_VOTERS else None
    return VoterSet(1, {site: tuple(names[:max_voters]) for site, names in voters.items()})
