"""Who is the keeper of a range: a lease that a majority of the electorate promises, one voter at a time.

A voter promises a range to one life of one member until a span on its own clock is over, counted long; the candidate
counts its lease short, and from the sending of what the voter answered. So two leases of one range never overlap in
true time. A voter that has just started promises nothing for one longest lease.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from myrtlespar.quota.messages import LeaseRequest, LeaseVote
from myrtlespar.quota.settings import GrantSettings

Incarnation = tuple[str, int]  # a member's name, and the boot of its life


@dataclass(slots=True)
class LeasePromise:
    """What a voter promised for one range."""

    to: Incarnation = ("", 0)
    until: float = 0.0
    epoch: int = 0


class LeaseVoter:
    """One elector's promises, for all ranges."""

    def __init__(self, terms: GrantSettings, now: float, engine: bool = False) -> None:
        """With an `engine`, that decides who keeps a range, and epochs tell who is the later one."""
        self.terms, self.engine = terms, engine
        self.silent_until = now if engine else now + terms.waited(terms.lease_ms)
        self.given = [LeasePromise() for _ in range(terms.ranges)]

    def asked(self, now: float, by: Incarnation, ask: LeaseRequest) -> LeaseVote:
        """Promise, or say what stands against it. What is held is filled in by the caller."""
        given = self.given[ask.shard_id]
        same = (given.to == by or self.engine) and ask.epoch >= given.epoch
        if now < self.silent_until or not (same or (now >= given.until and ask.epoch > given.epoch)):
            return LeaseVote(ask.shard_id, ask.sequence_number, False, given.epoch)
        given.to, given.epoch, given.until = by, ask.epoch, now + self.terms.waited(self.terms.lease_ms)
        return LeaseVote(ask.shard_id, ask.sequence_number, True, ask.epoch)


@dataclass(slots=True)
class LeaseElection:
    """One member's attempt at one range. `promised` holds when each voter was asked what it then promised."""

    terms: GrantSettings
    voters: frozenset[str]
    epoch: int = 0
    since: float = 0.0  # of the lease at hand
    until: float = 0.0
    promised: dict[str, float] = field(default_factory=dict)
    asked: dict[int, float] = field(default_factory=dict)  # by number of the ask: when

    def has(self, now: float) -> bool:
        """Whether the lease holds."""
        return now < self.until

    def stand(self, now: float, no: int) -> LeaseRequest:
        """Ask all voters. Without a lease, with an epoch that no voter has heard of."""
        if not self.has(now) and (self.until or not self.epoch):
            self.epoch, self.until = self.epoch + 1, 0.0
            self.promised.clear()
            self.asked.clear()
        self.asked[no] = now
        for old in [one for one, at in self.asked.items() if at < now - self.terms.lease_ms]:
            del self.asked[old]
        return LeaseRequest(0, self.epoch, no)

    def answered(self, now: float, voter: str, promise: LeaseVote) -> bool:
        """Take a voter's answer in. True: with it a lease began."""
        if voter not in self.voters:
            return False
        if not promise.granted:
            if promise.highest_epoch > self.epoch and self.has(now):
                # it promised one that got no majority, and takes no grants of our epoch any more: the lease goes on
                # under a later one
                self.epoch = promise.highest_epoch + 1
            elif promise.highest_epoch >= self.epoch and not self.has(now):
                self.epoch, self.until = promise.highest_epoch + 1, 0.0
                self.promised.clear()
                self.asked.clear()
            return False
        at = self.asked.get(promise.sequence_number)
        if at is None or promise.highest_epoch != self.epoch:
            return False
        if self.until and not self.has(now):  # it lapsed meanwhile: another may have been keeper since
            return False
        self.promised[voter] = max(at, self.promised.get(voter, at))
        need = len(self.voters) // 2 + 1
        if len(self.promised) < need:
            return False
        began = not self.until
        until = sorted(self.promised.values(), reverse=True)[need - 1] + self.terms.used(self.terms.lease_ms)
        if until <= now:
            return False
        if began:
            self.since = now
        self.until = max(until, self.until)
        return began

    def give_up(self) -> None:
        """Another is to be keeper: the lease is not renewed."""
        self.asked.clear()

    def seated(self, now: float, epoch: int, until: float) -> bool:
        """What the engine says: our epoch and until when, 0 if we do not keep the range. True: with it a lease
        began.
        """
        began = bool(epoch) and epoch != self.epoch
        if began:
            self.since = now
        self.epoch, self.until = (epoch, until) if epoch else (self.epoch, 0.0)
        return began
