"""A discrete-event loop on a heap. `benchmarks/engines.py` compares its speed with simpy's."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class EventLoop:
    """Runs callbacks in order of virtual time; callbacks due at the same time run in the order of scheduling.

    All times are in milliseconds.

    Attributes:
        now: The current virtual time.
        event_count: How many callbacks have run.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.event_count = 0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence_number = 0

    def call_at(self, when: float, callback: Callable[..., None], *args: Any) -> None:
        """Schedule `callback(*args)` for the time `when`, or for the current time if `when` has passed."""
        self._sequence_number += 1
        heappush(self._heap, (when if when > self.now else self.now, self._sequence_number, callback, args))

    def run(self, until: float) -> None:
        """Run all callbacks due by the time `until`, and advance the clock to it."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, callback, args = heappop(heap)
            self.event_count += 1
            callback(*args)
        self.now = until
