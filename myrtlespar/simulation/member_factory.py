"""What runs in a simulated process, and how it is made."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

from myrtlespar.membership.member import Member
from myrtlespar.membership.messages import MembershipEffect, Packet, ViewSync
from myrtlespar.membership.quorum import VoterSet
from myrtlespar.membership.settings import MembershipSettings

FLEET_NAME = "emulated"


class FleetMember(Protocol):
    """The interface of `Member` that the simulation drives; the heartbeat baseline has it too."""

    def start(self, now: float) -> list[MembershipEffect]:
        """Join the fleet."""
        ...

    def next_at(self) -> float:
        """When `tick` is due (ms)."""
        ...

    def tick(self, now: float) -> list[MembershipEffect]:
        """Handle all timers that are due."""
        ...

    def receive(self, now: float, packet: Packet) -> list[MembershipEffect]:
        """Handle one packet."""
        ...

    def sync_requested(self, now: float, sync: ViewSync) -> tuple[ViewSync | None, list[MembershipEffect]]:
        """Answer another member's view with ours."""
        ...

    def sync_received(self, now: float, sync: ViewSync) -> list[MembershipEffect]:
        """Merge another member's view."""
        ...

    def leave(self, now: float) -> list[MembershipEffect]:
        """Leave the fleet."""
        ...


@dataclass(frozen=True, slots=True)
class MemberStart:
    """What a process of a member is started with."""

    name: str
    site: str
    address: str
    incarnation: int
    random: Random
    now: float
    seeds: Sequence[str]
    voter_set: VoterSet


MemberFactory = Callable[[MemberStart], FleetMember]


def membership_factory(settings: MembershipSettings) -> MemberFactory:
    """Makes members of `membership` itself."""

    def make(start: MemberStart) -> FleetMember:
        return Member(
            start.name,
            start.site,
            start.address,
            start.incarnation,
            FLEET_NAME,
            settings,
            start.voter_set,
            start.seeds,
            start.random,
            start.now,
        )

    return make
