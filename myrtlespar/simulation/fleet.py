"""A whole fleet in virtual time: its processes and the messages between them."""

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
LEAVE_MS = 300.0  # from leaving to the end of a process
MAX_SEEDS = 3
MAX_FLEET_ALL_VOTERS = 300  # members; in a larger fleet only some of each site are voters
VOTERS_PER_SITE = 5
MAX_WAITING_MESSAGES = 400  # about what a socket buffer holds
IP_UDP_HEADER_BYTES = 28
TCP_EXCHANGE_BYTES = 200  # headers, handshake and acknowledgements


def address_of(number: int) -> str:
    """The address of the member with this number."""
    return f"127.8.{number >> 8}.{number & 255}:7000"


class SimulatedFleet:
    """Nodes, the network between them, and a record of what was done and what was believed.

    `observers` limits whose beliefs are kept (all, if empty); `sizes` false leaves packets unencoded and uncounted.
    """

    def __init__(
        self,
        sites: Mapping[str, Sequence[str]],
        factory: MemberFactory,
        seed: int,
        observers: Sequence[str] = (),
        voters: Mapping[str, Sequence[str]] | None = None,
        sizes: bool = True,
    ) -> None:
        self.sites = sites
        self.factory = factory
        self.seed = seed
        self.sizes = sizes
        self.event_loop = EventLoop()
        self.network = SimulatedNetwork(seed)
        self.site_of = {name: site for site, names in sites.items() for name in names}
        self.names = list(self.site_of)
        self.address = {name: address_of(number) for number, name in enumerate(self.names, 1)}
        self.name_at = {address: name for name, address in self.address.items()}
        self.voter_set = _voter_set(sites if voters is None else voters, voters is None)
        self.observers = set(observers or self.names)
        self.nodes: dict[str, SimulatedNode] = {}
        self.actions: list[FaultAction] = []
        self.beliefs: list[Observation] = []
        self.counters: dict[str, int] = {}
        self._starts = 0

    def start(self, within_ms: float = 400.0) -> None:
        """Start all members, in an order and at times drawn from the seed."""
        random = Random(f"starts {self.seed}")
        for name in self.names:
            self.event_loop.at(random.random() * within_ms, self.up, name)

    def start_joined(self) -> None:
        """Start all members as if they had joined long ago, for large fleets whose joining is not of interest."""
        for name in self.names:
            self.up(name, join=False)
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
        """Run until this time (ms)."""
        self.event_loop.run(until)

    # Processes.

    def up(self, name: str, join: bool = True) -> None:
        """Start a process of a member."""
        self._starts += 1
        now = self.event_loop.now
        seed = hashlib.blake2b(f"{self.seed} {name} {self._starts}".encode(), digest_size=8).digest()
        member = self.factory(
            MemberStart(
                name,
                self.site_of[name],
                self.address[name],
                FIRST_INCARNATION + int(now),
                Random(int.from_bytes(seed, "big")),
                now,
                [self.address[seed_name] for seed_name in self._seeds()],
                self.voter_set,
            )
        )
        node = self.nodes[name] = SimulatedNode(name, member)
        self.record("up", name)
        if name in self.observers:
            self._observe_start(name, member)
        self._apply_effects(node, member.start(now) if join else [])

    def _seeds(self) -> list[str]:
        """The first member of some sites, and the first of all."""
        return list(dict.fromkeys([names[0] for names in self.sites.values()][:MAX_SEEDS] + [self.names[0]]))

    def _observe_start(self, name: str, member: FleetMember) -> None:
        now = self.event_loop.now
        self.beliefs.append(Observation(now, name, "begin"))
        quorum: QuorumTracker | None = getattr(member, "quorum", None)
        if quorum is None:
            return
        for scope, count in quorum.scopes.items():
            self.beliefs.append(Observation(now, name, "standing", scope, count.status))

    def down(self, name: str, kind: str = "down") -> None:
        """End a process at once."""
        node = self.nodes.get(name)
        if node is not None and node.up:
            node.up = False
            self.record(kind, name)

    def stop(self, name: str) -> None:
        """Stop a process, as by SIGSTOP."""
        node = self.nodes[name]
        if node.up and not node.stopped:
            node.stopped = True
            self.record("pause", name)

    def resume(self, name: str) -> None:
        """Resume a process, as by SIGCONT: messages that came meanwhile are handled before its timers."""
        node = self.nodes[name]
        if not (node.up and node.stopped):
            return
        node.stopped = False
        self.record("resume", name)
        waiting = node.waiting
        node.waiting = []
        for message in waiting:
            self._arrive(node, message)
        self._tick(node)

    def leave(self, name: str) -> None:
        """Leave the fleet, as by SIGTERM, and end a little later."""
        node = self.nodes[name]
        if node.up:
            self._apply_effects(node, node.member.leave(self.event_loop.now))
            self.event_loop.at(self.event_loop.now + LEAVE_MS, self._end, node)
            self.record("left", name)

    def _end(self, node: SimulatedNode) -> None:
        node.up = False

    def record(self, kind: str, name: str = "", rule_number: int = 0, rule: FaultRule | None = None) -> None:
        """Record what was done to a member, or which rule of links began or ended."""
        self.actions.append(FaultAction(self.event_loop.now, kind, name, rule_number, rule))

    # Messages.

    def _apply_effects(self, node: SimulatedNode, effects: list[MembershipEffect]) -> None:
        for effect in effects:
            if isinstance(effect, SendPacket):
                self._send_packet(node, effect)
            elif isinstance(effect, RequestSync):
                self._request_sync(node, effect)
            elif isinstance(effect, CountEvent):
                self.counters[effect.counter] = self.counters.get(effect.counter, 0) + 1
            elif node.name in self.observers:
                self._observe(node.name, effect)
        next_tick_at = node.member.next_at()
        if next_tick_at != node.next_tick_at:
            node.next_tick_at = next_tick_at
            self.event_loop.at(next_tick_at, self._tick, node)

    def _observe(self, name: str, effect: MemberChanged | QuorumChanged) -> None:
        now = self.event_loop.now
        if isinstance(effect, MemberChanged):
            belief = Observation(now, name, "member", effect.name, effect.new_state, effect.incarnation)
        else:
            belief = Observation(now, name, "standing", effect.scope, effect.new_status)
        self.beliefs.append(belief)

    def _send_packet(self, node: SimulatedNode, effect: SendPacket) -> None:
        node.datagrams += 1
        if self.sizes:
            node.sent_bytes += len(encode(effect.packet)) + IP_UDP_HEADER_BYTES
        receiver = self.name_at.get(effect.address)
        if receiver is None:
            return
        message = Message(MessageKind.PACKET, effect.packet, node.name)
        for at in self.network.datagram_arrivals(self.event_loop.now, node.name, receiver):
            self.event_loop.at(at, self._deliver, receiver, message)

    def _request_sync(self, node: SimulatedNode, effect: RequestSync) -> None:
        """Send a view over TCP; nothing happens while the link is cut or nobody listens."""
        receiver = self.name_at.get(effect.address)
        if receiver is None or self.network.is_cut(node.name, receiver) or self.network.is_cut(receiver, node.name):
            return
        target = self.nodes.get(receiver)
        if target is None or not target.up:
            return
        self._send_sync(node, receiver, MessageKind.SYNC_REQUEST, effect.sync, round_trips=2)

    def _send_sync(
        self, node: SimulatedNode, receiver: str, kind: MessageKind, sync: ViewSync, round_trips: int
    ) -> None:
        if self.sizes:
            node.sent_bytes += len(encode(sync)) + TCP_EXCHANGE_BYTES
        at = self.event_loop.now + self.network.stream_ms(node.name, receiver, round_trips)
        self.event_loop.at(at, self._deliver, receiver, Message(kind, sync, node.name))

    def _deliver(self, receiver: str, message: Message) -> None:
        node = self.nodes.get(receiver)
        if node is None or not node.up:
            return
        if node.stopped:
            if len(node.waiting) < MAX_WAITING_MESSAGES:
                node.waiting.append(message)
            return
        self._arrive(node, message)

    def _arrive(self, node: SimulatedNode, message: Message) -> None:
        now = self.event_loop.now
        content = message.content
        if isinstance(content, Packet):
            node.datagrams += 1
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
        if not node.up or node.stopped or now < node.member.next_at():
            return
        self._apply_effects(node, node.member.tick(now))


def _voter_set(voters: Mapping[str, Sequence[str]], limited: bool) -> VoterSet:
    """All of these as voters, or some of each site if `limited` and the fleet is large."""
    members = sum(len(names) for names in voters.values())
    max_voters = VOTERS_PER_SITE if limited and members > MAX_FLEET_ALL_VOTERS else None
    return VoterSet(1, {site: tuple(names[:max_voters]) for site, names in voters.items()})
