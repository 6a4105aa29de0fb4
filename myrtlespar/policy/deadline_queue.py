"""Requests in the order of a time each is to be looked at."""

from __future__ import annotations

import heapq

from myrtlespar.policy.held_request import HeldRequest


class DeadlineQueue:
    """A heap of requests by time in ms; equal times come in the order of entry.

    Nothing is taken out early: whoever pops an entry checks that it still holds.
    """

    def __init__(self) -> None:
        self.entries: list[tuple[float, int, HeldRequest]] = []
        self._serial = 0

    def push(self, at: float, request: HeldRequest) -> None:
        """Have `request` come up at `at`."""
        self._serial += 1
        heapq.heappush(self.entries, (at, self._serial, request))

    def pop_due(self, now: float) -> HeldRequest | None:
        """Take the first request whose time has come, or None."""
        if self.entries and self.entries[0][0] <= now:
            return heapq.heappop(self.entries)[2]
        return None
