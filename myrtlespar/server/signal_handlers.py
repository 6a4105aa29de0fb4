"""The signal handlers of the running server."""

from __future__ import annotations

import signal
from collections.abc import Callable

import gevent
import structlog

from myrtlespar.runtime.startup_signals import StartupSignals, ignore_signals
from myrtlespar.server.application import Application
from myrtlespar.server.drain import begin_drain
from myrtlespar.server.reload import ConfigReloader
from myrtlespar.server.termination import begin_termination

log = structlog.get_logger()


class SignalHandlers:
    """Handles each signal in a greenlet of its own, from construction until `ignore_further_signals`.

    Signals that arrived during the start are handled too.
    """

    def __init__(self, application: Application, startup_signals: StartupSignals) -> None:
        self._handlers = _handlers_of(application)
        self._watchers = [gevent.signal_handler(number, handler) for number, handler in self._handlers.items()]
        startup_signals.forward_to(self._spawn_handler)

    def ignore_further_signals(self) -> None:
        """Ignore all signals from now on, so that none changes the exit code."""
        ignore_signals(self._cancel_watchers)

    def _spawn_handler(self, number: int) -> None:
        gevent.spawn(self._handlers[signal.Signals(number)])

    def _cancel_watchers(self) -> None:
        for watcher in self._watchers:
            watcher.cancel()


def _handlers_of(application: Application) -> dict[signal.Signals, Callable[[], None]]:
    """Return the handler of each signal."""

    def drain() -> None:
        begin_drain(application)

    def terminate() -> None:
        begin_termination(application)

    def log_counters() -> None:
        log.info("counters", **application.coordinator.counter_report())

    return {
        signal.SIGHUP: ConfigReloader(application).reload,
        signal.SIGTERM: terminate,
        signal.SIGINT: drain,
        signal.SIGUSR1: log_counters,
    }
