"""Runs the limit coordinator of one process: its clock, its datagrams, and the effects that it returns.

Admission itself is `limits_port`, the budget file `budget_writer`, what operators see `limits_report`.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import gevent
import structlog
from msgspec.structs import replace

from myrtlespar.fleet import limits_report
from myrtlespar.fleet.budget_writer import BudgetWriter
from myrtlespar.fleet.limits_port import FleetLimitsAdmission
from myrtlespar.fleet.settings import FleetSettings, limits_fault
from myrtlespar.net.codec.limits import MAGIC, LimitDatagram, decode, encode
from myrtlespar.net.codec.peer import MAX_DATAGRAM_BYTES, MalformedPeerMessageError, UnsupportedPeerVersionError
from myrtlespar.net.peer_transport import PeerTransport, monotonic_ms
from myrtlespar.quota.lease import Incarnation
from myrtlespar.quota.limit_coordinator import LimitCoordinator
from myrtlespar.quota.messages import CountEvent, LimitEffect, PersistThenSend, SendMessage
from myrtlespar.quota.settings import CountedUnit
from myrtlespar.runtime.counters import Counters

if TYPE_CHECKING:
    from myrtlespar.fleet.lease_source import LeaseSource

log = structlog.get_logger()
MIN_TICK_S = 0.001


class LimitsDriver:
    """The fleet's limits in one process.

    Created with the process; `start` creates the coordinator once the peer address is this process's own.
    """

    def __init__(
        self,
        settings: FleetSettings,
        classes: Sequence[str],
        peers: PeerTransport,
        counters: Counters,
        seed: int,
        key_of: Callable[[str], str] = lambda request_id: "",
        reload: Callable[[], None] = lambda: None,
    ) -> None:
        """Create the driver without a coordinator.

        `key_of` returns the idempotency key of a request's id. `reload` reads the fleet's file again; it is called once
        a change that came too early can be adopted. ConfigError if the budget file can't be used.
        """
        self.settings = settings
        self.peers = peers
        self.counters = counters
        self.clock_rate = settings.clock_rate
        self._reload = reload
        self._awaits_settling = False  # a change was rejected only because the present version is not settled
        self.coordinator: LimitCoordinator | None = None
        self.lease_source: LeaseSource | None = None
        self.port = FleetLimitsAdmission(settings, classes, counters, Random(seed), self.now, key_of)
        budget_path: Path | None = None
        if any(limit.counted_unit is CountedUnit.BUDGET for limit in settings.limits.values()):
            budget_path = Path(settings.state) / f"budgets-{settings.name}.bin"
        self.budget_writer = BudgetWriter(budget_path, counters)
        unknown = {limit.cls for limit in settings.limits.values()} - {"", *classes}
        if unknown:
            log.warning("fleet: limits on classes that this server does not have", classes=sorted(unknown))

    def now(self) -> float:
        """Return the time on the clock of limits, in monotonic ms."""
        return monotonic_ms() * self.clock_rate

    def start(self, incarnation: int) -> None:
        """Create the coordinator and run it, as the peer address is this process's own now."""
        now = self.now()
        self.budget_writer.reload()
        coordinator = LimitCoordinator(
            Incarnation(self.settings.name, incarnation),
            self.settings.grants,
            self.settings.limits,
            self.settings.voter_set.names,
            now,
            self.settings.limits_version,
            self.settings.engine is not None,
            self.budget_writer.rows,
        )
        self.coordinator = coordinator
        coordinator.wall_offset_ms = self._wall_offset_ms(now)
        self.port.start(coordinator)
        self.peers.handlers[MAGIC[:3]] = self._datagram_received
        gevent.spawn(self._run_clock, coordinator)
        if self.budget_writer.path is not None:
            gevent.spawn(self.budget_writer.run, coordinator, self._persisted)
        if self.settings.engine is not None:  # loaded only where one is set
            from myrtlespar.fleet.lease_source import LeaseSource

            self.lease_source = LeaseSource(
                self.settings.engine,
                self.settings.fleet,
                coordinator,
                self.now,
                self._apply_effects,
                self.counters,
            )
            gevent.spawn(self.lease_source.run)

    def retire(self) -> None:
        """Use no allowance any more, as this process ends or a second one of its name takes over. Returns at once."""
        if self.coordinator is not None:
            self.coordinator.retire()

    def adopt(self, fresh: FleetSettings) -> str:
        """Adopt a later version of the limits, completely or not at all.

        Returns:
            Why it was rejected, beginning with the key; empty if it was adopted or is the present one.
        """
        fault = self.change_fault(fresh)
        if fault or not self._is_change(fresh):
            return fault
        self.settings = replace(self.settings, limits=fresh.limits, limits_version=fresh.limits_version)
        if self.coordinator is not None:
            self._apply_effects(self.coordinator.adopt_limits(self.now(), fresh.limits, fresh.limits_version))
        log.info("fleet: limits taken over", version=fresh.limits_version)
        return ""

    def change_fault(self, fresh: FleetSettings) -> str:
        """Return why a version of the limits can't be adopted, beginning with the key; empty if it can.

        One that only comes too early is read again once it can be adopted.
        """
        if not self._is_change(fresh):
            return ""
        fault = limits_fault(self.settings, fresh)
        if not fault and self.coordinator is not None and not self.coordinator.grant_holder.settled:
            fault = f"limits_version: version {self.settings.limits_version} is not yet known to be taken by all"
            # Nobody sends the change again, and all other members would wait for this one to adopt it.
            self._awaits_settling = True
        if fault:
            self.counters.add("limits.change_refused")
        return fault

    def _is_change(self, fresh: FleetSettings) -> bool:
        present = self.settings
        return (fresh.limits, fresh.limits_version) != (present.limits, present.limits_version)

    def set_present_members(self, names: frozenset[str]) -> None:
        """Set the other members that are alive or suspect in this member's view."""
        if self.coordinator is not None:
            self.coordinator.present_members = names

    def report(self) -> bytes:
        """Return the answer to LIMITS: one JSON line."""
        return limits_report.limits_line(self)

    def metrics(self) -> list[str]:
        """Return lines of Prometheus text, by limit."""
        return limits_report.metrics_lines(self)

    def _wall_offset_ms(self, now: float) -> float:
        """Return what to add to `now` to get Unix time in ms."""
        return time.time() * 1000 + self.settings.wall_shift_ms - now

    def _run_clock(self, coordinator: LimitCoordinator) -> None:
        while not coordinator.grant_holder.retired:
            now = self.now()
            coordinator.wall_offset_ms = self._wall_offset_ms(now)
            if coordinator.next_at() <= now:
                self._apply_effects(coordinator.tick(now))
            if self._awaits_settling and coordinator.grant_holder.settled:
                self._awaits_settling = False
                self._reload()
            gevent.sleep(max(MIN_TICK_S, (coordinator.next_at() - self.now()) / 1000.0))

    def _datagram_received(self, data: bytes, _: float) -> None:
        try:
            datagram = decode(data)
        except UnsupportedPeerVersionError:
            return self.counters.add("limits.other_version")
        except MalformedPeerMessageError as why:
            return self.counters.add(f"limits.spoilt.{str(why).replace(' ', '_')}")
        if datagram.fleet != self.settings.fleet or datagram.name == self.settings.name or self.coordinator is None:
            return self.counters.add("limits.foreign")
        sender = Incarnation(datagram.name, datagram.incarnation)
        self._apply_effects(self.coordinator.receive(self.now(), sender, datagram.message))
        return None

    def _apply_effects(self, effects: list[LimitEffect]) -> None:
        for effect in effects:
            if isinstance(effect, PersistThenSend):
                self.budget_writer.enqueue(effect)
            elif isinstance(effect, SendMessage):
                self._send(effect)
            else:
                self._count(effect)

    def _send(self, effect: SendMessage) -> None:
        assert self.coordinator is not None
        name, incarnation = self.coordinator.self_id
        data = encode(LimitDatagram(self.settings.fleet, name, incarnation, effect.message))
        if len(data) > MAX_DATAGRAM_BYTES:  # keys too long for one datagram; the link promises to carry none
            self.counters.add("limits.oversized")
            return
        self.peers.send(effect.recipient, data)

    def _count(self, effect: CountEvent) -> None:
        self.counters.add(f"limits.{effect.counter.replace(' ', '_')}")
        if effect.log_message and self.counters.count_and_sample(f"limits.log.{effect.counter}"):
            log.warning("fleet: " + effect.log_message)

    def _persisted(self, effect: PersistThenSend) -> None:
        assert self.coordinator is not None
        self._apply_effects(self.coordinator.persisted(self.now(), effect))
