"""Drives an agent's session at the engine: one request at a time, whatever is due first."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import structlog
from gevent.event import Event

from myrtlespar.fleet.settings import EngineSettings
from myrtlespar.net.etcd_client import EtcdClient
from myrtlespar.quota.limit_coordinator import LimitCoordinator
from myrtlespar.quota.messages import LimitEffect
from myrtlespar.runtime.counters import Counters

log = structlog.get_logger()


class LeaseSource:
    """One greenlet. `now` is the clock that limits go by, `apply_effects` what the agent's effects are handed to."""

    def __init__(
        self,
        settings: EngineSettings,
        fleet: str,
        agent: LimitCoordinator,
        now: Callable[[], float],
        carry: Callable[[list[LimitEffect]], None],
        counters: Counters,
    ) -> None:
        assert agent.lease_session is not None
        self.settings, self.coordinator, self.session = settings, agent, agent.lease_session
        self.now, self.apply_effects, self.counters = now, carry, counters
        self.etcd = EtcdClient(
            settings.address,
            f"/myrtlespar/{fleet}/ranges/",
            agent.self_id.name,
            settings.ttl_s,
            settings.timeout_ms / 1000.0,
            self._freed,
            self._failed,
        )
        self.answered_at = float("-inf")
        self._due = Event()

    def run(self) -> None:
        """Until the agent retires; then what is held is given back."""
        self.etcd.watch()
        while not self.coordinator.grant_holder.retired:
            request, effects = self.coordinator.next_engine_request(self.now())
            self.apply_effects(effects)
            if request is None:
                self._due.wait(self.coordinator.settings.ask_ms / 2000.0)
                self._due.clear()
            else:
                reply = self.etcd.carry(request)
                self.counters.add(f"engine.{request.operation.value}" if reply else "engine.unanswered")
                self.apply_effects(self.coordinator.engine_replied(self.now(), request, reply))
                if reply is None:
                    gevent.sleep(self.coordinator.settings.ask_ms / 2000.0)
                else:
                    self.answered_at = self.now()
        if self.session.lease_id:
            self.etcd.revoke(self.session.lease_id)
        self.etcd.close()

    def _freed(self, rng: int) -> None:
        self.session.shard_released(rng)
        self._due.set()

    def _failed(self, code: str) -> None:
        self.counters.add(f"engine.failed.{code}")
