"""The interface of a simulated member, and the factory that creates members."""

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
    """The part of `Member`'s interface that the simulation uses; `HeartbeatMember` implements it too."""

    def start(self, now: float) -> list[MembershipEffect]:
        """Join the fleet."""
        ...

    def next_at(self) -> float:
        """Return when `tick` is due (ms)."""
        ...

    def tick(self, now: float) -> list[MembershipEffect]:
        """Handle all timers that are due."""
        ...

    def receive(self, now: float, packet: Packet) -> list[MembershipEffect]:
        """Handle one packet."""
        ...

    def sync_requested(self, now: float, sync: ViewSync) -> tuple[ViewSync | None, list[MembershipEffect]]:
        """Merge another member's view and return the own view as the reply, if there is one."""
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
    """Return a factory of members that run the membership protocol."""

    def make(start: MemberStart) -> FleetMember:
        """Create the `Member` of one process, with the factory's settings."""
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
