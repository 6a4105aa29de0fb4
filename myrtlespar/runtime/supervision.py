"""What becomes of an exception that nobody expected: it is logged with its traceback, counted, and ends no more than
the connection, call or link it came from.
"""

from __future__ import annotations

from collections.abc import Callable
from types import TracebackType
from typing import Any

import gevent
import structlog

from myrtlespar.runtime.counters import Counters

log = structlog.get_logger()
RESTART_PAUSE_S = 0.05  # before a part that failed goes on


def report_uncaught(counters: Counters) -> None:
    """Have the event loop log and count what no greenlet caught. Its own way is to print to standard error, which
    blocks the process when nobody reads that.
    """
    hub = gevent.get_hub()
    hub.exception_stream = None
    handle_system_error = hub.handle_error

    def handle_error(
        context: Any, kind: type[BaseException], error: BaseException, traceback: TracebackType | None
    ) -> None:
        if issubclass(kind, hub.NOT_ERROR):
            return
        if issubclass(kind, hub.SYSTEM_ERROR):
            handle_system_error(context, kind, error, traceback)
            return
        if counters.rare("uncaught"):
            log.error("uncaught exception", where=repr(context)[:200], exc_info=(kind, error, traceback))

    hub.handle_error = handle_error


def run_for_good(name: str, function: Callable[[], None], counters: Counters) -> None:
    """Run a part that has to go on for the life of the process. Guards against a link that nobody serves any
    longer: what a peer sent ends a turn of it, not the part.
    """
    while True:
        try:
            function()
        except Exception:
            if counters.rare(f"fault.{name}"):
                log.exception("part failed and goes on", part=name)
        gevent.sleep(RESTART_PAUSE_S)
