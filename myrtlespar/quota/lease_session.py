"""A member's lease at an engine, and the ranges that it keeps under it. Pure: the driver carries out one request at a
time and hands in its answer, or that there was none.

All seats hang on one lease of the engine. It counts from the sending of what renewed it, and is counted short twice,
for our clock and for the engine's. A seat's epoch is the revision at which its key was made, so that it grows with
each keeper. What is given up is given up here first, then at the engine.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from myrtlespar.quota.settings import GrantSettings


class EngineOperation(StrEnum):
    """What is asked of the engine."""

    GRANT = "grant"  # a new lease
    KEEP = "keep"  # renew it
    TAKE = "take"  # make a range's key, if there is none, under the lease
    DROP = "drop"  # delete a range's key, if it is under the lease


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """One request, as sent at `sent`."""

    do: EngineOperation
    sent: float
    lease: int = 0
    rng: int = 0


@dataclass(frozen=True, slots=True)
class EngineReply:
    """The engine's answer. `ttl_ms` of GRANT and KEEP, 0 where the lease is gone; `epoch` of TAKE, 0 where the key is
    another's.
    """

    lease: int = 0
    ttl_ms: float = 0.0
    epoch: int = 0


@dataclass(slots=True)
class LeaseSession:
    """The lease and what is under it, as far as we know."""

    terms: GrantSettings
    lease: int = 0
    until: float = 0.0
    ttl_ms: float = 0.0
    renewed_at: float = float("-inf")
    held: dict[int, int] = field(default_factory=dict)  # range: epoch
    leaving: set[int] = field(default_factory=set)  # ranges whose keys may still be ours at the engine
    tried: dict[int, float] = field(default_factory=dict)

    def epoch(self, now: float, rng: int) -> int:
        """The epoch under which we keep a range, 0 if we do not."""
        return self.held.get(rng, 0) if now < self.until else 0

    def next(self, now: float, wanted: frozenset[int]) -> EngineRequest | None:
        """What is to be asked now, if anything."""
        if self.lease and now >= self.until:
            self._lost()
        if not self.lease:
            return EngineRequest(EngineOperation.GRANT, now) if wanted else None
        for rng in [rng for rng in self.held if rng not in wanted]:
            del self.held[rng]
            self.leaving.add(rng)
        if now >= self.renewed_at + self.ttl_ms / 3:
            return EngineRequest(EngineOperation.KEEP, now, self.lease)
        for rng in sorted(self.leaving - wanted):
            return EngineRequest(EngineOperation.DROP, now, self.lease, rng)
        for rng in sorted(wanted):
            if rng not in self.held and now - self.tried.get(rng, float("-inf")) >= self.terms.ask_ms:
                self.tried[rng] = now
                self.leaving.add(rng)  # without an answer the key may be ours
                return EngineRequest(EngineOperation.TAKE, now, self.lease, rng)
        return None

    def freed(self, rng: int) -> None:
        """The engine says that a range's key is gone: it may be taken at once."""
        self.tried.pop(rng, None)

    def answered(self, now: float, request: EngineRequest, reply: EngineReply | None) -> None:
        """What came of a request; None: nobody knows."""
        if reply is None or (request.do is not EngineOperation.GRANT and request.lease != self.lease):
            return
        if request.do in (EngineOperation.GRANT, EngineOperation.KEEP):
            if reply.ttl_ms <= 0:
                self._lost()
                return
            if request.do is EngineOperation.GRANT:
                self.lease, self.until = reply.lease, 0.0
            self.ttl_ms, self.renewed_at = reply.ttl_ms, max(self.renewed_at, request.sent)
            self.until = max(self.until, request.sent + self.terms.used(self.terms.used(reply.ttl_ms)))
        elif request.do is EngineOperation.DROP:
            self.leaving.discard(request.rng)
        elif reply.epoch:
            self.leaving.discard(request.rng)
            self.held[request.rng] = reply.epoch
        else:
            self.leaving.discard(request.rng)

    def _lost(self) -> None:
        self.lease, self.until, self.renewed_at = 0, 0.0, float("-inf")
        self.held.clear()
        self.leaving.clear()
        self.tried.clear()
