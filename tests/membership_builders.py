"""Builders of members and updates for the tests of membership."""

from __future__ import annotations

from random import Random

from myrtlespar.membership.member import Member
from myrtlespar.membership.messages import MemberUpdate
from myrtlespar.membership.quorum import VoterSet
from myrtlespar.membership.settings import MembershipSettings

SETTINGS = MembershipSettings()
VOTER_SET = VoterSet(1, {"x": ("a", "b", "c")})


def make_member(name: str = "a", settings: MembershipSettings = SETTINGS) -> Member:
    """A member of site x in a fleet of three voters, started at 0 ms."""
    return Member(name, "x", "127.8.0.1:7", 1000, "f", settings, VOTER_SET, [], Random(1), 0.0)


def update_of(
    name: str, incarnation: int, refutation: int, state: int, accuser: str = "", age_ms: int = 0
) -> MemberUpdate:
    """An update about a member of site x."""
    return MemberUpdate(name, "x", "127.8.0.2:7", incarnation, refutation, state, age_ms, accuser)
