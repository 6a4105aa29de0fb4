"""Admits requests under limits, and queues requests that find no capacity.

Without a queue, capacity that becomes available after a rejection would be idle until the next request arrives. Queued
requests are admitted in the order that the caller gives; a new request gets only the capacity that is left after all
queued requests for the same key. `try_acquire` never blocks: its result says when there may be capacity, and the caller
decides whether to queue the request. A request never leaves the queue by itself: the caller removes it with
`take_ready` and calls `try_acquire` again, or drops it with `release`.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from myrtlespar.quota.admission_check import ADMITTED, AdmissionCheck
from myrtlespar.quota.limit_coordinator import LimitCoordinator
from myrtlespar.quota.settings import CountedUnit


class WaitingRequest(NamedTuple):
    """A request in the queue."""

    order: float  # the lowest one is admitted first
    keys: Sequence[str]
    caller: int  # number of the client that sent it


class LingeringRun(NamedTuple):
    """A run that has ended for this member, but counts until `ends_at`, as it may still be executed elsewhere."""

    ends_at: float
    sequence_number: int  # breaks ties of `ends_at` in the heap
    keys: list[str]


class AdmissionQueue:
    """Admits and queues all requests of one member that a limit applies to."""

    def __init__(self, coordinator: LimitCoordinator) -> None:
        self.coordinator = coordinator
        self.waiting: dict[str, WaitingRequest] = {}  # by request id
        self.waiting_by_caller: Counter[int] = Counter()
        self._waiting_by_key: dict[str, int] = {}
        # By key: heap of (order, request id). Entries of requests that no longer wait are stale.
        self._queues: dict[str, list[tuple[float, str]]] = {}
        self._in_flight_keys: dict[str, list[str]] = {}  # by request id: its keys of limits on runs in flight
        self._ready: set[str] = set()  # ids that `take_ready` returned and that have not called `try_acquire` since
        self._lingering: list[LingeringRun] = []  # heap by `ends_at`
        self._lingering_count = 0

    def try_acquire(
        self, now: float, request_id: str, keys: Sequence[str], is_retry: bool = False
    ) -> tuple[str, AdmissionCheck]:
        """Acquire capacity under every key, or under none of them.

        A request that `take_ready` returned, or one with `is_retry`, goes ahead of all queued requests and does not
        count as demand again.

        Returns:
            The key without capacity (empty if the request is admitted), and the check of that key.
        """
        is_retry = is_retry or request_id in self._ready
        if request_id in self.waiting:
            self._dequeue(request_id)
        rejecting_key = ""
        rejection = ADMITTED
        for key in keys:
            ahead = 0 if is_retry else self._waiting_by_key.get(key, 0)
            check = self.coordinator.check_admission(now, key, ahead, is_retry)
            if not check.admitted and (not rejecting_key or check.retry_after_ms > rejection.retry_after_ms):
                rejecting_key = key
                rejection = check
        self._ready.discard(request_id)
        if rejecting_key:
            return rejecting_key, rejection
        for key in keys:
            self.coordinator.consume(now, key)
            limit = self.coordinator.limit_of(key)
            if limit is not None and limit.counted_unit is CountedUnit.AT_ONCE:
                self._in_flight_keys.setdefault(request_id, []).append(key)
        return "", ADMITTED

    def reacquire(self, now: float, request_id: str, keys: Sequence[str], acquired_at: float, was_sent: bool) -> bool:
        """Acquire capacity again for a start that was admitted at `acquired_at` but is sent only now.

        In between, the capacity acquired then may have been used again, also by another member. Unless `was_sent`, the
        start has not taken place, so that capacity is given back first.

        Returns:
            Whether there was capacity.
        """
        outdated = [key for key in keys if not self.coordinator.is_spent_in_current_period(now, acquired_at, key)]
        if was_sent:  # its run already counts as in flight under these keys
            outdated = [key for key in outdated if key not in self._in_flight_keys.get(request_id, ())]
        else:
            self._in_flight_keys.pop(request_id, None)
            for key in outdated:
                self.coordinator.give_back(acquired_at, key)
        rejecting_key, _ = self.try_acquire(now, request_id, outdated, is_retry=True)
        return not rejecting_key

    def enqueue(self, request_id: str, order: float, keys: Sequence[str], caller: int = 0) -> None:
        """Queue a request until there is capacity; the lowest `order` is admitted first."""
        self.waiting[request_id] = WaitingRequest(order, keys, caller)
        self.waiting_by_caller[caller] += 1
        for key in keys:
            heapq.heappush(self._queues.setdefault(key, []), (order, request_id))
            self._waiting_by_key[key] = self._waiting_by_key.get(key, 0) + 1

    def take_ready(self, now: float) -> list[str]:
        """Remove and return the queued requests that have capacity now, in the order of each key's queue."""
        ready: dict[str, Sequence[str]] = {}
        for key in list(self._queues):
            available = self.coordinator.available(now, key) - sum(key in keys for keys in ready.values())
            while available > 0 and (request_id := self._first(key)) is not None:
                keys = self.waiting[request_id].keys
                if len(keys) > 1 and any(self.coordinator.available(now, other) <= 0 for other in keys):
                    break  # the request also waits for another key, and no other request may overtake it
                self._dequeue(request_id)
                self._ready.add(request_id)
                ready[request_id] = keys
                available -= 1
        return list(ready)

    def next_ready_ms(self, now: float) -> float:
        """Return the time in ms until a queued request may have capacity; infinity if none waits or it is unknown."""
        first = float("inf")
        for key in list(self._queues):
            if (request_id := self._first(key)) is not None:
                keys = self.waiting[request_id].keys
                first = min(first, max(self.coordinator.available_in_ms(now, other) for other in keys))
        return first

    def release(self, request_id: str) -> None:
        """Remove a request that has ended or was abandoned from the queues and from the runs in flight."""
        if request_id in self.waiting:
            self._dequeue(request_id)
        self._ready.discard(request_id)
        if self._in_flight_keys:
            for key in self._in_flight_keys.pop(request_id, ()):
                self.coordinator.run_ended(key)

    def release_after(self, now: float, request_id: str, after_ms: float) -> None:
        """Release a request after `after_ms`: it has ended for this member, but may still be executed elsewhere."""
        keys = self._in_flight_keys.pop(request_id, None)
        if keys:
            self._lingering_count += 1
            ends_at = now + self.coordinator.settings.safe_wait_ms(after_ms)
            heapq.heappush(self._lingering, LingeringRun(ends_at, self._lingering_count, keys))

    def release_due(self, now: float) -> None:
        """Release the requests whose `after_ms`, as passed to `release_after`, has elapsed."""
        while self._lingering and self._lingering[0].ends_at <= now:
            for key in heapq.heappop(self._lingering).keys:
                self.coordinator.run_ended(key)

    def _first(self, key: str) -> str | None:
        queue = self._queues.get(key, [])
        while queue and not self._is_current(queue[0]):
            heapq.heappop(queue)
        if not queue:
            self._queues.pop(key, None)
            return None
        return queue[0][1]

    def _is_current(self, entry: tuple[float, str]) -> bool:
        order, request_id = entry
        request = self.waiting.get(request_id)
        return request is not None and request.order == order

    def _dequeue(self, request_id: str) -> None:
        request = self.waiting.pop(request_id)
        self.waiting_by_caller[request.caller] -= 1
        if not self.waiting_by_caller[request.caller]:
            del self.waiting_by_caller[request.caller]
        for key in request.keys:
            self._waiting_by_key[key] -= 1
            if not self._waiting_by_key[key]:
                del self._waiting_by_key[key]
