"""All-to-all heartbeats with a fixed timeout: the baseline that the membership protocol is compared with.

It has no indirect probes, suspicions or refutations.
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

HEARTBEAT_INTERVAL_MS = 500.0
HEARTBEAT_TIMEOUT_MS = 1500.0


class HeartbeatMember:
    """A member that sends heartbeats to all members it knows, and declares silent ones failed."""

    def __init__(
        self, self_update: MemberUpdate, random: Random, now: float, seeds: Sequence[str], voter_set: VoterSet
    ) -> None:
        self.self_update = self_update
        self.seeds = list(seeds)
        self.random = random
        self.members: dict[str, MemberUpdate] = {}
        self.last_heartbeat_at: dict[str, float] = {}
        self.quorum = QuorumTracker(self_update.name, voter_set, now)
        self._sequence_number = 0
        self._next_heartbeat_at = now + random.random() * HEARTBEAT_INTERVAL_MS

    def start(self, now: float) -> list[MembershipEffect]:
        """Request the views of the seeds."""
        return [RequestSync(seed, self._view()) for seed in self.seeds if seed != self.self_update.address]

    def next_at(self) -> float:
        """Return when the next heartbeat is due (ms)."""
        return self._next_heartbeat_at

    def tick(self, now: float) -> list[MembershipEffect]:
        """Send a heartbeat to all members, and declare failed those whose last heartbeat is older than the timeout."""
        self._next_heartbeat_at = now + HEARTBEAT_INTERVAL_MS * (0.95 + 0.1 * self.random.random())
        effects = self._send_heartbeats()
        if not self.members:
            effects += self.start(now)
        for name, heartbeat_at in self.last_heartbeat_at.items():
            update = self.members[name]
            if update.state == ALIVE and now - heartbeat_at > HEARTBEAT_TIMEOUT_MS:
                failed = MemberUpdate(name, update.site, update.address, update.incarnation, 0, FAILED)
                effects += self._record_update(now, failed)
        return effects

    def receive(self, now: float, packet: Packet) -> list[MembershipEffect]:
        """Process a heartbeat, unless its incarnation is older than the known one or has left."""
        sender = packet.sender
        known = self.members.get(sender.name)
        if known is not None and sender.incarnation < known.incarnation + (known.state == LEFT):
            return []
        self.last_heartbeat_at[sender.name] = now
        if known is not None and known.precedence == sender.precedence:
            return []
        return self._record_update(now, sender)

    def sync_requested(self, now: float, sync: ViewSync) -> tuple[ViewSync | None, list[MembershipEffect]]:
        """Merge another member's view and return the own view as the reply."""
        return self._view(), self.sync_received(now, sync)

    def sync_received(self, now: float, sync: ViewSync) -> list[MembershipEffect]:
        """Add unknown members of a received view; the timeout of their heartbeats starts now."""
        effects: list[MembershipEffect] = []
        for update in (sync.sender, *sync.updates):
            new = update.name != self.self_update.name and update.name not in self.members
            if new and update.state in PRESENT_STATES:
                self.last_heartbeat_at[update.name] = now
                effects += self._record_update(now, update)
        return effects

    def leave(self, now: float) -> list[MembershipEffect]:
        """Announce the departure in a final heartbeat."""
        own = self.self_update
        self.self_update = MemberUpdate(own.name, own.site, own.address, own.incarnation, 0, LEFT)
        return self._send_heartbeats()

    def _send_heartbeats(self) -> list[MembershipEffect]:
        self._sequence_number += 1
        packet = Packet(FLEET_NAME, self._sequence_number, self.self_update, 0, 1, GossipPush())
        return [SendPacket(update.address, packet) for update in self.members.values()]

    def _record_update(self, now: float, update: MemberUpdate) -> list[MembershipEffect]:
        name = update.name
        old = self.members.get(name)
        self.members[name] = update
        old_state = None if old is None else old.state
        present = update.state in PRESENT_STATES
        return [
            MemberChanged(name, old_state, update.state, update.incarnation, 0, ""),
            *self.quorum.set_present(name, present, now),
        ]

    def _view(self) -> ViewSync:
        return ViewSync(FLEET_NAME, self.self_update, tuple(self.members.values()))


def heartbeat_factory() -> MemberFactory:
    """Return a factory of heartbeat members."""

    def make(start: MemberStart) -> FleetMember:
        """Create the heartbeat member of one process."""
        self_update = MemberUpdate(start.name, start.site, start.address, start.incarnation, 0, ALIVE)
        return HeartbeatMember(self_update, start.random, start.now, start.seeds, start.voter_set)

    return make
