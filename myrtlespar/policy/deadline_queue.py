"""A queue of requests ordered by the time at which each is due for a check."""

from __future__ import annotations

import heapq

from myrtlespar.policy.held_request import HeldRequest


class DeadlineQueue:
    """A heap of requests by due time in ms; requests with equal due times are in the order of insertion.

    An entry stays until its due time, even if the request has ended or its deadline has changed: callers must check
    whether a request that they pop is still due. A request may be in the queue more than once.
    """

    def __init__(self) -> None:
        self.entries: list[tuple[float, int, HeldRequest]] = []
        self._serial = 0

    def push(self, due_at: float, request: HeldRequest) -> None:
        """Add a request that is due at `due_at`, in ms on the policy's clock."""
        self._serial += 1
        heapq.heappush(self.entries, (due_at, self._serial, request))

    def pop_due(self, now: float) -> HeldRequest | None:
        """Remove and return the first request that is due at `now`, or None if none is due."""
        if self.entries and self.entries[0][0] <= now:
            return heapq.heappop(self.entries)[2]
        return None
