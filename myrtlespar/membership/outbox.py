"""What goes out: packets with what rides on them, and the effects of one turn in their order."""

from __future__ import annotations

from myrtlespar.membership.dissemination import Dissemination, TokenBucket, weight
from myrtlespar.membership.messages import ALIVE, Body, MembershipEffect, MemberUpdate, Packet, SendPacket
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.membership.view import View

DATAGRAM = 1200  # bytes of one at the most
FRAME = 80  # of them, what frames a packet: magic, checksum, lengths, numbers and the body's own frame


class PacketOutbox:
    """Numbers packets, puts news on them, and gathers effects until they are taken."""

    def __init__(self, fleet: str, me: MemberUpdate, terms: MembershipSettings, view: View, now: float) -> None:
        self.fleet, self.me, self.view = fleet, me, view
        self.roll = 0
        self.spread = Dissemination(terms)
        self.bucket = TokenBucket(terms.push_per_s, now)  # of packets that nothing but news calls for
        self.out: list[MembershipEffect] = []
        self._no = 0

    @property
    def size(self) -> int:
        """Members believed here, oneself included."""
        return len(self.view.all) + 1

    def send(self, now: float, address: str, body: Body, to: str = "", tell: bool = False) -> None:
        """One packet; what is believed of its receiver goes first if it is bad (or `tell`), so that it can refute."""
        first: tuple[MemberUpdate, ...] = ()
        entry = self.view.entries.get(to) if to else None
        if entry is not None and (tell or entry.update.state != ALIVE):
            first = (entry.update,)
        named = len(getattr(body, "name", "")) + len(getattr(body, "address", "")) + len(getattr(body, "target", ""))
        room = DATAGRAM - FRAME - len(self.fleet) - weight(self.me) - named
        rumours, rows = self.spread.pick(now, self.size, room, first)
        self._no += 1
        self.out.append(
            SendPacket(address, Packet(self.fleet, self._no, self.me, self.view.hash, self.roll, body, rumours, rows))
        )

    def done(self) -> list[MembershipEffect]:
        """The effects since the last call."""
        out, self.out = self.out, []
        return out
