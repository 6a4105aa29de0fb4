"""Sends and handles grant requests and responses, both as a holder and as the leader of a shard."""

from __future__ import annotations

from myrtlespar.quota.grant_holder import GrantHolder
from myrtlespar.quota.lease import Incarnation
from myrtlespar.quota.limit_versions import LimitVersions
from myrtlespar.quota.messages import GrantRequest, GrantResponse, KeyDemand, LimitCounter
from myrtlespar.quota.outbox import Outbox
from myrtlespar.quota.settings import GrantSettings
from myrtlespar.quota.shard_leadership import ShardLeadership
from myrtlespar.quota.shards import leader_of, shard_of

MAX_DEMANDS_PER_REQUEST = 11  # keeps a request within one datagram


class GrantExchange:
    """Exchanges grants with the other members."""

    def __init__(
        self,
        settings: GrantSettings,
        grant_holder: GrantHolder,
        versions: LimitVersions,
        leadership: ShardLeadership,
        outbox: Outbox,
    ) -> None:
        self._settings = settings
        self._grant_holder = grant_holder
        self._versions = versions
        self._leadership = leadership
        self._outbox = outbox

    def request_grants(self, now: float, present_voters: frozenset[str]) -> None:
        """Request grants for the current demand from the leaders of the keys' shards."""
        by_shard: dict[int, list[KeyDemand]] = {}
        for key, demand in self._grant_holder.demands(now).items():
            by_shard.setdefault(shard_of(key, self._settings.ranges), []).append(demand)
        for shard_id, demands in sorted(by_shard.items()):
            leader = leader_of(shard_id, present_voters)
            for start in range(0, len(demands), MAX_DEMANDS_PER_REQUEST):
                sequence_number = self._grant_holder.register_request(now, shard_id)
                chunk = tuple(demands[start : start + MAX_DEMANDS_PER_REQUEST])
                request = GrantRequest(shard_id, sequence_number, chunk, self._versions.version)
                self._outbox.send(now, leader, request)

    def answer_request(self, now: float, sender: Incarnation, request: GrantRequest) -> None:
        """Answer a holder's request with grants, if this member leads the shard."""
        is_voter = sender.name in self._leadership.voters
        if is_voter:
            self._leadership.shards[request.shard_id].last_requested_at = now
            self._versions.record(now, sender.name, request.version)
        shard = self._leadership.led_shard(now, request.shard_id)
        if shard is None or shard.ledger is None or not is_voter:
            self._outbox.count(LimitCounter.NOT_LEADER)
            return
        amounts = []
        for demand in request.demands:
            limit = self._versions.limit_of(demand.key)
            if limit is None:
                self._outbox.count(LimitCounter.UNKNOWN_LIMIT)
                continue
            pool = self._versions.pool(limit)
            amount = shard.ledger.grant(now, sender, request.sequence_number, demand, limit, pool)
            if amount is not None:
                amounts.append((demand.key, amount))
        if not amounts:
            return
        response = GrantResponse(
            request.shard_id,
            shard.election.epoch,
            request.sequence_number,
            self._settings.grant_ms,
            tuple(amounts),
            self._versions.settled_version(now),
        )
        self._outbox.send(now, sender.name, response)

    def adopt_response(self, now: float, response: GrantResponse) -> None:
        """Adopt the grants in a leader's response, unless a later leader has replaced it."""
        if response.epoch < self._leadership.lease_voter.promises[response.shard_id].epoch:
            # This member has reported its allowances to a later leader, so grants of an earlier one must not be used.
            self._outbox.count(LimitCounter.FENCED)
            return
        if response.settled_version == self._versions.version and not self._grant_holder.settled:
            self._versions.settle()
        if not self._grant_holder.accept_grants(
            now, response.shard_id, response.sequence_number, response.duration_ms, response.amounts
        ):
            self._outbox.count(LimitCounter.LATE_GRANT)
