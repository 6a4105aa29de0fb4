"""Quorum status of a member: how many of a versioned set of voters it believes present, fleet-wide and by site."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum

from myrtlespar.membership.messages import QuorumChanged

FLEET = ""  # the scope that is the whole fleet; every other scope is a site's name
MAX_NAMES_IN_ERROR = 6


class QuorumStatus(IntEnum):
    """Quorum status: how many voters a member believes present, itself included if it is a voter.

    The names are shown to operators and appear in logs.
    """

    ALONE = 0  # no other voter
    MINORITY = 1  # some, but not more than half
    MAJORITY = 2  # more than half, not all
    WHOLE = 3  # all


# What each part of the program does at each quorum status of the fleet. docs/membership.md contains the same table.
BEHAVIOUR_BY_STATUS: Mapping[str, tuple[str, str, str, str]] = {
    #  part                         alone                   minority                majority        whole
    "reads and renders": ("go on", "go on", "go on", "go on"),
    "orders": ("go on, one server's promise", "go on, one server's promise", "go on", "go on"),
    "probing, spreading": ("look for seeds and failed", "go on, look for failed", "go on, look for failed", "go on"),
    "what must agree (voter set changes)": ("stops", "stops", "goes on", "goes on"),
    "health, roster report": ("as the policy says", "as the policy says", "as the policy says", "as the policy says"),
}


@dataclass(frozen=True, slots=True)
class VoterSet:
    """The versioned set of voters, by site. An empty set never has a majority."""

    version: int
    sites: Mapping[str, tuple[str, ...]]

    @property
    def names(self) -> frozenset[str]:
        """All voters."""
        return frozenset(name for voters in self.sites.values() for name in voters)

    def even_scopes(self) -> list[str]:
        """Scopes with an even number of voters, where a split may leave no majority ('' is the fleet)."""
        sites = [site for site, voters in self.sites.items() if len(voters) % 2 == 0]
        return ([FLEET] if len(self.names) % 2 == 0 else []) + sites


def voter_set_change_error(old: VoterSet, new: VoterSet) -> str:
    """Return why voter set `new` can't replace `old`; empty if it can.

    Its version must be later, and it may differ by one voter only: then any majority of the one set and any majority
    of the other share a voter.
    """
    if new.version <= old.version:
        return f"version {new.version} does not follow the present version {old.version}"
    difference = sorted(old.names ^ new.names)
    if len(difference) > 1:
        return f"version {new.version} differs by more than one member: {' '.join(difference[:MAX_NAMES_IN_ERROR])}"
    return ""


def quorum_status(total: int, present: int, others: int) -> QuorumStatus:
    """Return the status if `present` of `total` voters are believed present, `others` of them besides this member."""
    if present == total and total:
        return QuorumStatus.WHOLE
    if 2 * present > total:
        return QuorumStatus.MAJORITY
    return QuorumStatus.MINORITY if others else QuorumStatus.ALONE


@dataclass(slots=True)
class VoteCount:
    """The voters of one scope and those believed present."""

    voters: frozenset[str]
    self_votes: int  # 1 if this member is a voter of the scope, else 0
    others_present: set[str] = field(default_factory=set)
    status: QuorumStatus = QuorumStatus.ALONE
    since: float = 0.0  # when the status last changed, ms

    def counted_status(self, isolated: bool) -> QuorumStatus:
        """Return the status that follows from the counts; an isolated member counts no other voter."""
        others = 0 if isolated else len(self.others_present)
        return quorum_status(len(self.voters), others + self.self_votes, others)


class QuorumTracker:
    """Keeps one member's vote counts of all scopes, and returns the changes of their status in order."""

    def __init__(self, self_id: str, voter_set: VoterSet, now: float) -> None:
        self.self_id = self_id
        self.voter_set = voter_set
        self.isolated = False  # whether no member has answered us for `isolated_ms`
        self.scopes: dict[str, VoteCount] = {}
        self._scopes_of: dict[str, list[str]] = {}  # by voter
        self.adopt(voter_set, now)

    def adopt(self, voter_set: VoterSet, now: float) -> None:
        """Adopt a voter set; the caller then calls `set_present` for all present members."""
        self.voter_set = voter_set
        voters_by_scope = {FLEET: voter_set.names}
        for site, names in voter_set.sites.items():
            voters_by_scope[site] = frozenset(names)
        self.scopes = {}
        self._scopes_of = {}
        for scope, voters in voters_by_scope.items():
            self.scopes[scope] = VoteCount(voters, int(self.self_id in voters), since=now)
            for name in voters:
                self._scopes_of.setdefault(name, []).append(scope)
        for scope, count in self.scopes.items():
            self._update(scope, count, now)

    @property
    def fleet(self) -> VoteCount:
        """The vote count of the whole fleet."""
        return self.scopes[FLEET]

    def set_present(self, name: str, present: bool, now: float) -> list[QuorumChanged]:
        """Set whether a member is believed present; returns the changes of status that follow."""
        changes: list[QuorumChanged] = []
        for scope in self._scopes_of.get(name, ()):
            count = self.scopes[scope]
            if present:
                count.others_present.add(name)
            else:
                count.others_present.discard(name)
            changes += self._update(scope, count, now)
        return changes

    def set_isolated(self, isolated: bool, now: float) -> list[QuorumChanged]:
        """Set whether no member has answered us for `isolated_ms`; returns the changes of status that follow."""
        if isolated == self.isolated:
            return []
        self.isolated = isolated
        return [change for scope, count in self.scopes.items() for change in self._update(scope, count, now)]

    def _update(self, scope: str, count: VoteCount, now: float) -> list[QuorumChanged]:
        status = count.counted_status(self.isolated)
        if status == count.status:
            return []
        change = QuorumChanged(scope, count.status, status)
        count.status = status
        count.since = now
        return [change]
