"""The components of one server process and how they are connected."""

from __future__ import annotations

import gc
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

import gevent
import structlog

from myrtlespar.admin.metrics import MetricsSnapshot
from myrtlespar.config import Config
from myrtlespar.handover.capacity_sharing import CapacitySharing
from myrtlespar.handover.driver import KeyHandover
from myrtlespar.handover.folder import DEFAULT_MAX_KEYS_BYTES, HandoverFolder, ReplacementStatus
from myrtlespar.handover.keys_file import max_file_bytes
from myrtlespar.handover.started_ids_file import StartedIdsFile
from myrtlespar.net.admin_server import AdminServer
from myrtlespar.net.ajp_backends import create_backend_pools
from myrtlespar.net.ajp_front import AjpFront
from myrtlespar.net.dependency_client import DependencyClient
from myrtlespar.net.engine_client import EngineClient
from myrtlespar.net.registry_client import RegistryClient
from myrtlespar.net.thrift_front import ThriftFront
from myrtlespar.request_coordinator import RequestCoordinator
from myrtlespar.runtime.counters import Counters
from myrtlespar.runtime.supervision import log_uncaught_exceptions, run_forever
from myrtlespar.runtime.tracing import log_admission, trace_to_log

if TYPE_CHECKING:  # imported at run time only where an operator enables the fleet
    from myrtlespar.fleet import FleetNode

log = structlog.get_logger()
Front = ThriftFront | AjpFront


