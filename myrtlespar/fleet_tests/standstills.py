"""Detects when the test process itself, which runs the clients and fake engines, is not scheduled.

A standstill delays the times that the test process records, so that a start looks later than it was.
"""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass

POLL_S = 0.005
MIN_STANDSTILL_MS = 20.0  # shorter standstills are not recorded


@dataclass(frozen=True, slots=True)
class Standstill:
    """A period in which a thread of the test process was ready to run but did not. Times are Unix ms."""

    begin: float
    end: float

    @property
    def length_ms(self) -> float:
        """The duration."""
        return self.end - self.begin


def _length_ms(standstill: Standstill) -> float:
    return standstill.length_ms


class StandstillMonitor:
    """A thread that sleeps for POLL_S at a time and records each delay of MIN_STANDSTILL_MS or more."""

    def __init__(self) -> None:
        self.standstills: list[Standstill] = []
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stop.set()

    def longest(self, begin: float, end: float) -> Standstill | None:
        """Return the longest standstill that overlaps the time from `begin` to `end` (Unix ms), if any."""
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
