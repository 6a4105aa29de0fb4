"""Runs the limit coordinator of one process: its clock, its datagrams, and the effects that it returns.

`limits_port` admits requests, `budget_writer` writes the budget file, and `limits_report` reports to operators.
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
from myrtlespar.fleet.settings import FleetSettings, limits_change_error
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
    """Drives the fleet's limits in one process.

    It is created when the process starts; `start` creates the coordinator once this process owns the peer address.
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

        `key_of` returns the idempotency key of a request, by its id. `reload` reads the fleet file again; it is called
        when a change that was rejected as too early can be adopted. ConfigError if the budget file can't be used.
        """
        self.settings = settings
        self.peers = peers
        self.counters = counters
        self.clock_rate = settings.clock_rate
        self._reload = reload
        self._reload_when_settled = False  # a change was rejected only because the current version is not settled
        self.coordinator: LimitCoordinator | None = None
        self.lease_source: LeaseSource | None = None
        self.port = FleetLimitsAdmission(settings, classes, counters, Random(seed), self.now, key_of)
        budget_path: Path | None = None
        if any(limit.counted_unit is CountedUnit.BUDGET for limit in settings.limits.values()):
            budget_path = Path(settings.state) / f"budgets-{settings.name}.bin"
        self.budget_writer = BudgetWriter(budget_path, counters)
        unknown = {limit.cls for limit in settings.limits.values()} - {"", *classes}
        if unknown:
            log.warning("fleet: limits on request classes that this server does not have", classes=sorted(unknown))

    def now(self) -> float:
        """Return the time of the limits' clock in monotonic ms, at the rate `clock_rate`."""
        return monotonic_ms() * self.clock_rate

    def start(self, incarnation: int) -> None:
        """Create the coordinator and run it; call it once this process owns the peer address."""
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
            self.budget_writer.persisted_totals,
        )
        self.coordinator = coordinator
        coordinator.wall_offset_ms = self._wall_offset_ms(now)
        self.port.start(coordinator)
        self.peers.handlers[MAGIC[:3]] = self._datagram_received
        gevent.spawn(self._run_clock, coordinator)
        if self.budget_writer.path is not None:
            gevent.spawn(self.budget_writer.run, coordinator, self._persisted)
        if self.settings.engine is not None:  # gRPC is imported only if an engine is set
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
        """Stop using allowances, as this process ends or a second one of its name takes over. Returns immediately."""
        if self.coordinator is not None:
            self.coordinator.retire()

    def adopt(self, new_settings: FleetSettings) -> str:
        """Adopt a later version of the limits, completely or not at all.

        Returns:
            Why it was rejected, beginning with the key; empty if it was adopted or is the current version.
        """
        rejection = self.change_error(new_settings)
        if rejection or not self._is_change(new_settings):
            return rejection
        self.settings = replace(self.settings, limits=new_settings.limits, limits_version=new_settings.limits_version)
        if self.coordinator is not None:
            self._apply_effects(
                self.coordinator.adopt_limits(self.now(), new_settings.limits, new_settings.limits_version)
            )
        log.info("fleet: adopted new limits", version=new_settings.limits_version)
        return ""

    def change_error(self, new_settings: FleetSettings) -> str:
        """Return why a version of the limits can't be adopted, beginning with the key; empty if it can.

        If it is rejected only because the current version is not settled, the fleet file is read again once it is.
        """
        if not self._is_change(new_settings):
            return ""
        rejection = limits_change_error(self.settings, new_settings)
        if not rejection and self.coordinator is not None and not self.coordinator.grant_holder.settled:
            rejection = (
                f"limits_version: version {self.settings.limits_version} is not yet known to be adopted by all members"
            )
            # Operators do not repeat a reload that was rejected, and no member can settle the new version before this
            # member has adopted it.
            self._reload_when_settled = True
        if rejection:
            self.counters.add("limits.change_refused")
        return rejection

    def _is_change(self, new_settings: FleetSettings) -> bool:
        current = self.settings
        return (new_settings.limits, new_settings.limits_version) != (current.limits, current.limits_version)

    def set_present_members(self, names: frozenset[str]) -> None:
        """Set the names of the other members that are alive or suspect in this member's view."""
        if self.coordinator is not None:
            self.coordinator.present_members = names

    def report(self) -> bytes:
        """Return the answer to LIMITS: one line of JSON."""
        return limits_report.limits_line(self)

    def metrics(self) -> list[str]:
        """Return the limits' metrics as lines of Prometheus text."""
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
            if self._reload_when_settled and coordinator.grant_holder.settled:
                self._reload_when_settled = False
                self._reload()
            gevent.sleep(max(MIN_TICK_S, (coordinator.next_at() - self.now()) / 1000.0))

    def _datagram_received(self, data: bytes, _: float) -> None:
        try:
            datagram = decode(data)
        except UnsupportedPeerVersionError:
            return self.counters.add("limits.other_version")
        except MalformedPeerMessageError as error:
            return self.counters.add(f"limits.spoilt.{str(error).replace(' ', '_')}")
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
        if len(data) > MAX_DATAGRAM_BYTES:  # its keys are too long; receivers reject larger datagrams
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
