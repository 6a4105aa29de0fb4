"""Standing of oneself against a versioned electorate, for the fleet and for each site, kept up by counting."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum

from myrtlespar.membership.messages import QuorumChanged

FLEET = ""  # the scope that is the whole fleet; every other scope is a site's name


class QuorumStatus(IntEnum):
    """How much of an electorate one member believes present, itself included where it is an elector."""

    ALONE = 0  # no other elector
    MINORITY = 1  # some, but not more than half
    MAJORITY = 2  # more than half, not all
    WHOLE = 3  # all


# What each part of the program does in each standing of the fleet. One table, printed in docs/membership.md.
ACTS: Mapping[str, tuple[str, str, str, str]] = {
    #  part                         alone                   minority                majority        whole
    "reads and renders": ("go on", "go on", "go on", "go on"),
    "orders": ("go on, one server's promise", "go on, one server's promise", "go on", "go on"),
    "probing, spreading": ("look for seeds and failed", "go on, look for failed", "go on, look for failed", "go on"),
    "what must agree (roll changes)": ("stops", "stops", "goes on", "goes on"),
    "health, roster report": ("as the policy says", "as the policy says", "as the policy says", "as the policy says"),
}


@dataclass(frozen=True, slots=True)
class VoterSet:
    """The versioned roll: by site, the names that count. With an empty one no majority is ever claimed."""

    version: int
    sites: Mapping[str, tuple[str, ...]]

    @property
    def names(self) -> frozenset[str]:
        """All electors."""
        return frozenset(name for row in self.sites.values() for name in row)

    def even(self) -> list[str]:
        """Scopes whose even number lets a split leave no majority ('' is the fleet)."""
        out = [site for site, row in self.sites.items() if len(row) % 2 == 0]
        return ([FLEET] if len(self.names) % 2 == 0 else []) + out


def step_fault(old: VoterSet, new: VoterSet) -> str:
    """Why a roll can't follow another: only a later version that differs by one member can, as then any majority of
    the one and any of the other share a member. Empty if it can.
    """
    if new.version <= old.version:
        return f"version {new.version} does not follow {old.version}"
    apart = sorted(old.names ^ new.names)
    if len(apart) > 1:
        return f"version {new.version} differs by more than one member: {' '.join(apart[:6])}"
    return ""


def judge(total: int, present: int, other: int) -> QuorumStatus:
    """The standing where `present` of `total` electors are believed here, `other` of them not oneself."""
    if present == total and total:
        return QuorumStatus.WHOLE
    if 2 * present > total:
        return QuorumStatus.MAJORITY
    return QuorumStatus.MINORITY if other else QuorumStatus.ALONE


@dataclass(slots=True)
class VoteCount:
    """Counts for one scope."""

    electors: frozenset[str]
    mine: int  # 1 if oneself is one of them
    here: set[str] = field(default_factory=set)
    now: QuorumStatus = QuorumStatus.ALONE
    since: float = 0.0

    def look(self) -> QuorumStatus:
        """The standing by the counts."""
        return judge(len(self.electors), len(self.here) + self.mine, len(self.here))


class QuorumTracker:
    """All scopes of one member; `tell` says who came and went, changes come out in order."""

    def __init__(self, me: str, electorate: VoterSet, now: float) -> None:
        self.me, self.electorate = me, electorate
        self.isolated = False  # nobody has answered us for long: whatever is believed, we speak for ourselves only
        self.scopes: dict[str, VoteCount] = {}
        self._of: dict[str, list[str]] = {}
        self.adopt(electorate, now)

    def adopt(self, electorate: VoterSet, now: float) -> None:
        """Take a roll over; who is here must be told anew."""
        self.electorate = electorate
        rows = {FLEET: electorate.names, **{site: frozenset(row) for site, row in electorate.sites.items()}}
        self.scopes = {scope: VoteCount(names, int(self.me in names), since=now) for scope, names in rows.items()}
        self._of = {}
        for scope, names in rows.items():
            for name in names:
                self._of.setdefault(name, []).append(scope)
        for scope, tally in self.scopes.items():
            self._look(scope, tally, now)

    @property
    def fleet(self) -> VoteCount:
        """The whole fleet's."""
        return self.scopes[FLEET]

    def tell(self, name: str, here: bool, now: float) -> list[QuorumChanged]:
        """One member came or went; the changes of standing that follow."""
        out: list[QuorumChanged] = []
        for scope in self._of.get(name, ()):
            tally = self.scopes[scope]
            (tally.here.add if here else tally.here.discard)(name)
            out += self._look(scope, tally, now)
        return out

    def isolate(self, isolated: bool, now: float) -> list[QuorumChanged]:
        """Whether anybody answers us; the changes that follow."""
        if isolated == self.isolated:
            return []
        self.isolated = isolated
        return [change for scope, tally in self.scopes.items() for change in self._look(scope, tally, now)]

    def _look(self, scope: str, tally: VoteCount, now: float) -> list[QuorumChanged]:
        after = judge(len(tally.electors), tally.mine, 0) if self.isolated else tally.look()
        if after == tally.now:
            return []
        change = QuorumChanged(scope, tally.now, after)
        tally.now, tally.since = after, now
        return [change]
