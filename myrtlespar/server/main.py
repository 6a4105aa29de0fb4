"""Wiring of one instance and its signals, nothing else."""

from __future__ import annotations

import gc
import signal
from dataclasses import replace
from typing import TYPE_CHECKING

import gevent
import structlog

from myrtlespar.admin.commands import MetricsSnapshot
from myrtlespar.config import Config, ConfigError, load, needs_restart
from myrtlespar.handover.driver import KeyHandover
from myrtlespar.handover.folder import HandoverFolder
from myrtlespar.net.admin_server import AdminServer
from myrtlespar.net.ajp_backends import engines
from myrtlespar.net.ajp_front import AjpFront
from myrtlespar.net.dependency_client import DependencyClient
from myrtlespar.net.engine_client import EngineClient
from myrtlespar.net.listener import AddressInUseError
from myrtlespar.net.registry_client import RegistryClient
from myrtlespar.net.thrift_front import ThriftFront
from myrtlespar.request_coordinator import RequestCoordinator
from myrtlespar.runtime.clock import unix_ms
from myrtlespar.runtime.counters import Counters
from myrtlespar.runtime.log_output import LogOutput, complain, log_to_standard_output, open_standard_descriptors
from myrtlespar.runtime.startup_signals import StartupSignals, ignore_signals
from myrtlespar.runtime.supervision import report_uncaught, run_for_good
from myrtlespar.runtime.tracing import trace_to_log
from myrtlespar.state_machines.process import ProcessAction, ProcessEvent

if TYPE_CHECKING:  # loaded only where an operator sets the fleet up
    from myrtlespar.fleet import FleetNode

log = structlog.get_logger()


