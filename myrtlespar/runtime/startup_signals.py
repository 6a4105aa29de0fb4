"""Signals from the process's first moment on: noted until the server can act on them, so that none ends it or is lost.

Loads nothing but the standard library: it stands before all that takes time to load.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from types import FrameType

SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT, signal.SIGUSR1)


class StartupSignals:
    """Takes the signals over at once. `deliver_to` tells who acts on them, on those that came before too."""

    def __init__(self) -> None:
        self.noted: list[int] = []
        self.act: Callable[[int], object] | None = None
        for number in SIGNALS:
            signal.signal(number, self._note)

    def told_to_leave(self) -> bool:
        """Whether a notice to leave is among what came and was not handed on yet."""
        return any(number in (signal.SIGTERM, signal.SIGINT) for number in self.noted)

    def deliver_to(self, act: Callable[[int], object]) -> None:
        """From now on `act` is called, first for what came until now."""
        self.act = act
        noted, self.noted = self.noted, []
        for number in noted:
            act(number)

    def _note(self, number: int, frame: FrameType | None) -> None:
        if self.act is None:
            self.noted.append(number)
        else:
            self.act(number)


def ignore_signals(stop: Callable[[], object]) -> None:
    """Guards the exit status against a signal between the last answer and the end of the process. `stop` gives up
    whoever handles signals until then; meanwhile, as that brings the deadly default back, they wait.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    stop()
    for number in SIGNALS:
        signal.signal(number, signal.SIG_IGN)
