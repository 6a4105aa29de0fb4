"""Admits requests under the fleet's limits, as the policy's port `policy.fleet_port.FleetLimitsPort`.

Nothing here blocks or sends. A request is checked against the current allowances of the limit coordinator. If there is
no capacity, it is either queued until there is some or rejected with a Retry-After time.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from myrtlespar.fleet.settings import FleetSettings
from myrtlespar.quota.admission_check import ADMITTED, AdmissionCheck
from myrtlespar.quota.admission_queue import AdmissionQueue
from myrtlespar.quota.limit_coordinator import LimitCoordinator
from myrtlespar.quota.retry_budget import RetryBudget
from myrtlespar.quota.settings import CountedWork, Limit, caller_prefix
from myrtlespar.runtime.counters import Counters

MAX_QUEUED_PER_CALLER = 8  # a caller's connections can carry this many unanswered requests next to other work
RETRY_AFTER_BEFORE_START_MS = 100.0  # without a coordinator, nothing is admitted under a limit

# A start that is sent later than this after its admission has to be admitted again, as its capacity may have been used
# again in a window that begins in between. An ordinary turn of the event loop takes less time.
MAX_START_DELAY_MS = 20.0

NamedLimits = list[tuple[str, Limit]]


@dataclass(slots=True)
class Shortage:
    """A request that found no capacity, and the check that rejected it."""

    request_id: str
    keys: Sequence[str]
    key: str  # the one of `keys` without capacity
    check: AdmissionCheck
    caller: int  # number of the client that sent the request


@dataclass(slots=True)
class AdmittedStart:
    """A request that was admitted under limits and has not ended yet."""

    keys: Sequence[str]
    acquired_at: float  # in ms of the limits' clock
    was_sent: bool = False  # its start was sent to the engine at least once


@dataclass(frozen=True, slots=True)
class Rejection:
    """A request that was rejected under a limit, as reported to operators."""

    key: str
    at: float  # Unix time in ms
    check: AdmissionCheck
    leader: str  # the member that should lead the key's shard
    waiting: int  # number of queued requests at that time


class FleetLimitsAdmission:
    """Implements the policy's port to the fleet's limits.

    Before `start`, only requests that no limit applies to are admitted.
    """

    def __init__(
        self,
        settings: FleetSettings,
        classes: Sequence[str],
        counters: Counters,
        random: Random,
        now: Callable[[], float],
        key_of: Callable[[str], str],
    ) -> None:
        """Create the port; `now` returns the limits' clock in ms, `key_of` the idempotency key of a request id."""
        self.counters = counters
        self.now = now
        self.coordinator: LimitCoordinator | None = None
        self.admission_queue: AdmissionQueue | None = None
        self.call_queue: AdmissionQueue | None = None
        self.retry_budget = RetryBudget(settings.repeats) if settings.repeats is not None else None
        self.admitted: dict[str, int] = {}  # number of requests and calls, by limit
        self.rejected: dict[str, int] = {}  # number of requests, by limit
        self.last_rejections: dict[str, Rejection] = {}  # by limit name
        self._site = settings.site
        self._random = random
        self._key_of = key_of
        self._request_limits = [limits_of(settings, name, CountedWork.RUNS) for name in classes]
        self._call_limits = [limits_of(settings, name, CountedWork.CALLS) for name in classes]
        # Called with the request id and the time in ms since its admission; for traces.
        self.admission_observer: Callable[[str, float], None] | None = None
        self._waiting_calls: set[str] = set()  # ids of requests whose call to the dependency waits for capacity
        self._last_shortage = Shortage("", [], "", ADMITTED, 0)
        self._admitted_starts: dict[str, AdmittedStart] = {}  # by request id

    def start(self, coordinator: LimitCoordinator) -> None:
        """Start admitting requests under the coordinator's allowances."""
        self.coordinator = coordinator
        self.admission_queue = AdmissionQueue(coordinator)
        self.call_queue = AdmissionQueue(coordinator)

    def admit(self, request_id: str, class_index: int, sender: int) -> float:
        """Acquire capacity for a request under every limit that applies to it.

        Returns:
            0 if it was admitted, otherwise the time in ms after which there may be capacity; infinity if its caller has
            too many queued requests, so that this one must not be queued.
        """
        applying = self._request_limits[class_index]
        if not applying:
            return 0.0
        now = self.now()
        queue = self.admission_queue
        if queue is None:
            return RETRY_AFTER_BEFORE_START_MS
        keys = [self._key(name, limit, request_id, sender) for name, limit in applying]
        key, check = queue.try_acquire(now, request_id, keys)
        if key:
            self._last_shortage = Shortage(request_id, keys, key, check, sender)
            if queue.waiting_by_caller[sender] >= MAX_QUEUED_PER_CALLER:
                self.counters.add("limits.line_full")
                return float("inf")
            return check.retry_after_ms
        self._count_admitted(applying)
        self._admitted_starts[request_id] = AdmittedStart(keys, now)
        self._trace_admission(request_id, now)
        return 0.0

    def confirm_start(self, request_id: str) -> bool:
        """Confirm a request's admission right before its start is sent; False if it must not be sent.

        Between the admission and the send, the process may have been paused, or the start may have waited for a link to
        the engine. A start that is sent a second time counts as another start.
        """
        start = self._admitted_starts.get(request_id)
        if start is None or self.admission_queue is None:
            return True
        now = self.now()
        if start.was_sent or now - start.acquired_at > MAX_START_DELAY_MS:
            self.counters.add("limits.late_start")
            if not self.admission_queue.reacquire(now, request_id, start.keys, start.acquired_at, start.was_sent):
                self.counters.add("limits.late_start_refused")
                return False
            start.acquired_at = now
            self._trace_admission(request_id, now)
        start.was_sent = True
        return True

    def enqueue(self, request_id: str, order: float) -> None:
        """Queue the request that `admit` has just not admitted; the lowest `order` is admitted first."""
        shortage = self._last_shortage
        if self.admission_queue is not None and shortage.request_id == request_id:
            self.counters.add("limits.held")
            self.admission_queue.enqueue(request_id, order, shortage.keys, shortage.caller)

    def reject(self, request_id: str, after_ms: float) -> float:
        """Record a rejection for lack of capacity.

        Returns:
            The Retry-After time in ms, at random between 1 and 2 times `after_ms`, so that callers do not retry at the
            same time. For the request that `admit` rejected last, the time from that check replaces `after_ms`.
        """
        shortage = self._last_shortage
        if request_id == shortage.request_id:
            after_ms = shortage.check.retry_after_ms
        if self.admission_queue is not None and self.coordinator is not None:
            if request_id in self.admission_queue.waiting:  # it was queued and never found capacity
                self._record_queued_rejection(request_id, self.coordinator, self.admission_queue)
            elif request_id == shortage.request_id and shortage.key:
                self._record_rejection(shortage.key, shortage.check, self.coordinator, self.admission_queue)
        return after_ms * (1 + self._random.random())

    def take_ready(self) -> list[str]:
        """Remove and return the ids of queued requests for which `admit` should be called again now."""
        queue = self.admission_queue
        return queue.take_ready(self.now()) if queue is not None and queue.waiting else []

    def next_ready_ms(self) -> float:
        """Return the time in ms until a queued request may have capacity; infinity if that is not known."""
        queue = self.admission_queue
        return queue.next_ready_ms(self.now()) if queue is not None and queue.waiting else float("inf")

    def release(self, request_id: str) -> None:
        """Release the capacity of a request that has ended, or remove an abandoned one from the queue."""
        self._waiting_calls.discard(request_id)
        self._admitted_starts.pop(request_id, None)
        if self.admission_queue is not None:
            self.admission_queue.release(request_id)

    def admit_call(self, request_id: str, class_index: int) -> bool:
        """Acquire capacity for a request's call to the dependency under all limits on calls; False if there is none."""
        applying = self._call_limits[class_index]
        if not applying:
            return True
        if self.call_queue is None:
            return False
        now = self.now()
        self.call_queue.release_due(now)
        keys = [self._key(name, limit, request_id, 0) for name, limit in applying]
        key, _ = self.call_queue.try_acquire(now, request_id, keys, request_id in self._waiting_calls)
        if key:
            if request_id not in self._waiting_calls:
                self.counters.add("limits.call_waits")
                self._waiting_calls.add(request_id)
            return False
        self._waiting_calls.discard(request_id)
        self._count_admitted(applying)
        return True

    def release_call(self, request_id: str, after_ms: float) -> None:
        """Release a call that has ended for this member, but on which the dependency may still work for `after_ms`."""
        if self.call_queue is not None and after_ms > 0:
            self.call_queue.release_after(self.now(), request_id, after_ms)
        elif self.call_queue is not None:
            self.call_queue.release(request_id)

    def record_attempt(self, is_retry: bool) -> bool:
        """Record a first attempt or a retry. Returns False for a retry that exceeds the retry budget."""
        if self.retry_budget is None or self.retry_budget.record_attempt(is_retry):
            return True
        self.counters.add("limits.repeat_refused")
        return False

    def may_retry(self) -> bool:
        """Return whether a caller rejected now may be invited to retry; if so, reserve that retry."""
        if self.retry_budget is None or self.retry_budget.may_retry(self.now()):
            return True
        self.counters.add("limits.repeat_not_offered")
        return False

    def _key(self, name: str, limit: Limit, request_id: str, sender: int) -> str:
        if not limit.by:
            return name
        if limit.by == "prefix":
            return f"{name}/{caller_prefix(self._key_of(request_id), limit.until)}"
        return f"{name}/{sender if limit.by == 'peer' else self._site}"

    def _trace_admission(self, request_id: str, admitted_at: float) -> None:
        if self.admission_observer is not None:
            self.admission_observer(request_id, self.now() - admitted_at)

    def _count_admitted(self, applying: NamedLimits) -> None:
        for name, _ in applying:
            self.admitted[name] = self.admitted.get(name, 0) + 1

    def _record_queued_rejection(self, request_id: str, coordinator: LimitCoordinator, queue: AdmissionQueue) -> None:
        now = self.now()
        keys = queue.waiting[request_id].keys
        exhausted = next((key for key in keys if coordinator.available(now, key) <= 0), keys[0])
        self._record_rejection(exhausted, coordinator.check_admission(now, exhausted, 0, True), coordinator, queue)

    def _record_rejection(
        self, key: str, check: AdmissionCheck, coordinator: LimitCoordinator, queue: AdmissionQueue
    ) -> None:
        name = key.partition("/")[0]
        self.counters.add("limits.refused")
        self.rejected[name] = self.rejected.get(name, 0) + 1
        self.last_rejections[name] = Rejection(
            key, time.time() * 1000, check, coordinator.leader(key), len(queue.waiting)
        )


def limits_of(settings: FleetSettings, class_name: str, work: CountedWork) -> NamedLimits:
    """Return the limits that apply to a request class and count this kind of work, with their names."""
    return [
        (name, limit)
        for name, limit in settings.limits.items()
        if limit.cls in ("", class_name) and limit.counts is work
    ]