class Application:
    """The connected components of one server process.

    The constructor creates the components, binds the addresses of the fronts and of the admin server, and then begins
    to receive the idempotency keys of the previous process. No client connection is accepted before `start`.

    Args:
        config: The configuration of this process.
        shutdown_requested: Whether a shutdown signal has arrived; ends the wait for an address that is in use.

    Raises:
        AddressInUseError: The address of a front or of the admin server is still in use after the wait.
        ConfigError: The fleet's configuration file is invalid.
    """

    def __init__(self, config: Config, shutdown_requested: Callable[[], bool]) -> None:
        self.config = config
        self.counters = Counters()
        log_uncaught_exceptions(self.counters)
        if config.trace:
            trace_to_log()
        self.coordinator = RequestCoordinator(config.settings, config.seed, config.limits, self.counters)
        self.engine_client = EngineClient(config, self.coordinator)
        self.dependency_client = DependencyClient(config, self.coordinator)
        self.registry_client = RegistryClient(config, self.coordinator, self.engine_client)
        self._attach_clients()
        self.fronts = self._create_fronts(shutdown_requested)
        self.fleet = _open_fleet(config, self.coordinator, self.counters) if config.fleet else None
        self._handover_folder = self._open_handover_folder()
        if self._handover_folder is not None:  # before the admin server, which tells that this process is ready
            CapacitySharing(self.coordinator, self._handover_folder).start()
            self._share_started_ids(self._handover_folder)
        self.admin_server = self._start_admin_server(shutdown_requested)
        # After everything else that can fail: reading the keys removes their file, so a later failure would lose them.
        self.key_handover = self._start_key_handover()
        self.coordinator.close_idle = self._set_idle_timeout
        self._coordinator_greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Accept clients and start the greenlets that serve them."""
        for front in self.fronts:
            front.start()
        self._coordinator_greenlet = gevent.spawn(self.coordinator.run)
        # Each name appears in the counter `fault.NAME` and in the log.
        gevent.spawn(run_forever, "kernel", self.engine_client.serve, self.counters)
        gevent.spawn(run_forever, "store", self.dependency_client.serve, self.counters)
        gevent.spawn(run_forever, "roster", self.registry_client.serve, self.counters)
        log.info(
            "serving",
            name=self.config.name,
            ports=[front.port for front in self.fronts],
            mgmt=self.admin_server.port if self.admin_server else None,
            calls_share=self.config.settings.calls_share,
            shared=self.config.settings.shared_dependency,
        )
        gc.freeze()  # objects created at the start live as long as the process: the garbage collector can skip them

    def raise_if_coordinator_ended(self) -> None:
        """Raise the exception that ended the coordinator's greenlet, if it has ended.

        Otherwise the server would still accept requests, but nothing would decide on them.
        """
        if self._coordinator_greenlet is not None and self._coordinator_greenlet.ready():
            self._coordinator_greenlet.get()

    def replacement_status(self) -> ReplacementStatus:
        """Return whether a replacement runs beside this process, which was told to end."""
        if self.key_handover is None:
            return ReplacementStatus.ABSENT
        return self.key_handover.replacement_status()

    def begin_publishing_keys(self) -> None:
        """Begin to write the idempotency keys for a replacement, as this process ends."""
        if self.key_handover is not None:
            self.key_handover.begin_publishing()

    def publish_keys(self) -> None:
        """Publish the idempotency keys for the next process. No request may be read any more."""
        if self.key_handover is not None:
            self.key_handover.publish_keys()

    def leave_fleet(self) -> None:
        """Announce to the other members that this server leaves, if it is in a fleet."""
        if self.fleet is not None:
            self.fleet.leave()

    def close_fleet(self) -> None:
        """Close the sockets and files of the fleet node, if this server is in a fleet."""
        if self.fleet is not None:
            self.fleet.close()

    def _attach_clients(self) -> None:
        """Connect the coordinator to the clients of its upstream servers."""
        self.coordinator.engines[""] = self.engine_client
        self.coordinator.gauges = self.engine_client
        self.coordinator.dependency = self.dependency_client
        self.coordinator.engines.update(create_backend_pools(self.config, self.coordinator))

    def _create_fronts(self, shutdown_requested: Callable[[], bool]) -> list[Front]:
        """Bind the addresses on which clients connect."""
        fronts: list[Front] = [ThriftFront(self.config, self.coordinator, shutdown_requested)]
        if self.config.ajp.listen:
            fronts.append(AjpFront(self.config, self.coordinator, self.config.ajp.listen, shutdown_requested))
        return fronts

    def _start_key_handover(self) -> KeyHandover | None:
        """Begin to receive the idempotency keys of the previous process, if a folder for them is configured."""
        if self._handover_folder is None:
            return None
        key_handover = KeyHandover(self.coordinator, self._handover_folder)
        key_handover.start()
        return key_handover

    def _open_handover_folder(self) -> HandoverFolder | None:
        """Return the folder that is shared with the previous process and with a replacement, if one is configured."""
        if not self.config.tmpdir:
            return None
        max_keys_bytes = max(
            DEFAULT_MAX_KEYS_BYTES,
            max_file_bytes(self.config.limits.max_idempotency_keys, self.config.limits.max_result_bytes),
        )
        return HandoverFolder(self.config.tmpdir, self.config.name, max_keys_bytes)

    def _share_started_ids(self, folder: HandoverFolder) -> None:
        """Record the ids of started requests where the other process of a replacement finds them."""
        tracker = self.coordinator.tracker
        tracker.started_ids.log = StartedIdsFile(
            folder, self.counters, lambda: folder.holds_lock and not tracker.keys.keeps_expired
        )

    def _start_admin_server(self, shutdown_requested: Callable[[], bool]) -> AdminServer | None:
        """Listen on the operators' address, if one is configured."""
        if self.config.mgmt is None:
            return None
        admin_server = AdminServer(
            self.config.mgmt,
            self.coordinator.admin,
            self.counters,
            self._is_ready,
            self._metrics,
            self.config.limits,
            shutdown_requested,
        )
        admin_server.start()
        return admin_server

    def _is_ready(self) -> bool:
        """Return whether this process can serve new clients."""
        return self.engine_client.has_been_up and not self.coordinator.draining

    def _metrics(self) -> MetricsSnapshot:
        """Return the metrics of this process, including those of the fleet node."""
        snapshot = self.coordinator.metrics_snapshot(self.config.class_names)
        return snapshot if self.fleet is None else replace(snapshot, extra_lines=self.fleet.metrics())

    def _set_idle_timeout(self, timeout_ms: float) -> None:
        """Set after how many ms the fronts close an idle client connection; 0 means never."""
        for front in self.fronts:
            front.idle_timeout_ms = timeout_ms


def _open_fleet(config: Config, coordinator: RequestCoordinator, counters: Counters) -> FleetNode:
    """Start the fleet node of this server.

    The fleet's modules are imported only here, so that a server outside of a fleet does not load them.
    """
    from myrtlespar.fleet import open_fleet

    def key_of(request_id: str) -> str:
        exchange = coordinator.tracker.find(request_id)
        return exchange.key if exchange is not None else ""

    fleet = open_fleet(config, counters, key_of)
    coordinator.admin.extra_commands[b"MEMBERS"] = fleet.members
    if fleet.limits is not None:
        coordinator.admin.extra_commands[b"LIMITS"] = fleet.limits.report
        coordinator.policy.fleet = fleet.limits.port
        coordinator.confirm_start = fleet.limits.port.confirm_start
        if config.trace:
            fleet.limits.port.admission_observer = log_admission
    return fleet
