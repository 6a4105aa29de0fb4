"""Graceful shutdown (SIGINT, or SIGTERM without an admin server): stop new requests, finish those in flight."""

from __future__ import annotations

import structlog

from myrtlespar.server.application import Application

log = structlog.get_logger()


def begin_drain(application: Application) -> None:
    """Begin the shutdown: notify the policy, ask the clients to send no new requests, and leave the fleet.

    A repeated call has no further effect. `ShutdownSequence` carries out the later stages.
    """
    coordinator = application.coordinator
    if not coordinator.draining:
        log.info("draining")
    if coordinator.drain():
        for front in application.fronts:
            front.drain()
    application.leave_fleet()
