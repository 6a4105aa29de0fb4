"""The engine of the explorer's world: leases, keys under them, revisions."""

from __future__ import annotations

from dataclasses import dataclass, field

from myrtlespar.quota.lease_session import EngineOperation, EngineReply, EngineRequest

TTL_MS, FAST = 240.0, 1.02  # of its leases; how fast its clock is


@dataclass(slots=True)
class Engine:
    """The engine: leases, keys under them, revisions. Its clock is as fast as any may be."""

    leases: dict[int, float] = field(default_factory=dict)  # until when
    keys: dict[int, tuple[int, int]] = field(default_factory=dict)  # range: lease, epoch
    revision: int = 1

    def carry(self, now: float, request: EngineRequest) -> EngineReply:
        """One request to its answer."""
        for lease in [lease for lease, until in self.leases.items() if until <= now]:
            del self.leases[lease]
            self.keys = {rng: row for rng, row in self.keys.items() if row[0] != lease}
        ends = now + TTL_MS / FAST
        self.revision += 1
        if request.operation is EngineOperation.GRANT:
            self.leases[self.revision] = ends
            return EngineReply(lease_id=self.revision, ttl_ms=TTL_MS)
        if request.lease_id not in self.leases:
            return EngineReply()
        row = self.keys.get(request.shard_id)
        if request.operation is EngineOperation.KEEP:
            self.leases[request.lease_id] = ends
            return EngineReply(ttl_ms=TTL_MS)
        if request.operation is EngineOperation.TAKE and row is None:
            row = self.keys[request.shard_id] = request.lease_id, self.revision
        elif request.operation is EngineOperation.DROP and row is not None and row[0] == request.lease_id:
            del self.keys[request.shard_id]
        return EngineReply(epoch=row[1] if row is not None and row[0] == request.lease_id else 0)