def serve(config: Config, early_signals: StartupSignals, output: LogOutput) -> int:
    """Wire the parts, run until a notice to drain or a hand-over is carried out. 2: an address can't be taken, or
    the fleet's file has a fault, before any client is.
    """
    counters, limits, reloads = Counters(), config.limits, 0
    report_uncaught(counters)
    if config.trace:
        trace_to_log()
    coordinator = RequestCoordinator(config.settings, config.seed, config.limits, counters)
    kernel, store = EngineClient(config, coordinator), DependencyClient(config, coordinator)
    roster = RegistryClient(config, coordinator, kernel)
    coordinator.engines[""], coordinator.gauges, coordinator.dependency = kernel, kernel, store
    coordinator.engines.update(engines(config, coordinator))
    try:
        fronts: list[ThriftFront | AjpFront] = [ThriftFront(config, coordinator, early_signals.told_to_leave)]
        if config.ajp.listen:
            fronts.append(AjpFront(config, coordinator, config.ajp.listen, early_signals.told_to_leave))
    except AddressInUseError as error:
        if early_signals.told_to_leave():
            return 0
        complain(error)
        return 2

    def close_idle(after_ms: float) -> None:
        for front in fronts:
            front.idle_ms = after_ms

    def drain() -> None:
        if not coordinator.draining:
            log.info("draining")
        if coordinator.drain():
            for front in fronts:
                front.drain()
        if fleet is not None:
            fleet.leave()

    def reload() -> None:
        """Take over new addresses. A file with a fault changes nothing and is named; guards against one that was
        half written when the signal came: it is looked at again for a while, until it is whole or asked for anew.
        """
        nonlocal reloads
        reloads = mine = reloads + 1
        named, until = "", unix_ms() + config.limits.reload_ms
        while True:
            try:
                fresh = load()
                break
            except ConfigError as error:
                counters.add("reload.refused")
                if str(error) != named and ProcessAction.NAME_FAULT in coordinator.process.handle(
                    ProcessEvent.BAD_RELOAD
                ):
                    log.error("reload refused", error=str(error))
                named = str(error)
            gevent.sleep(config.limits.reload_look_ms / 1000.0)
            if mine != reloads or unix_ms() > until:
                return
        if ProcessAction.MOVE_LINKS not in coordinator.process.handle(ProcessEvent.RELOAD):
            return
        counters.add("reload.done")
        kernel.move(fresh.kernel)
        store.move(fresh.store)
        roster.move(fresh.roster)
        log.info("reloaded", needs_restart=needs_restart(config, fresh))
        if fleet is not None:
            fleet.reload()

    def hand_over() -> None:
        """SIGTERM beside a second process: stop listening, tell clients, answer what was read, then exit."""
        longest = max(kind.client_timeout_ms for kind in config.settings.classes)
        acts = coordinator.process.handover(unix_ms(), min(longest, limits.handover_cap_ms) + limits.handover_spare_ms)
        log.info("handing over", owed=coordinator.tracker.unanswered)
        if ProcessAction.CLOSE_LISTENERS in acts:
            for front in fronts:
                front.stop()
                front.drain()
        if fleet is not None:
            fleet.leave()

    def figures() -> MetricsSnapshot:
        taken = coordinator.metrics_snapshot(config.class_names)
        return taken if fleet is None else replace(taken, extra_lines=fleet.metrics())

    fleet = None
    if config.fleet:
        try:
            fleet = _fleet(config, coordinator, counters)
        except ConfigError as error:
            complain(error)
            return 2
    mgmt = None
    succession = None
    if config.tmpdir:
        succession = KeyHandover(coordinator, HandoverFolder(config.tmpdir, config.name))
        succession.start()
    if config.mgmt is not None:
        try:
            mgmt = AdminServer(
                config.mgmt,
                coordinator.admin,
                counters,
                lambda: kernel.up and not coordinator.draining,
                figures,
                limits,
                early_signals.told_to_leave,
            )
            mgmt.start()
        except AddressInUseError as error:
            if early_signals.told_to_leave():
                return 0
            complain(error)
            return 2
    coordinator.close_idle = close_idle
    acts = {
        signal.SIGHUP: reload,
        signal.SIGTERM: drain if mgmt is None else hand_over,
        signal.SIGINT: drain,
        signal.SIGUSR1: lambda: log.info("counters", **coordinator.counter_report()),
    }
    watchers = [gevent.signal_handler(number, act) for number, act in acts.items()]
    early_signals.deliver_to(lambda number: gevent.spawn(acts[signal.Signals(number)]))
    gevent.sleep(0)  # what came before is carried out
    if coordinator.draining:  # told to leave before anybody could reach it: nothing was read, nothing is owed
        log.info("told to leave at the start")
        ignore_signals(lambda: [watcher.cancel() for watcher in watchers])
        if fleet is not None:
            fleet.close()
        return 0
    for front in fronts:
        front.start()
    turns = gevent.spawn(coordinator.run)
    for name, part in (("kernel", kernel), ("store", store), ("roster", roster)):
        gevent.spawn(run_for_good, name, part.serve, counters)
    log.info(
        "serving",
        name=config.name,
        ports=[front.port for front in fronts],
        mgmt=mgmt.port if mgmt else None,
        calls_share=config.settings.calls_share,
        shared=config.settings.shared_dependency,
    )
    gc.freeze()
    stopped = False
    while not stopped:
        if turns.ready():  # guards against a server that listens on with nobody to decide
            turns.get()
        gevent.sleep(0.02)
        output.flush()
        for act in coordinator.process.poll(unix_ms(), coordinator.tracker.unanswered):
            if act is ProcessAction.CLOSE_LISTENERS:
                for front in fronts:
                    front.stop()
            elif act is ProcessAction.ASK_CLIENTS:
                for front in fronts:
                    front.drain()  # connections opened since the notice
            else:
                coordinator.fail_unanswered()
                for front in fronts:
                    front.end()  # before the keys: what were read behind them would be known to nobody
                if succession is not None:
                    succession.publish_keys()
                # Guards the exit status against a client that does not read until the kill.
                left_ms = max(0.0, coordinator.process.kill_at - unix_ms())
                flush_s = min(limits.flush_ms, left_ms / 2) / 1000.0
                gevent.joinall([gevent.spawn(front.finish, flush_s) for front in fronts], flush_s)
                stopped = ProcessAction.STOP in coordinator.process.handle(ProcessEvent.FLUSHED)
    coordinator.stop()
    ignore_signals(lambda: [watcher.cancel() for watcher in watchers])
    if fleet is not None:
        fleet.close()
    log.info("counters", **coordinator.counter_report())
    return 0


def _fleet(config: Config, coordinator: RequestCoordinator, counters: Counters) -> FleetNode:
    """The fleet's parts, imported only here."""
    from myrtlespar.fleet import open_fleet

    def key_of(id: str) -> str:
        exchange = coordinator.tracker.find(id)
        return exchange.key if exchange is not None else ""

    fleet = open_fleet(config, counters, key_of)
    coordinator.admin.extra_commands[b"MEMBERS"] = fleet.members
    if fleet.limits is not None:
        coordinator.admin.extra_commands[b"LIMITS"] = fleet.limits.report
        coordinator.policy.fleet = fleet.limits.port
    return fleet


def main(early_signals: StartupSignals | None = None) -> int:
    """Run until drained. 0 is a drain carried out, 1 a fault of a part that is needed, 2 a faulty configuration,
    named in one line.
    """
    open_standard_descriptors()
    early_signals = early_signals or StartupSignals()
    output = log_to_standard_output()
    gevent.config.resolver = "block"  # there is no DNS; addresses are numbers and need no thread
    try:
        return serve(load(), early_signals, output)
    except ConfigError as error:
        complain(error)
        return 2
    except Exception:  # a part without which the process cannot serve has failed: better none than one that hangs
        log.exception("cannot go on")
        return 1
