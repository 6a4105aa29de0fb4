"""Timers of one member, in a heap by the time they are due."""

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum
from heapq import heapify, heappop, heappush


class TimerKind(IntEnum):
    """What a timer is for."""

    PROBE_PERIOD = 0
    DIRECT_TIMEOUT = 1  # the key is the probe's id
    PROBE_TIMEOUT = 2  # the key is the probe's id
    PEER_SEARCH = 3
    SUSPICION_TIMEOUT = 4  # the key is the member's name
    GOSSIP_PUSH = 5
    MAINTENANCE = 6


TimerKey = str | int


class Timers:
    """Pending timers. None is ever cancelled: the handler of a timer checks whether it still applies."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, TimerKind, TimerKey]] = []
        self._count = 0

    def put(self, at: float, kind: TimerKind, key: TimerKey = "") -> None:
        """Add a timer that is due at `at` (ms)."""
        self._count += 1
        heappush(self._heap, (at, self._count, kind, key))

    def next_at(self) -> float:
        """Return when the next timer is due (ms), infinity if there is none."""
        return self._heap[0][0] if self._heap else float("inf")

    def due(self, now: float) -> Iterator[tuple[TimerKind, TimerKey]]:
        """Remove and yield the timers due by `now`, in order; timers added meanwhile wait for the next call."""
        last = self._count
        while self._heap and self._heap[0][0] <= now and self._heap[0][1] <= last:
            _, _, kind, key = heappop(self._heap)
            yield kind, key

    def shift(self, delay_ms: float) -> None:
        """Postpone all timers by `delay_ms`."""
        self._heap = [(at + delay_ms, count, kind, key) for at, count, kind, key in self._heap]
        heapify(self._heap)
