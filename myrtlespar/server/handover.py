"""Hand-over to a replacement (SIGTERM while one runs): stop listening, answer what was read, and exit."""

from __future__ import annotations

import structlog

from myrtlespar.runtime.clock import unix_ms
from myrtlespar.server.application import Application
from myrtlespar.state_machines.process import ProcessAction

log = structlog.get_logger()


def begin_handover(application: Application) -> None:
    """Close the listeners and ask the clients to reconnect, which connects them to the replacement.

    Unlike in a graceful shutdown, every request that was read may start and Thrift pings still report good health; AJP
    pings are no longer answered. `ShutdownSequence` carries out the later stages, in which the idempotency keys are
    written for the replacement.
    """
    coordinator = application.coordinator
    actions = coordinator.process.handover(unix_ms(), time_until_kill_ms(application))
    log.info("handing over", owed=coordinator.tracker.unanswered)
    if ProcessAction.CLOSE_LISTENERS in actions:
        for front in application.fronts:
            front.stop()
            front.drain()
    application.begin_publishing_keys()
    application.leave_fleet()


def time_until_kill_ms(application: Application) -> float:
    """Return how long after SIGTERM the platform sends SIGKILL to a process that is replaced.

    That is the longest client timeout, up to a maximum, plus a margin.
    """
    limits = application.config.limits
    longest_timeout_ms = application.config.settings.longest_client_timeout_ms
    return min(longest_timeout_ms, limits.handover_max_deadline_ms) + limits.handover_margin_ms
