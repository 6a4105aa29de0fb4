"""The lease session at an engine (etcd), and the coordinator that depends on the session."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import pytest

from myrtlespar.quota.lease import Incarnation
from myrtlespar.quota.lease_session import EngineOperation, EngineReply, EngineRequest, LeaseSession
from myrtlespar.quota.limit_coordinator import LimitCoordinator
from myrtlespar.quota.settings import GrantSettings, Limit

SETTINGS = GrantSettings()
SHARDS = range(4)
TTL_MS = 2000.0
FAST_CLOCK = 1.01  # rate of the engine's clock


@dataclass
class EngineModel:
    """The engine's state of one member's lease and keys."""

    lease_id: int = 0
    ends_at: float = 0.0
    keys: set[int] = field(default_factory=set)

    def reply(self, now: float, request: EngineRequest) -> EngineReply:
        if now >= self.ends_at:
            self.lease_id = 0
            self.keys = set()
        if request.operation is EngineOperation.GRANT:
            self.lease_id += 1000 + int(now)
            self.ends_at = now + TTL_MS / FAST_CLOCK
            self.keys = set()
            return EngineReply(lease_id=self.lease_id, ttl_ms=TTL_MS)
        if request.lease_id != self.lease_id:
            return EngineReply()
        if request.operation is EngineOperation.KEEP:
            self.ends_at = now + TTL_MS / FAST_CLOCK
            return EngineReply(ttl_ms=TTL_MS)
        if request.operation is EngineOperation.TAKE:
            self.keys.add(request.shard_id)
            return EngineReply(epoch=7)
        self.keys.discard(request.shard_id)
        return EngineReply()


def led_shards(session: LeaseSession, now: float) -> set[int]:
    return {shard_id for shard_id in SHARDS if session.epoch(now, shard_id)}


@pytest.mark.parametrize("seed", range(60))
def test_a_session_leads_only_while_the_engine_s_lease_lasts(seed: int) -> None:
    """A shard is led only within the engine's latest lease, and no longer once it is released.

    Losses and delays of replies are random.
    """
    random = Random(seed)
    session = LeaseSession(SETTINGS)
    engine = EngineModel()
    now = 0.0
    wanted: frozenset[int] = frozenset()
    for _ in range(300):
        now += random.expovariate(1 / 60)
        if random.random() < 0.2:
            wanted = frozenset(shard_id for shard_id in SHARDS if random.random() < 0.6)
        request = session.next_request(now, wanted)
        assert not led_shards(session, now) - wanted
        if request is None:
            continue
        now += random.choice((1.0, 5.0, 400.0, 1500.0))  # delay of the request
        reply: EngineReply | None = engine.reply(now, request)
        if random.random() < 0.3:
            reply = None
        now += random.choice((1.0, 5.0, 300.0, 1900.0))  # delay of the reply
        session.record_reply(now, request, reply)
        led = led_shards(session, now)
        assert not led or (now < engine.ends_at and led <= engine.keys), (now, engine, led)


def test_a_leader_stops_leading_a_shard_before_it_releases_the_shard_at_the_engine() -> None:
    """A leader that releases its shard must grant nothing more while it waits for the engine's reply.

    With real members, the next leader had started before that reply, and 22 starts were counted at a limit of 20.
    """
    voters = frozenset(("a", "b", "c"))
    limits = {"x": Limit(per_s=20.0)}
    coordinator = LimitCoordinator(Incarnation("a", 1), SETTINGS, limits, voters, 0.0, engine=True)
    coordinator.leadership.wanted_shards = {0}
    for reply in (EngineReply(lease_id=5, ttl_ms=TTL_MS), EngineReply(epoch=7)):
        request, _ = coordinator.next_engine_request(100.0)
        assert request is not None
        coordinator.engine_replied(101.0, request, reply)
    shard = coordinator.shards[0]
    assert shard.election.holds_lease(102.0)
    assert shard.ledger is not None
    coordinator.leadership.wanted_shards.clear()
    request, _ = coordinator.next_engine_request(110.0)
    assert request is not None
    assert request.operation is EngineOperation.DROP
    assert not shard.election.holds_lease(110.0)
    assert coordinator.shards[0].ledger is None
