"""Handling of unexpected exceptions.

An exception is logged with its traceback and counted. It ends only the connection, call or greenlet that raised it.
"""

from __future__ import annotations

from collections.abc import Callable
from types import TracebackType
from typing import Any

import gevent
import structlog

from myrtlespar.runtime.counters import Counters

log = structlog.get_logger()
RESTART_PAUSE_S = 0.05  # between the end of a function and its next call by `run_forever`
MAX_CONTEXT_CHARS = 200  # maximum length of the description of a failed greenlet in the log


def log_uncaught_exceptions(counters: Counters) -> None:
    """Make the event loop log and count the exceptions that no greenlet catches.

    By default gevent prints them to standard error, which blocks the process when no process reads that stream.
    """
    hub = gevent.get_hub()
    hub.exception_stream = None  # gevent itself prints nothing
    handle_system_error = hub.handle_error

    def handle_error(
        context: Any, kind: type[BaseException], error: BaseException, traceback: TracebackType | None
    ) -> None:
        if issubclass(kind, hub.NOT_ERROR):
            return
        if issubclass(kind, hub.SYSTEM_ERROR):
            handle_system_error(context, kind, error, traceback)
            return
        if counters.count_and_sample("uncaught"):
            log.error("uncaught exception", where=repr(context)[:MAX_CONTEXT_CHARS], exc_info=(kind, error, traceback))

    hub.handle_error = handle_error


def run_forever(name: str, function: Callable[[], None], counters: Counters) -> None:
    """Call a function repeatedly until the process ends.

    An exception, such as one caused by a peer's unexpected message, ends one call; the next call follows after a pause.

    Args:
        name: The name of the component in the counter `fault.NAME` and in the log.
        function: Usually contains a loop and returns or raises only after a fault.
        counters: Counts the exceptions.
    """
    while True:
        try:
            function()
        except Exception:  # the outermost handler of a greenlet that must not end
            if counters.count_and_sample(f"fault.{name}"):
                log.exception("component failed; restarting it", part=name)
        gevent.sleep(RESTART_PAUSE_S)
