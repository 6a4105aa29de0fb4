"""Reload of the configuration (SIGHUP): the connections to the upstream servers move to their new addresses."""

from __future__ import annotations

import gevent
import structlog

from myrtlespar.config import Config, ConfigError, load, needs_restart
from myrtlespar.runtime.clock import unix_ms
from myrtlespar.server.application import Application
from myrtlespar.state_machines.process import ProcessAction, ProcessEvent

log = structlog.get_logger()


class ConfigReloader:
    """Reads the configuration again and applies the addresses in it.

    An invalid file changes nothing. As the file may still be incomplete when the signal arrives, it is read repeatedly
    until it is valid, `limits.reload_timeout_ms` have passed or another reload is requested. Each read of an invalid
    file counts as `reload.refused`; its error is logged if it differs from that of the previous read. In the last stage
    of a shutdown, when the last answers are sent, a valid file is not applied either.
    """

    def __init__(self, application: Application) -> None:
        self._application = application
        self._process = application.coordinator.process
        self._latest_request = 0  # number of the last requested reload

    def reload(self) -> None:
        """Carry out one requested reload; blocks its greenlet while the file is invalid."""
        new_config = self._read_valid_config()
        if new_config is None:
            return
        if ProcessAction.MOVE_LINKS not in self._process.handle(ProcessEvent.RELOAD):
            return
        self._apply(new_config)

    def _read_valid_config(self) -> Config | None:
        """Return the new configuration, or None if it stayed invalid or another reload replaces this one."""
        self._latest_request += 1
        request_number = self._latest_request
        limits = self._application.config.limits
        reported_fault = ""
        deadline = unix_ms() + limits.reload_timeout_ms
        while True:
            try:
                return load()
            except ConfigError as error:
                self._reject(str(error), reported_fault)
                reported_fault = str(error)
            gevent.sleep(limits.reload_retry_ms / 1000.0)
            if request_number != self._latest_request or unix_ms() > deadline:
                return None

    def _reject(self, fault: str, reported_fault: str) -> None:
        """Count a read of an invalid file, and log its error unless it equals `reported_fault`, the last one logged."""
        self._application.counters.add("reload.refused")
        if fault == reported_fault:
            return
        if ProcessAction.NAME_FAULT in self._process.handle(ProcessEvent.BAD_RELOAD):
            log.error("reload refused", error=fault)

    def _apply(self, new_config: Config) -> None:
        """Move the connections to the upstream servers and reload the fleet's file; other settings need a restart."""
        application = self._application
        application.counters.add("reload.done")
        application.engine_client.move(new_config.kernel)
        application.dependency_client.move(new_config.store)
        application.registry_client.move(new_config.roster)
        log.info("reloaded", needs_restart=needs_restart(application.config, new_config))
        if application.fleet is not None:
            application.fleet.reload()
