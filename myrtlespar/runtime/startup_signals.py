"""Collects signals from the start of the process until the server can handle them.

A signal during the start thus neither kills the process nor is lost. The module imports only the standard library, so
that it is loaded before the modules that take time to load.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from types import FrameType

SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT, signal.SIGUSR1)
SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StartupSignals:
    """Replaces the default signal handlers at construction and stores signals until `forward_to` sets a handler."""

    def __init__(self) -> None:
        self._pending: list[int] = []
        self._handler: Callable[[int], object] | None = None
        for number in SIGNALS:
            signal.signal(number, self._receive)

    def shutdown_requested(self) -> bool:
        """Return whether a shutdown signal is stored and not forwarded yet."""
        return any(number in SHUTDOWN_SIGNALS for number in self._pending)

    def forward_to(self, handler: Callable[[int], object]) -> None:
        """Call `handler` for each stored signal in the order of arrival, and for every later one."""
        self._handler = handler
        pending = self._pending
        self._pending = []
        for number in pending:
            handler(number)

    def _receive(self, number: int, frame: FrameType | None) -> None:
        if self._handler is None:
            self._pending.append(number)
        else:
            self._handler(number)


def ignore_signals(remove_handlers: Callable[[], object]) -> None:
    """Ignore the signals in SIGNALS, so that none after the last answer changes the exit code.

    Args:
        remove_handlers: Removes the present handlers. This restores the default action, which kills the process, so the
            signals are blocked meanwhile.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    remove_handlers()
    for number in SIGNALS:
        signal.signal(number, signal.SIG_IGN)
