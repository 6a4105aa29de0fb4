"""A whole fleet of the real membership machines in virtual time, played by a fault script."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from myrtlespar.fault_proxy.faults import ActiveFaults
from myrtlespar.fleet_tests.ground_truth import FaultAction
from myrtlespar.fleet_tests.observations import Observation
from myrtlespar.fleet_tests.script import ScriptStep
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
from myrtlespar.membership.quorum import VoterSet
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.membership.view import stamp
from myrtlespar.net.codec.peer import encode
from myrtlespar.simulation.event_loop import EventLoop

HOP_MS, HOP_JITTER_MS = 0.4, 0.4  # one way within a site or between near ones, as on loopback through the relay
START_MS = 300.0  # from the start of a process to its first packet
SEEDS = 3
ALL_ELECTORS, ELECTORS = 300, 5  # a larger fleet has an electorate of so many a site, unless one is given


class Machine(Protocol):
    """What runs in a node: `Member`, or the baseline."""

    def start(self, now: float) -> list[MembershipEffect]: ...
    def next_at(self) -> float: ...
    def tick(self, now: float) -> list[MembershipEffect]: ...
    def receive(self, now: float, packet: Packet) -> list[MembershipEffect]: ...
    def sync_requested(self, now: float, sync: ViewSync) -> tuple[ViewSync | None, list[MembershipEffect]]: ...
    def sync_received(self, now: float, sync: ViewSync) -> list[MembershipEffect]: ...
    def leave(self, now: float) -> list[MembershipEffect]: ...


@dataclass(slots=True)
class SimulatedNode:
    """One member's process."""

    name: str
    machine: Machine
    up: bool = True
    stopped: bool = False
    waiting: list[tuple[str, Packet | ViewSync, str]] = field(default_factory=list)  # came while it was stopped
    due: float = float("inf")
    sent: int = 0
    sent_bytes: int = 0
    datagrams: int = 0  # sent and received


Make = Callable[[str, str, str, int, Random, float, Sequence[str], VoterSet], Machine]


def real(terms: MembershipSettings) -> Make:
    """The membership machine itself."""

    def make(
        name: str, site: str, address: str, boot: int, dice: Random, now: float, seeds: Sequence[str], roll: VoterSet
    ) -> Machine:
        return Member(name, site, address, boot, "emulated", terms, roll, seeds, dice, now)

    return make


def address_of(n: int) -> str:
    """Where member n is reached."""
    return f"127.8.{n >> 8}.{n & 255}:7000"


