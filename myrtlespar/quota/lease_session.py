"""A member's lease at an engine (etcd), and the shards that it leads under that lease.

The session is pure: its driver (`fleet.lease_source`) carries out one request at a time and passes in the reply, or
None if there was none.

All shards depend on one lease of the engine. Its duration counts from when the request that renewed it was sent, and is
shortened by the clock drift twice, for the member's clock and for the engine's. A shard's epoch is the revision at
which its key was created, so it grows with each leader. The member stops leading a shard before it deletes the shard's
key at the engine.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from myrtlespar.quota.settings import GrantSettings

NEVER = float("-inf")


class EngineOperation(StrEnum):
    """Kinds of requests to the engine."""

    GRANT = "grant"  # create a lease
    KEEP = "keep"  # renew the lease
    TAKE = "take"  # create a shard's key under the lease, unless it exists
    DROP = "drop"  # delete a shard's key, if it belongs to the lease


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """A request to the engine; `shard_id` is set for TAKE and DROP."""

    operation: EngineOperation
    sent_at: float  # monotonic milliseconds
    lease_id: int = 0
    shard_id: int = 0


@dataclass(frozen=True, slots=True)
class EngineReply:
    """The engine's reply to a request."""

    lease_id: int = 0
    ttl_ms: float = 0.0  # of GRANT and KEEP; 0: the lease has ended
    epoch: int = 0  # of TAKE; 0: the key belongs to another lease


@dataclass(slots=True)
class LeaseSession:
    """This member's view of its lease and shards. Times are its monotonic milliseconds."""

    settings: GrantSettings
    lease_id: int = 0  # 0: no lease
    expires_at: float = 0.0
    ttl_ms: float = 0.0
    renewed_at: float = NEVER
    epochs: dict[int, int] = field(default_factory=dict)  # by shard, of the shards that this member leads
    releasing: set[int] = field(default_factory=set)  # shards whose keys may still belong to the lease at the engine
    attempted_at: dict[int, float] = field(default_factory=dict)  # by shard: when its key was last requested

    def epoch(self, now: float, shard_id: int) -> int:
        """Return the epoch in which this member leads a shard; 0 if it does not lead it."""
        return self.epochs.get(shard_id, 0) if now < self.expires_at else 0

    def next_request(self, now: float, wanted: frozenset[int]) -> EngineRequest | None:
        """Return the request that is due now, if any; `wanted` are the shards that this member should lead."""
        if self.lease_id and now >= self.expires_at:
            self._reset()
        if not self.lease_id:
            return EngineRequest(EngineOperation.GRANT, now) if wanted else None
        for shard_id in [shard_id for shard_id in self.epochs if shard_id not in wanted]:
            del self.epochs[shard_id]
            self.releasing.add(shard_id)
        if now >= self.renewed_at + self.ttl_ms / 3:
            return EngineRequest(EngineOperation.KEEP, now, self.lease_id)
        for shard_id in sorted(self.releasing - wanted):
            return EngineRequest(EngineOperation.DROP, now, self.lease_id, shard_id)
        for shard_id in sorted(wanted):
            if shard_id not in self.epochs and now - self.attempted_at.get(shard_id, NEVER) >= self.settings.ask_ms:
                self.attempted_at[shard_id] = now
                self.releasing.add(shard_id)  # if the reply is lost, the key may belong to the lease
                return EngineRequest(EngineOperation.TAKE, now, self.lease_id, shard_id)
        return None

    def shard_released(self, shard_id: int) -> None:
        """Allow an immediate request for a shard, as its key was deleted at the engine."""
        self.attempted_at.pop(shard_id, None)

    def record_reply(self, now: float, request: EngineRequest, reply: EngineReply | None) -> None:
        """Apply the reply to a request; None: the outcome is unknown."""
        if reply is None or (request.operation is not EngineOperation.GRANT and request.lease_id != self.lease_id):
            return
        if request.operation in (EngineOperation.TAKE, EngineOperation.DROP):
            self.releasing.discard(request.shard_id)
            if request.operation is EngineOperation.TAKE and reply.epoch:
                self.epochs[request.shard_id] = reply.epoch
            return
        if reply.ttl_ms <= 0:
            self._reset()
            return
        if request.operation is EngineOperation.GRANT:
            self.lease_id = reply.lease_id
            self.expires_at = 0.0
        self.ttl_ms = reply.ttl_ms
        self.renewed_at = max(self.renewed_at, request.sent_at)
        usable_ms = self.settings.usable_span_ms(self.settings.usable_span_ms(reply.ttl_ms))
        self.expires_at = max(self.expires_at, request.sent_at + usable_ms)

    def _reset(self) -> None:
        self.lease_id = 0
        self.expires_at = 0.0
        self.renewed_at = NEVER
        self.epochs.clear()
        self.releasing.clear()
        self.attempted_at.clear()
