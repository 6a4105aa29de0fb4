"""Heartbeats between all members with a fixed timeout: the baseline that membership is compared with.

There are no indirect probes, suspicions or refutations.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from myrtlespar.membership.messages import (
    ALIVE,
    FAILED,
    LEFT,
    PRESENT_STATES,
    GossipPush,
    MemberChanged,
    MembershipEffect,
    MemberUpdate,
    Packet,
    RequestSync,
    SendPacket,
    ViewSync,
)
from myrtlespar.membership.quorum import QuorumTracker, VoterSet
from myrtlespar.simulation.member_factory import FLEET_NAME, FleetMember, MemberFactory, MemberStart

HEARTBEAT_MS = 500.0
TIMEOUT_MS = 1500.0


class HeartbeatMember:
    """One member of the baseline."""

    def __init__(
        self, self_update: MemberUpdate, random: Random, now: float, seeds: Sequence[str], voter_set: VoterSet
    ) -> None:
        self.self_update = self_update
        self.seeds = list(seeds)
        self.random = random
        self.known: dict[str, MemberUpdate] = {}
        self.heard: dict[str, float] = {}
        self.quorum = QuorumTracker(self_update.name, voter_set, now)
        self._sequence_number = 0
        self._next_heartbeat_at = now + random.random() * HEARTBEAT_MS

    def start(self, now: float) -> list[MembershipEffect]:
        """Request the views of the seeds."""
        return [RequestSync(seed, self._sync()) for seed in self.seeds if seed != self.self_update.address]

    def next_at(self) -> float:
        """When the next heartbeat is due (ms)."""
        return self._next_heartbeat_at

    def tick(self, now: float) -> list[MembershipEffect]:
        """Send a heartbeat to all, and declare those failed that were silent for too long."""
        self._next_heartbeat_at = now + HEARTBEAT_MS * (0.95 + 0.1 * self.random.random())
        effects = self._heartbeat()
        if not self.known:
            effects += self.start(now)
        for name, heard_at in self.heard.items():
            update = self.known[name]
            if update.state == ALIVE and now - heard_at > TIMEOUT_MS:
                failed = MemberUpdate(name, update.site, update.address, update.incarnation, 0, FAILED)
                effects += self._put(now, failed)
        return effects

    def receive(self, now: float, packet: Packet) -> list[MembershipEffect]:
        """Handle a heartbeat."""
        sender = packet.sender
        known = self.known.get(sender.name)
        if known is not None and sender.incarnation < known.incarnation + (known.state == LEFT):
            return []
        self.heard[sender.name] = now
        if known is not None and known.precedence == sender.precedence:
            return []
        return self._put(now, sender)

    def sync_requested(self, now: float, sync: ViewSync) -> tuple[ViewSync | None, list[MembershipEffect]]:
        """Answer another member's view with ours."""
        return self._sync(), self.sync_received(now, sync)

    def sync_received(self, now: float, sync: ViewSync) -> list[MembershipEffect]:
        """Add members not known yet; from then on they must send heartbeats themselves."""
        effects: list[MembershipEffect] = []
        for update in (sync.sender, *sync.updates):
            new = update.name != self.self_update.name and update.name not in self.known
            if new and update.state in PRESENT_STATES:
                self.heard[update.name] = now
                effects += self._put(now, update)
        return effects

    def leave(self, now: float) -> list[MembershipEffect]:
        """Send a last heartbeat that says so."""
        own = self.self_update
        self.self_update = MemberUpdate(own.name, own.site, own.address, own.incarnation, 0, LEFT)
        return self._heartbeat()

    def _heartbeat(self) -> list[MembershipEffect]:
        self._sequence_number += 1
        packet = Packet(FLEET_NAME, self._sequence_number, self.self_update, 0, 1, GossipPush())
        return [SendPacket(update.address, packet) for update in self.known.values()]

    def _put(self, now: float, update: MemberUpdate) -> list[MembershipEffect]:
        name = update.name
        old = self.known.get(name)
        self.known[name] = update
        old_state = None if old is None else old.state
        present = update.state in PRESENT_STATES
        return [
            MemberChanged(name, old_state, update.state, update.incarnation, 0, ""),
            *self.quorum.set_present(name, present, now),
        ]

    def _sync(self) -> ViewSync:
        return ViewSync(FLEET_NAME, self.self_update, tuple(self.known.values()))


def heartbeat_factory() -> MemberFactory:
    """Makes members of the baseline."""

    def make(start: MemberStart) -> FleetMember:
        self_update = MemberUpdate(start.name, start.site, start.address, start.incarnation, 0, ALIVE)
        return HeartbeatMember(self_update, start.random, start.now, start.seeds, start.voter_set)

    return make