class SimulatedFleet:
    """Nodes, the network between them, and a record of what was done and what was believed.

    `observers` limits whose beliefs are kept (all, if empty); `sizes` false leaves packets unencoded and uncounted.
    """

    def __init__(
        self,
        sites: Mapping[str, Sequence[str]],
        make: Make,
        seed: int,
        observers: Sequence[str] = (),
        electorate: Mapping[str, Sequence[str]] | None = None,
        sizes: bool = True,
    ) -> None:
        self.sites, self.make, self.seed, self.sizes = sites, make, seed, sizes
        self.engine, self.faults, self.dice = EventLoop(), ActiveFaults(), Random(f"network {seed}")
        self.site_of = {name: site for site, row in sites.items() for name in row}
        self.names = list(self.site_of)
        self.address = {name: address_of(n + 1) for n, name in enumerate(self.names)}
        self.name_at = {address: name for name, address in self.address.items()}
        roll = (
            electorate
            if electorate is not None
            else {site: row[:ELECTORS] if len(self.names) > ALL_ELECTORS else row for site, row in sites.items()}
        )
        self.roll = VoterSet(1, {site: tuple(row) for site, row in roll.items()})
        self.observers = set(observers or self.names)
        self.nodes: dict[str, SimulatedNode] = {}
        self.deeds: list[FaultAction] = []
        self.beliefs: list[Observation] = []
        self.notes: dict[str, int] = {}
        self.lost_before: dict[int, list[str]] = {}
        self._starts = 0

    def begin(self, spread_ms: float = 400.0) -> None:
        """Start all, in an order and at times drawn from the seed."""
        dice = Random(f"starts {self.seed}")
        for name in self.names:
            self.engine.at(dice.random() * spread_ms, self.up, name)

    def begin_joined(self) -> None:
        """Start all as if they had been together for long: joining is not what is looked at in large fleets."""
        for name in self.names:
            self.up(name, join=False)
        machines = [node.machine for node in self.nodes.values() if isinstance(node.machine, Member)]
        rumours = [machine.self_update for machine in machines]
        total = 0
        for rumour in rumours:
            total ^= stamp(rumour.name, rumour.precedence)
        for machine in machines:
            machine.view.fill(rumours, 0.0, total)
            machine.outbox.spread.clear()
            for name in machine.view.all:
                machine.quorum.tell(name, True, 0.0)

    def play(self, steps: Sequence[ScriptStep], from_ms: float) -> None:
        """Lay a script's steps out; its time 0 is `from_ms`."""
        for step in steps:
            self.engine.at(from_ms + step.at_ms, self._step, step)

    def run(self, until: float) -> None:
        """On to this time."""
        self.engine.run(until)

    # What is done to members.

    def up(self, name: str, join: bool = True) -> None:
        """A process of it starts."""
        self._starts += 1
        now, seeds = self.engine.now, [self.address[seed] for seed in self._seeds(name)]
        digest = hashlib.blake2b(f"{self.seed} {name} {self._starts}".encode(), digest_size=8).digest()
        machine = self.make(
            name,
            self.site_of[name],
            self.address[name],
            1_700_000_000_000 + int(now),
            Random(int.from_bytes(digest, "big")),
            now,
            seeds,
            self.roll,
        )
        node = self.nodes[name] = SimulatedNode(name, machine)
        self.deeds.append(FaultAction(now, "up", name))
        if name in self.observers:
            self.beliefs.append(Observation(now, name, "begin"))
            for scope, tally in getattr(getattr(machine, "standings", None), "scopes", {}).items():
                self.beliefs.append(Observation(now, name, "standing", scope, tally.now))
        self._carry(node, machine.start(now) if join else [])

    def _seeds(self, name: str) -> list[str]:
        """One fixed member of each site, and the first of all."""
        return list(dict.fromkeys([row[0] for row in self.sites.values()][:SEEDS] + [self.names[0]]))

    def down(self, name: str, kind: str = "down") -> None:
        """Its process is gone."""
        node = self.nodes.get(name)
        if node is not None and node.up:
            node.up = False
            self.deeds.append(FaultAction(self.engine.now, kind, name))

    def stop(self, name: str) -> None:
        """SIGSTOP."""
        node = self.nodes[name]
        if node.up and not node.stopped:
            node.stopped = True
            self.deeds.append(FaultAction(self.engine.now, "pause", name))

    def go_on(self, name: str) -> None:
        """SIGCONT: what came meanwhile is read first, then the clock is looked at."""
        node = self.nodes[name]
        if not (node.up and node.stopped):
            return
        node.stopped = False
        self.deeds.append(FaultAction(self.engine.now, "resume", name))
        waiting, node.waiting = node.waiting, []
        for kind, message, sender in waiting:
            self._arrive(node, kind, message, sender)
        self._tick(node.name, node)

    def leave(self, name: str) -> None:
        """SIGTERM: goodbye, and gone a little later."""
        node = self.nodes[name]
        if node.up:
            self._carry(node, node.machine.leave(self.engine.now))
            self.engine.at(self.engine.now + 300, self._left, name, node)
            self.deeds.append(FaultAction(self.engine.now, "left", name))

    def _left(self, name: str, node: SimulatedNode) -> None:
        node.up = False

    def _step(self, step: ScriptStep) -> None:
        now = self.engine.now
        if step.rule is not None:
            if step.kind == "rule_on":
                self.faults.put(step.number, step.rule)
            else:
                self.faults.drop(step.number)
            self.deeds.append(FaultAction(now, step.kind, "", step.number, step.rule))
            return
        if step.kind == "lose":
            self.lost_before[step.number] = [name for name in step.names if self.nodes[name].up]
        names = self.lost_before.get(step.number, []) if step.kind == "back" else step.names
        for name in names:
            if step.kind in ("kill", "lose"):
                self.down(name)
            elif step.kind in ("start", "back"):
                if not self.nodes[name].up:
                    self.engine.at(now + START_MS, self.up, name)
            elif step.kind == "pause":
                self.stop(name)
            elif step.kind == "resume":
                self.go_on(name)
            elif step.kind == "leave":
                self.leave(name)
            else:  # the new process waits for the old one's address, the old one goes without a word
                self.down(name)
                self.engine.at(now + 50, self.up, name)

    # The network.

    def _carry(self, node: SimulatedNode, effects: list[MembershipEffect]) -> None:
        now = self.engine.now
        for effect in effects:
            kind = type(effect)
            if kind is SendPacket:
                self._send(node, effect.address, effect.packet)  # type: ignore[union-attr]
            elif kind is RequestSync:
                self._ask(node, effect.address, effect.sync)  # type: ignore[union-attr]
            elif kind is CountEvent:
                self.notes[effect.counter] = self.notes.get(effect.counter, 0) + 1  # type: ignore[union-attr]
            elif node.name in self.observers:
                if isinstance(effect, MemberChanged):
                    self.beliefs.append(
                        Observation(now, node.name, "member", effect.name, effect.new_state, effect.incarnation)
                    )
                elif isinstance(effect, QuorumChanged):
                    self.beliefs.append(Observation(now, node.name, "standing", effect.scope, effect.new_status))
        due = node.machine.next_at()
        if due != node.due:
            node.due = due
            self.engine.at(due, self._tick, node.name, node)

    def _send(self, node: SimulatedNode, address: str, packet: Packet) -> None:
        node.datagrams += 1
        if self.sizes:
            node.sent_bytes += len(encode(packet)) + 28  # with the headers of IP and UDP
        to = self.name_at.get(address)
        if to is None:
            return
        link = self.faults.link(node.name, to)
        if link.cut:
            return
        dice = self.dice
        for delay in link.delays_ms(dice):
            self.engine.at(
                self.engine.now + HOP_MS + HOP_JITTER_MS * dice.random() + delay,
                self._deliver,
                to,
                "packet",
                packet,
                node.name,
            )

    def _ask(self, node: SimulatedNode, address: str, sync: ViewSync) -> None:
        """TCP: nothing while cut or refused; a lost segment is sent again after 200 ms."""
        to = self.name_at.get(address)
        if to is None or self.faults.link(node.name, to).cut or self.faults.link(to, node.name).cut:
            return
        target = self.nodes.get(to)
        if target is None or not target.up:
            return
        if self.sizes:
            node.sent_bytes += len(encode(sync)) + 200
        self.engine.at(self.engine.now + self._stream_ms(node.name, to, 2), self._deliver, to, "ask", sync, node.name)

    def _stream_ms(self, a: str, b: str, trips: int) -> float:
        total = 0.0
        for way in ((a, b), (b, a)) * trips:
            link = self.faults.link(*way)
            total += HOP_MS + link.delay_ms + link.jitter_ms * self.dice.random()
            for _ in range(8):
                if self.dice.random() >= link.drop:
                    break
                total += 200.0
        return total

    def _deliver(self, to: str, kind: str, message: Packet | ViewSync, sender: str) -> None:
        node = self.nodes.get(to)
        if node is None or not node.up:
            return
        if node.stopped:
            if len(node.waiting) < 400:  # about what a socket buffer holds
                node.waiting.append((kind, message, sender))
            return
        self._arrive(node, kind, message, sender)

    def _arrive(self, node: SimulatedNode, kind: str, message: Packet | ViewSync, sender: str) -> None:
        now = self.engine.now
        if isinstance(message, Packet):
            node.datagrams += 1
            self._carry(node, node.machine.receive(now, message))
        elif kind == "reply":
            self._carry(node, node.machine.sync_received(now, message))
        else:
            reply, effects = node.machine.sync_requested(now, message)
            self._carry(node, effects)
            if reply is not None and not self.faults.link(node.name, sender).cut:
                if self.sizes:
                    node.sent_bytes += len(encode(reply)) + 200
                self.engine.at(
                    now + self._stream_ms(node.name, sender, 1), self._deliver, sender, "reply", reply, node.name
                )

    def _tick(self, name: str, node: SimulatedNode) -> None:
        now = self.engine.now
        if not node.up or node.stopped or now < node.machine.next_at():
            return
        self._carry(node, node.machine.tick(now))
