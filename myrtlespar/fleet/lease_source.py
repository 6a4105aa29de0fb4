"""Carries out a limit coordinator's requests to the engine (etcd), one at a time and in order."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent.event import Event

from myrtlespar.fleet.settings import EngineSettings
from myrtlespar.net.etcd_client import EtcdClient
from myrtlespar.quota.limit_coordinator import LimitCoordinator
from myrtlespar.quota.messages import LimitEffect
from myrtlespar.runtime.counters import Counters

MS_PER_S = 1000.0


class LeaseSource:
    """Acquires, renews and releases the leases of shards at the engine, in one greenlet."""

    def __init__(
        self,
        settings: EngineSettings,
        fleet: str,
        coordinator: LimitCoordinator,
        now: Callable[[], float],
        apply_effects: Callable[[list[LimitEffect]], None],
        counters: Counters,
    ) -> None:
        """Create the etcd client; `now` returns the limits' clock in ms, `apply_effects` carries out effects."""
        assert coordinator.lease_session is not None
        self.coordinator = coordinator
        self.session = coordinator.lease_session
        self.now = now
        self.apply_effects = apply_effects
        self.counters = counters
        self.answered_at = float("-inf")  # time of the engine's latest reply, in ms of `now`
        self.etcd = EtcdClient(
            settings.address,
            f"/myrtlespar/{fleet}/ranges/",
            coordinator.self_id.name,
            settings.ttl_s,
            settings.timeout_ms / MS_PER_S,
            self._shard_released,
            self._request_failed,
        )
        self._shard_free = Event()

    def run(self) -> None:
        """Run until the coordinator retires, then revoke the lease, so that another member can lead immediately."""
        self.etcd.watch()
        while not self.coordinator.grant_holder.retired:
            self._step(self.coordinator.settings.ask_ms / 2.0 / MS_PER_S)
        if self.session.lease_id:
            self.etcd.revoke(self.session.lease_id)
        self.etcd.close()

    def _step(self, pause_s: float) -> None:
        """Send the request that is due, or wait until one may be due; pause after a request without a reply."""
        request, effects = self.coordinator.next_engine_request(self.now())
        self.apply_effects(effects)
        if request is None:
            self._shard_free.wait(pause_s)
            self._shard_free.clear()
            return
        reply = self.etcd.execute(request)
        self.counters.add(f"engine.{request.operation.value}" if reply else "engine.unanswered")
        self.apply_effects(self.coordinator.engine_replied(self.now(), request, reply))
        if reply is None:
            gevent.sleep(pause_s)
        else:
            self.answered_at = self.now()

    def _shard_released(self, shard_id: int) -> None:
        self.session.shard_released(shard_id)
        self._shard_free.set()

    def _request_failed(self, code: str) -> None:
        self.counters.add(f"engine.failed.{code}")
