"""Measures for how long the process that plays clients and fake engines stands still, which makes its times late."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass

POLL_S = 0.005
MIN_STANDSTILL_MS = 20.0  # shorter ones are not recorded


@dataclass(frozen=True, slots=True)
class Standstill:
    """A time in which a thread that wanted to run did not. Unix ms."""

    begin: float
    end: float

    @property
    def length_ms(self) -> float:
        """Its length."""
        return self.end - self.begin


def _length_ms(standstill: Standstill) -> float:
    return standstill.length_ms


class StandstillMonitor:
    """A thread that wakes up at a short interval, and records how late it was."""

    def __init__(self) -> None:
        self.standstills: list[Standstill] = []
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)

    def start(self) -> None:
        """Start watching."""
        self._thread.start()

    def stop(self) -> None:
        """Watch no longer."""
        self._stop.set()

    def longest(self, begin: float, end: float) -> Standstill | None:
        """The longest standstill that overlaps this time (Unix ms); None if there was none."""
        overlapping = [row for row in self.standstills if row.end > begin and row.begin < end]
        return max(overlapping, key=_length_ms) if overlapping else None

    def _watch(self) -> None:
        woke_at = time.monotonic()
        while not self._stop.wait(POLL_S):
            before = woke_at
            woke_at = time.monotonic()
            late_ms = (woke_at - before - POLL_S) * 1000.0
            if late_ms >= MIN_STANDSTILL_MS:
                end = time.time() * 1000.0
                self.standstills.append(Standstill(end - late_ms, end))
