"""The plain baseline, kept as a switch of the emulator: everybody tells everybody that it lives, and who is silent for
a fixed time is failed. No help, no doubt, no refutation; what a fleet costs and errs without `membership`.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from myrtlespar.membership.messages import (
    ALIVE,
    FAILED,
    PRESENT_STATES,
    LEFT,
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
from myrtlespar.simulation.fleet import Make

BEAT_MS = 500.0
SILENCE_MS = 1500.0


class Heartbeat:
    """One member of the baseline."""

    def __init__(
        self,
        name: str,
        site: str,
        address: str,
        boot: int,
        dice: Random,
        now: float,
        seeds: Sequence[str],
        electorate: VoterSet,
    ) -> None:
        self.me, self.seeds, self.dice = MemberUpdate(name, site, address, boot, 0, ALIVE), list(seeds), dice
        self.known: dict[str, MemberUpdate] = {}
        self.heard: dict[str, float] = {}
        self.quorum = QuorumTracker(name, electorate, now)
        self._no = 0
        self._at = now + dice.random() * BEAT_MS

    def start(self, now: float) -> list[MembershipEffect]:
        """Ask the seeds who is there."""
        return [RequestSync(seed, self._sync()) for seed in self.seeds if seed != self.me.address]

    def next_at(self) -> float:
        """The next beat."""
        return self._at

    def tick(self, now: float) -> list[MembershipEffect]:
        """A beat to all, and a look at who is silent."""
        self._at = now + BEAT_MS * (0.95 + 0.1 * self.dice.random())
        out = self._beat()
        if not self.known:
            out += self.start(now)
        for name, at in self.heard.items():
            rumour = self.known[name]
            if rumour.state == ALIVE and now - at > SILENCE_MS:
                out += self._put(now, MemberUpdate(name, rumour.site, rumour.address, rumour.incarnation, 0, FAILED))
        return out

    def receive(self, now: float, packet: Packet) -> list[MembershipEffect]:
        """A beat of another."""
        known = self.known.get(packet.sender.name)
        if known is not None and packet.sender.incarnation < known.incarnation + (known.state == LEFT):
            return []
        self.heard[packet.sender.name] = now
        return self._put(now, packet.sender) if known is None or known.precedence != packet.sender.precedence else []

    def sync_requested(self, now: float, sync: ViewSync) -> tuple[ViewSync | None, list[MembershipEffect]]:
        """Who is there."""
        return self._sync(), self.sync_received(now, sync)

    def sync_received(self, now: float, sync: ViewSync) -> list[MembershipEffect]:
        """Take over those not known yet; they must be heard themselves."""
        out: list[MembershipEffect] = []
        for rumour in (sync.sender, *sync.updates):
            if rumour.name != self.me.name and rumour.name not in self.known and rumour.state in PRESENT_STATES:
                self.heard[rumour.name] = now
                out += self._put(now, rumour)
        return out

    def leave(self, now: float) -> list[MembershipEffect]:
        """A last beat."""
        self.me = MemberUpdate(self.me.name, self.me.site, self.me.address, self.me.incarnation, 0, LEFT)
        return self._beat()

    def _beat(self) -> list[MembershipEffect]:
        self._no += 1
        packet = Packet("emulated", self._no, self.me, 0, 1, GossipPush())
        return [SendPacket(rumour.address, packet) for rumour in self.known.values()]

    def _put(self, now: float, rumour: MemberUpdate) -> list[MembershipEffect]:
        old = self.known.get(rumour.name)
        self.known[rumour.name] = rumour
        return [
            MemberChanged(rumour.name, None if old is None else old.state, rumour.state, rumour.incarnation, 0, ""),
            *self.quorum.set_present(rumour.name, rumour.state in PRESENT_STATES, now),
        ]

    def _sync(self) -> ViewSync:
        return ViewSync("emulated", self.me, tuple(self.known.values()))


def baseline() -> Make:
    """Makes members of the baseline."""

    def make(
        name: str, site: str, address: str, boot: int, dice: Random, now: float, seeds: Sequence[str], roll: VoterSet
    ) -> Heartbeat:
        return Heartbeat(name, site, address, boot, dice, now, seeds, roll)

    return make
