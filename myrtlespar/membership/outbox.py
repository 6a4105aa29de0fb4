"""Outgoing packets with the updates they carry, and the effects of one call to a member, in order."""

from __future__ import annotations

from myrtlespar.membership.dissemination import Dissemination, update_size
from myrtlespar.membership.messages import (
    ALIVE,
    Body,
    CountEvent,
    MembershipEffect,
    MemberUpdate,
    Packet,
    SendPacket,
)
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.membership.token_bucket import TokenBucket
from myrtlespar.membership.view import View

MAX_DATAGRAM_BYTES = 1200
FRAME_BYTES = 80  # magic, checksum, lengths, numbers and the body's own frame


class PacketOutbox:
    """Numbers packets, adds updates to them, and collects effects until `take_effects` returns them."""

    def __init__(
        self, fleet: str, self_update: MemberUpdate, settings: MembershipSettings, view: View, now: float
    ) -> None:
        self.fleet = fleet
        self.self_update = self_update
        self.view = view
        self.voter_set_version = 0
        self.dissemination = Dissemination(settings)
        self.push_budget = TokenBucket(settings.push_per_s, now)  # limits packets that only carry updates
        self.effects: list[MembershipEffect] = []
        self._sequence_number = 0

    @property
    def fleet_size(self) -> int:
        """Number of members believed present, this member included."""
        return len(self.view.present) + 1

    def send(self, now: float, address: str, body: Body, receiver: str = "", include_receiver: bool = False) -> None:
        """Add one packet with pending updates to the effects.

        Args:
            now: Monotonic time, ms.
            address: Where to send it.
            body: The packet's body.
            receiver: Name of the member at `address`, if known. If our view has it in a state other than alive, the
                packet carries the update about it first, so that the receiver can refute it.
            include_receiver: Carry the update about the receiver also if it is alive.
        """
        first: tuple[MemberUpdate, ...] = ()
        entry = self.view.entries.get(receiver) if receiver else None
        if entry is not None and (include_receiver or entry.update.state != ALIVE):
            first = (entry.update,)
        body_names = (getattr(body, "name", ""), getattr(body, "address", ""), getattr(body, "target", ""))
        fixed_bytes = FRAME_BYTES + len(self.fleet) + update_size(self.self_update) + sum(map(len, body_names))
        updates, rows = self.dissemination.pick(now, self.fleet_size, MAX_DATAGRAM_BYTES - fixed_bytes, first)
        self._sequence_number += 1
        packet = Packet(
            self.fleet,
            self._sequence_number,
            self.self_update,
            self.view.hash,
            self.voter_set_version,
            body,
            updates,
            rows,
        )
        self.effects.append(SendPacket(address, packet))

    def count(self, counter: str, log_message: str = "") -> None:
        """Add a `CountEvent` effect."""
        self.effects.append(CountEvent(counter, log_message))

    def take_effects(self) -> list[MembershipEffect]:
        """Return the effects since the last call."""
        effects = self.effects
        self.effects = []
        return effects
