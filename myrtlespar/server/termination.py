"""SIGTERM: a hand-over if a replacement runs beside this process, otherwise a graceful shutdown.

The platform gives the two different times until SIGKILL, and only the graceful shutdown has a grace period after which
no request may start.
"""

from __future__ import annotations

import structlog

from myrtlespar.handover.folder import ReplacementStatus
from myrtlespar.server.application import Application
from myrtlespar.server.drain import begin_drain
from myrtlespar.server.handover import begin_handover, time_until_kill_ms

log = structlog.get_logger()


def begin_termination(application: Application) -> None:
    """Begin the hand-over or the graceful shutdown of this process.

    Where a replacement can't be detected, the process drains, and it ends before the earlier of the two possible kills.
    """
    status = application.replacement_status()
    log.info("termination requested", replacement=status.value)
    if status is ReplacementStatus.PRESENT:
        begin_handover(application)
    elif status is ReplacementStatus.ABSENT:
        begin_drain(application)
    else:
        begin_drain(application, time_until_kill_ms(application))
