"""Requests and the keys that apply to them: who has a place, and who waits for one, in which order.

A request that finds no room may wait: a place that is free a window later would else lie free until the next request
comes. Waiting ones are let in by the order that the caller hands in; a newcomer stands behind all that wait for a key
of its own. Nothing here decides whether waiting is worth it: `ask` says when there may be room, the caller decides.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Sequence

from myrtlespar.quota.grant_holder import ADMITTED, AdmissionCheck
from myrtlespar.quota.limit_coordinator import LimitCoordinator
from myrtlespar.quota.settings import CountedUnit


class AdmissionQueue:
    """All requests of one member that a limit applies to."""

    def __init__(self, agent: LimitCoordinator) -> None:
        self.coordinator = agent
        self.waiting: dict[str, tuple[float, Sequence[str]]] = {}  # request: its order, its keys
        self._rows: dict[str, list[tuple[float, str]]] = {}  # key: heap of (order, request), some of them gone
        self._many: dict[str, int] = {}  # key: how many wait
        self._caller: dict[str, int] = {}
        self.line: Counter[int] = Counter()  # how many wait of each caller
        self._hand: dict[str, list[str]] = {}  # request: keys of limits on what is in hand
        self._out: set[str] = set()  # told that they may try again
        self._fading: list[tuple[float, int, list[str]]] = []  # when, number, keys of what lingers
        self._faded = 0

    def try_acquire(self, now: float, id: str, keys: Sequence[str], again: bool = False) -> tuple[str, AdmissionCheck]:
        """Take a place under every key, or none: the key without room, '' with a place taken. One that waited, or
        asks `again`, asks as one that stands in front, and counts as demand no second time.
        """
        again = again or id in self._out
        if id in self.waiting:
            self._leave(id)
        worst, at = ADMITTED, ""
        for key in keys:
            room = self.coordinator.check_admission(now, key, 0 if again else self._many.get(key, 0), again)
            if not room.ok and (not at or room.after_ms > worst.after_ms):
                worst, at = room, key
        self._out.discard(id)
        if at:
            return at, worst
        for key in keys:
            self.coordinator.consume(now, key)
            limit = self.coordinator.limit_of(key)
            if limit is not None and limit.of is CountedUnit.AT_ONCE:
                self._hand.setdefault(id, []).append(key)
        return "", ADMITTED

    def enqueue(self, id: str, order: float, keys: Sequence[str], caller: int = 0) -> None:
        """It waits for a place; the lowest order is first."""
        self.waiting[id] = order, keys
        self._caller[id] = caller
        self.line[caller] += 1
        for key in keys:
            heapq.heappush(self._rows.setdefault(key, []), (order, id))
            self._many[key] = self._many.get(key, 0) + 1

    def take_ready(self, now: float) -> list[str]:
        """Those that may ask again now, in their order: each key's first ones, as many as there is room for."""
        out: dict[str, Sequence[str]] = {}
        for key in list(self._rows):
            free = self.coordinator.available(now, key) - sum(key in keys for keys in out.values())
            while free > 0 and (id := self._first(key)) is not None:
                keys = self.waiting[id][1]
                if len(keys) > 1 and any(self.coordinator.available(now, other) <= 0 for other in keys):
                    break  # it stands in front of one and behind another: nobody passes it
                self._leave(id)
                self._out.add(id)
                out[id] = keys
                free -= 1
        return list(out)

    def next_ready_ms(self, now: float) -> float:
        """In how long the first waiting one may have room; infinity if none waits, or nobody knows."""
        first = float("inf")
        for key in list(self._rows):
            if (id := self._first(key)) is not None:
                first = min(first, max(self.coordinator.available_in_ms(now, one) for one in self.waiting[id][1]))
        return first

    def release(self, id: str) -> None:
        """It has ended, or will never ask again."""
        if id in self.waiting:
            self._leave(id)
        self._out.discard(id)
        if self._hand:
            for key in self._hand.pop(id, ()):
                self.coordinator.run_ended(key)

    def release_after(self, now: float, id: str, after_ms: float) -> None:
        """It has ended for us, but what it took may be in use for so long still."""
        keys = self._hand.pop(id, None)
        if keys:
            self._faded += 1
            heapq.heappush(self._fading, (now + self.coordinator.settings.waited(after_ms), self._faded, keys))

    def release_due(self, now: float) -> None:
        """Free what no longer lingers."""
        while self._fading and self._fading[0][0] <= now:
            for key in heapq.heappop(self._fading)[2]:
                self.coordinator.run_ended(key)

    def _first(self, key: str) -> str | None:
        rows = self._rows.get(key, [])
        while rows and (rows[0][1] not in self.waiting or self.waiting[rows[0][1]][0] != rows[0][0]):
            heapq.heappop(rows)
        if not rows:
            self._rows.pop(key, None)
            return None
        return rows[0][1]

    def _leave(self, id: str) -> None:
        _, keys = self.waiting.pop(id)
        caller = self._caller.pop(id)
        self.line[caller] -= 1
        if not self.line[caller]:
            del self.line[caller]
        for key in keys:
            self._many[key] -= 1
            if not self._many[key]:
                del self._many[key]
