"""One member's votes, its candidacies for shards, and the grant ledgers of the shards that it leads.

Leases are granted by a majority of the voters or, if one is configured, by an engine. With an engine, votes only report
what the voters may have in use.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from myrtlespar.quota.grant_holder import GrantHolder
from myrtlespar.quota.grant_ledger import GrantLedger
from myrtlespar.quota.lease import Incarnation, LeaseElection, LeaseVoter
from myrtlespar.quota.lease_session import EngineReply, EngineRequest, LeaseSession
from myrtlespar.quota.limit_versions import LimitVersions
from myrtlespar.quota.messages import LeaseRequest, LeaseVote, LimitCounter
from myrtlespar.quota.outbox import Outbox
from myrtlespar.quota.settings import GrantSettings
from myrtlespar.quota.shards import Shard, leader_of, shard_of

MAX_ALLOWANCES_PER_VOTE = 14  # keeps a vote within one datagram


class ShardLeadership:
    """Handles the leases of one member as voter, candidate and leader."""

    def __init__(
        self,
        self_id: Incarnation,
        settings: GrantSettings,
        voters: frozenset[str],
        now: float,
        engine: bool,
        grant_holder: GrantHolder,
        versions: LimitVersions,
        outbox: Outbox,
    ) -> None:
        self.self_id = self_id
        self.settings = settings
        self.voters = voters
        self.lease_voter = LeaseVoter(settings, now, engine)
        self.lease_session = LeaseSession(settings) if engine else None
        self.shards = [Shard(LeaseElection(settings, voters)) for _ in range(settings.ranges)]
        self.wanted_shards: set[int] = set()  # shards to request from the engine
        self._grant_holder = grant_holder
        self._versions = versions
        self._outbox = outbox
        self._started_at = now
        self._sequence_number = 0

    def led_shard(self, now: float, shard_id: int) -> Shard | None:
        """Return the shard if this member leads it, otherwise None."""
        shard = self.shards[shard_id]
        return shard if shard.ledger is not None and shard.election.holds_lease(now) else None

    def retire(self) -> None:
        """Stop leading shards and being a candidate for them."""
        self.wanted_shards.clear()
        for shard in self.shards:
            shard.election.stop_renewing()
            shard.ledger = None

    def tick(self, now: float, present_voters: frozenset[str], budget_periods: Mapping[str, int]) -> None:
        """Request the votes that are due, and drop expired leases and grants.

        `budget_periods` is the number of the current period by limit.
        """
        name = self.self_id.name
        for shard_id, shard in enumerate(self.shards):
            is_requested = now - shard.last_requested_at < self.settings.cold_ms
            is_preferred = name in self.voters and leader_of(shard_id, present_voters) == name
            if is_preferred and is_requested:
                self._campaign(now, shard_id, shard)
            else:
                shard.election.stop_renewing()
                self.wanted_shards.discard(shard_id)
            if shard.ledger is None:
                continue
            if not shard.election.holds_lease(now):
                shard.ledger = None
            else:
                shard.ledger.drop_idle(now)
                shard.ledger.budget_allocator.drop_expired(budget_periods)

    def _campaign(self, now: float, shard_id: int, shard: Shard) -> None:
        holds_lease = shard.election.holds_lease(now)
        is_due = now - shard.last_candidacy_at >= self.settings.renewal_interval_ms
        if self.lease_session is not None:
            self.wanted_shards.add(shard_id)
            if holds_lease and is_due:
                self._request_votes(now, shard_id, shard)
        elif not holds_lease or is_due:
            self._request_votes(now, shard_id, shard)

    def _request_votes(self, now: float, shard_id: int, shard: Shard) -> None:
        self._sequence_number += 1
        sequence_number = self._sequence_number
        shard.last_candidacy_at = now
        if self.lease_session is not None:
            epoch = shard.election.epoch
        else:
            epoch = shard.election.request_votes(now, sequence_number).epoch
        if not shard.election.holds_lease(now):
            shard.ledger = None
        for name in sorted(self.voters):
            self._outbox.send(now, name, LeaseRequest(shard_id, epoch, sequence_number))

    # Leases granted by an engine.

    def next_engine_request(self, now: float) -> EngineRequest | None:
        """Return the request to the engine that is due, if any.

        This member stops leading a shard before the request that releases it is sent, as another member may lead the
        shard before the reply arrives.
        """
        assert self.lease_session is not None
        request = self.lease_session.next_request(now, frozenset(self.wanted_shards))
        self._apply_session(now)
        return request

    def record_engine_reply(self, now: float, request: EngineRequest, reply: EngineReply | None) -> None:
        """Apply the engine's reply; None: the outcome is unknown."""
        assert self.lease_session is not None
        self.lease_session.record_reply(now, request, reply)
        self._apply_session(now)

    def _apply_session(self, now: float) -> None:
        """Start leading the shards that the session has acquired, and stop leading those that it has lost."""
        assert self.lease_session is not None
        for shard_id, shard in enumerate(self.shards):
            epoch = self.lease_session.epoch(now, shard_id)
            if shard.election.adopt_engine_lease(now, epoch, self.lease_session.expires_at):
                shard.ledger = GrantLedger(self.settings, now, self.voters)
                self._outbox.count(LimitCounter.LEADERSHIP_BEGAN)
                self._request_votes(now, shard_id, shard)
            elif not shard.election.holds_lease(now):
                shard.ledger = None

    # Votes and the allowances that they report.

    def vote(self, now: float, candidate: Incarnation, request: LeaseRequest) -> None:
        """Answer a candidate with a vote and, if it is granted, with this member's allowances of the shard."""
        if candidate.name not in self.voters or self.self_id.name not in self.voters or self._grant_holder.retired:
            return
        vote = self.lease_voter.vote(now, candidate, request)
        if vote.granted:
            vote = self._with_allowances(now, vote)
        else:
            vote = msgspec.structs.replace(vote, version=self._versions.version)
        self._outbox.send(now, candidate.name, vote)

    def _with_allowances(self, now: float, vote: LeaseVote) -> LeaseVote:
        shard_keys = frozenset(
            key for key in self._grant_holder.allowances if shard_of(key, self.settings.ranges) == vote.shard_id
        )
        allowances = self._grant_holder.outstanding(now, shard_keys)
        # An earlier incarnation of this member may still have grants in use.
        earlier_may_hold = now < self._started_at + self._versions.longest_grant_wait_ms()
        return LeaseVote(
            vote.shard_id,
            vote.sequence_number,
            True,
            vote.highest_epoch,
            len(allowances) <= MAX_ALLOWANCES_PER_VOTE and not earlier_may_hold,
            tuple(allowances[:MAX_ALLOWANCES_PER_VOTE]),
            self._versions.version,
        )

    def record_vote(self, now: float, voter: Incarnation, vote: LeaseVote) -> None:
        """Count a vote, start leading the shard if it completes a majority, and record the voter's allowances."""
        shard = self.shards[vote.shard_id]
        self._versions.record(now, voter.name, vote.version)
        if self.lease_session is None and shard.election.record_vote(now, voter.name, vote):
            shard.ledger = GrantLedger(self.settings, now, self.voters)
            self._outbox.count(LimitCounter.LEADERSHIP_BEGAN)
        if shard.ledger is not None and vote.granted and vote.highest_epoch == shard.election.epoch:
            limits = {key: limit for key, _ in vote.allowances if (limit := self._versions.limit_of(key)) is not None}
            shard.ledger.record_voter_allowances(now, voter, vote.complete, vote.allowances, limits)
