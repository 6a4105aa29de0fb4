"""Virtual time on a heap. Measured beside simpy by `benchmarks/engines.py`."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class EventLoop:
    """Calls what is scheduled in order of time and, at one time, in the order of scheduling. Times are ms."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events = 0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def at(self, when: float, callback: Callable[..., None], *args: Any) -> None:
        """Call `callback` at `when`, or now if that has passed."""
        self._count += 1
        heappush(self._heap, (when if when > self.now else self.now, self._count, callback, args))

    def run(self, until: float) -> None:
        """Call all that is due by `until` (ms)."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, callback, args = heappop(heap)
            self.events += 1
            callback(*args)
        self.now = until
