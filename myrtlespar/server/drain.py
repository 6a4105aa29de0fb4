"""Graceful shutdown (SIGINT, or SIGTERM without a replacement): stop new requests, finish those in flight."""

from __future__ import annotations

import structlog

from myrtlespar.server.application import Application

log = structlog.get_logger()


def begin_drain(application: Application, kill_in_ms: float = float("inf")) -> None:
    """Begin the shutdown: notify the policy, ask the clients to send no new requests, and leave the fleet.

    A repeated call has no further effect. `ShutdownSequence` carries out the later stages.

    Args:
        application: The components of this process.
        kill_in_ms: The time until SIGKILL, if it may be shorter than the configured `stop_ms`.
    """
    coordinator = application.coordinator
    if not coordinator.draining:
        log.info("draining")
    if coordinator.drain(kill_in_ms):
        for front in application.fronts:
            front.drain()
    application.begin_publishing_keys()
    application.leave_fleet()
