"""Election of a shard's leader: a member holds the shard's lease while a majority of the voters promises it the shard.

A voter promises a shard to one incarnation of one member for the lease's duration, extended by the possible drift of
its clock. The candidate shortens the duration by the drift and counts it from when it sent the request that the voter
answered (see `GrantSettings.drift`), so two leases of one shard never overlap in true time. A voter makes no promise
for the duration of one lease after its start, as it does not know the promises of an earlier incarnation.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from myrtlespar.quota.messages import LeaseRequest, LeaseVote
from myrtlespar.quota.settings import GrantSettings


class Incarnation(NamedTuple):
    """Identifies one process of a member."""

    name: str
    number: int  # grows with each start of the member


NOBODY = Incarnation("", 0)


@dataclass(slots=True)
class LeasePromise:
    """A voter's latest promise of one shard."""

    candidate: Incarnation = NOBODY
    expires_at: float = 0.0
    epoch: int = 0


class LeaseVoter:
    """One voter's promises of all shards."""

    def __init__(self, settings: GrantSettings, now: float, engine: bool = False) -> None:
        """Start without promises.

        If an `engine` grants the leases, votes only require that the epoch is not lower than the latest promised one.
        """
        self.settings = settings
        self.engine = engine
        self.no_vote_before = now if engine else now + settings.safe_wait_ms(settings.lease_ms)
        self.promises = [LeasePromise() for _ in range(settings.ranges)]

    def vote(self, now: float, candidate: Incarnation, request: LeaseRequest) -> LeaseVote:
        """Promise the shard, or reject the request with the highest epoch promised. The caller adds the allowances."""
        promise = self.promises[request.shard_id]
        is_renewal = (promise.candidate == candidate or self.engine) and request.epoch >= promise.epoch
        if now < self.no_vote_before or not (
            is_renewal or (now >= promise.expires_at and request.epoch > promise.epoch)
        ):
            return LeaseVote(request.shard_id, request.sequence_number, False, promise.epoch)
        promise.candidate = candidate
        promise.epoch = request.epoch
        promise.expires_at = now + self.settings.safe_wait_ms(self.settings.lease_ms)
        return LeaseVote(request.shard_id, request.sequence_number, True, request.epoch)


@dataclass(slots=True)
class LeaseElection:
    """One member's candidacy for one shard, and its lease. Times are the member's monotonic milliseconds."""

    settings: GrantSettings
    voters: frozenset[str]
    epoch: int = 0
    acquired_at: float = 0.0  # the beginning of the current lease
    expires_at: float = 0.0  # 0: no lease was held under this epoch
    promised_at: dict[str, float] = field(default_factory=dict)  # by voter: when the request that it granted was sent
    requested_at: dict[int, float] = field(default_factory=dict)  # by sequence number of the request: when sent

    def holds_lease(self, now: float) -> bool:
        """Return whether this member holds the lease."""
        return now < self.expires_at

    def request_votes(self, now: float, sequence_number: int) -> LeaseRequest:
        """Return the request to send to all voters; without a lease, its epoch is later than any seen so far.

        Its `shard_id` is always 0, as an election does not know the id of its shard.
        """
        if not self.holds_lease(now) and (self.expires_at or not self.epoch):
            self._begin_epoch(self.epoch + 1)
        self.requested_at[sequence_number] = now
        oldest = now - self.settings.lease_ms
        for number in [number for number, sent_at in self.requested_at.items() if sent_at < oldest]:
            del self.requested_at[number]
        return LeaseRequest(0, self.epoch, sequence_number)

    def record_vote(self, now: float, voter: str, vote: LeaseVote) -> bool:
        """Count a vote. Returns True if it completes a majority and so begins a lease."""
        if voter not in self.voters:
            return False
        if not vote.granted:
            self._record_refusal(now, vote)
            return False
        sent_at = self.requested_at.get(vote.sequence_number)
        if sent_at is None or vote.highest_epoch != self.epoch:
            return False
        if self.expires_at and not self.holds_lease(now):  # another member may have led since the expiry
            return False
        self.promised_at[voter] = max(sent_at, self.promised_at.get(voter, sent_at))
        return self._extend(now)

    def _record_refusal(self, now: float, vote: LeaseVote) -> None:
        if vote.highest_epoch > self.epoch and self.holds_lease(now):
            # The voter has promised the shard to a candidate without a majority, and no longer accepts grants of this
            # epoch, so this member continues its lease under a later epoch.
            self.epoch = vote.highest_epoch + 1
        elif vote.highest_epoch >= self.epoch and not self.holds_lease(now):
            self._begin_epoch(vote.highest_epoch + 1)

    def _extend(self, now: float) -> bool:
        """Extend the lease to the time that a majority has promised. Returns True if the lease begins."""
        majority = len(self.voters) // 2 + 1
        if len(self.promised_at) < majority:
            return False
        counts_from = sorted(self.promised_at.values(), reverse=True)[majority - 1]
        expires_at = counts_from + self.settings.usable_span_ms(self.settings.lease_ms)
        if expires_at <= now:
            return False
        begins = not self.expires_at
        if begins:
            self.acquired_at = now
        self.expires_at = max(expires_at, self.expires_at)
        return begins

    def _begin_epoch(self, epoch: int) -> None:
        self.epoch = epoch
        self.expires_at = 0.0
        self.promised_at.clear()
        self.requested_at.clear()

    def stop_renewing(self) -> None:
        """Let the lease expire, so that another member can lead the shard."""
        self.requested_at.clear()

    def adopt_engine_lease(self, now: float, epoch: int, expires_at: float) -> bool:
        """Adopt the engine's lease; epoch 0 means no lease. Returns True if a lease begins."""
        begins = bool(epoch) and epoch != self.epoch
        if begins:
            self.acquired_at = now
        if epoch:
            self.epoch = epoch
            self.expires_at = expires_at
        else:
            self.expires_at = 0.0
        return begins
