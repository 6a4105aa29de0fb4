"""Decides which idempotency keys are remembered and for how long, and accounts for their memory.

A key is identified by the id of the first request that had it. The server looks up keys and sets `Arrival.prior`.
"""

from __future__ import annotations

import heapq

from myrtlespar.policy.action_list import ActionList
from myrtlespar.policy.held_request import HeldRequest
from myrtlespar.policy.memory_account import MemoryAccount
from myrtlespar.policy.messages import ForgetKey, KeepKey
from myrtlespar.policy.policy_clock import PolicyClock


class IdempotencyKeys:
    """The remembered keys and their expiry times; each key takes `key_kb` KB of the memory account."""

    def __init__(self, key_kb: float, clock: PolicyClock, actions: ActionList, memory: MemoryAccount) -> None:
        self.key_kb = key_kb
        self._clock = clock
        self._actions = actions
        self._memory = memory
        self._expiries: list[tuple[float, str]] = []
        self._remembered: set[str] = set()

    def expire(self, now: float) -> None:
        """Free the memory of keys that have expired at `now`."""
        while self._expiries and self._expiries[0][0] <= now:
            self._release(heapq.heappop(self._expiries)[1])

    def keep(self, request: HeldRequest, for_ms: float) -> None:
        """Remember the key of a request for `for_ms` from its admission, as a repeat may arrive before the run."""
        keep_ms = max(0.0, for_ms)
        request.key_is_kept = True
        self._actions.append(KeepKey(request.id, keep_ms))
        self._remembered.add(request.id)
        heapq.heappush(self._expiries, (self._clock.now + keep_ms, request.id))
        self._memory.used_kb += self.key_kb

    def forget(self, request: HeldRequest) -> None:
        """Discard the key of a request that never ran, so that a repeat may run."""
        self._actions.append(ForgetKey(request.id))
        self._release(request.id)

    def _release(self, key: str) -> None:
        if key in self._remembered:
            self._remembered.remove(key)
            self._memory.used_kb -= self.key_kb
