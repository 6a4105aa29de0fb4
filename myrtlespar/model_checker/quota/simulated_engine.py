"""The engine of the explorer's world: leases, the keys attached to them, and revisions."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from myrtlespar.quota.lease_session import EngineOperation, EngineReply, EngineRequest

TTL_MS = 240.0  # lifetime of a lease
CLOCK_RATE = 1.02  # the fastest permitted clock


class ShardKey(NamedTuple):
    """The key of a shard: the lease to which it is attached, and the revision at which it was created."""

    lease_id: int
    epoch: int


@dataclass(slots=True)
class SimulatedEngine:
    """An engine whose clock runs as fast as is permitted, so that its leases end as early as possible."""

    lease_ends: dict[int, float] = field(default_factory=dict)  # true time of the end, by lease id
    keys: dict[int, ShardKey] = field(default_factory=dict)  # by shard id
    revision: int = 1

    def execute(self, now: float, request: EngineRequest) -> EngineReply:
        """Carry out one request and return the reply."""
        self._expire_leases(now)
        lease_end = now + TTL_MS / CLOCK_RATE
        self.revision += 1
        if request.operation is EngineOperation.GRANT:
            self.lease_ends[self.revision] = lease_end
            return EngineReply(lease_id=self.revision, ttl_ms=TTL_MS)
        if request.lease_id not in self.lease_ends:
            return EngineReply()
        if request.operation is EngineOperation.KEEP:
            self.lease_ends[request.lease_id] = lease_end
            return EngineReply(ttl_ms=TTL_MS)
        key = self.keys.get(request.shard_id)
        if request.operation is EngineOperation.TAKE and key is None:
            key = ShardKey(request.lease_id, self.revision)
            self.keys[request.shard_id] = key
        is_own = key is not None and key.lease_id == request.lease_id
        if request.operation is EngineOperation.DROP and is_own:
            del self.keys[request.shard_id]
        return EngineReply(epoch=key.epoch if key is not None and is_own else 0)

    def _expire_leases(self, now: float) -> None:
        for lease_id in [lease_id for lease_id, ends_at in self.lease_ends.items() if ends_at <= now]:
            del self.lease_ends[lease_id]
            self.keys = {shard_id: key for shard_id, key in self.keys.items() if key.lease_id != lease_id}
