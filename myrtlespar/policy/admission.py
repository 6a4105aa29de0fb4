"""Admission control: an arriving request is rejected, joined to an earlier attempt's run, set aside or queued.

`scheduler` starts the waiting requests, or rejects them later.
"""

from __future__ import annotations

from myrtlespar.policy.client_timeouts import ClientTimeouts
from myrtlespar.policy.final_answers import FinalAnswers
from myrtlespar.policy.fleet_port import FleetLimitsPort
from myrtlespar.policy.held_request import JOINED, HeldRequest
from myrtlespar.policy.messages import Arrival, ReuseResult
from myrtlespar.policy.scheduler import Scheduler
from myrtlespar.policy.server_state import ServerState
from myrtlespar.policy.settings import Effect


class Admission:
    """Decides on each request as it arrives.

    Attributes:
        fleet: The limits of the whole fleet; None if there are none.
    """

    def __init__(
        self, state: ServerState, client_timeouts: ClientTimeouts, answers: FinalAnswers, scheduler: Scheduler
    ) -> None:
        self._classes = state.settings.classes
        self._marks_retries = state.settings.marks_retries
        self._is_inner_tier = state.settings.tier > 0
        self._round_ms = state.settings.round_ms
        self._clock = state.clock
        self._actions = state.actions
        self._costs = state.costs
        self._table = state.table
        self._memory = state.memory
        self._keys = state.keys
        self._quotas = state.quotas
        self._queues = state.queues
        self._overload = state.overload
        self._capacity = state.capacity
        self._concurrency = state.concurrency
        self._faults = state.faults
        self._client_timeouts = client_timeouts
        self._connections = state.connections
        self._drain = state.drain
        self._answers = answers
        self._scheduler = scheduler
        self.fleet: FleetLimitsPort | None = None

    def arrive(self, event: Arrival) -> None:
        """Decide on an arrival.

        An arrival of an unknown class, or with the id of a request in the table, is ignored and gets no answer.
        """
        if event.id in self._table.requests or not 0 <= event.class_index < len(self._classes):
            return
        request = HeldRequest(event, self._clock.now)
        self._capacity.note_arrival(request.arrived)
        self._connections.update(self._capacity.arrival_gap_ms, self._costs.arrivals)
        self._set_deadlines(request, event)
        self._answers.answer_deadlines.push(request.answer_due, request)
        self._table.add(request)
        self._overload.note_read_delay(request.arrived)
        # A retry beyond the retry budget is rejected, as it would amplify an overload.
        is_within_retry_budget = self.fleet is None or self.fleet.record_attempt(event.is_retry)
        if request.prior:
            self._join(request)
        elif not is_within_retry_budget:
            self._answers.reject(request, last=True)
        elif self._admit_or_reject(request):
            self._enqueue(request)

    def _set_deadlines(self, request: HeldRequest, event: Arrival) -> None:
        """Set `answer_due`, `is_retry`, `relative_cost` and `useful_until` of an arriving request."""
        now = self._clock.now
        class_index = request.class_index
        caller_due = (
            event.deadline if event.deadline > 0 else request.arrived + self._classes[class_index].client_timeout_ms
        )
        request.answer_due = min(max(caller_due, now), max(now, self._drain.answers_due_at))
        age_ms = self._client_timeouts.retry_age_ms(request, event.deadline)
        request.is_retry = event.is_retry if self._marks_retries else age_ms > 0
        first_sent = request.arrived - (age_ms if request.is_retry else 0.0)
        request.relative_cost = self._costs.hints.relative_cost(request)
        useful_until = first_sent + self._costs.objectives_ms[class_index]
        if self._is_inner_tier and event.deadline > 0:
            useful_until = request.answer_due
        caller_leaves_at = request.arrived + self._client_timeouts.timeout_ms(request)
        request.useful_until = min(useful_until, caller_leaves_at, request.answer_due)

    def _join(self, request: HeldRequest) -> None:
        """Answer a repeat with the result of the earlier request that has the same idempotency key.

        The repeat itself never runs. It is failed if there is no memory for it.
        """
        request.state = JOINED
        if self._memory.used_kb > self._memory.max_used_kb:
            self._answers.fail(request)
            return
        self._actions.append(ReuseResult(request.id))

    def _admit_or_reject(self, request: HeldRequest) -> bool:
        """Return whether a request is admitted; if not, reject it, so that it may run on another server.

        A request is rejected after the grace period of a drain, while the cores hang, if memory for it and its
        idempotency key is lacking, while most runs fail (except for an occasional trial request), and if this server
        is too slow to start it in time while other servers likely have capacity.
        """
        is_keyed = self._classes[request.class_index].effect is Effect.KEYED
        is_full = self._memory.is_exhausted(self._keys.key_kb if is_keyed else 0.0)
        is_closed_to_new_work = self._faults.is_hanging or self._drain.arrived_after_grace(request.arrived)
        if is_full:
            self._actions.log_limit_reached("memory", len(self._table.requests), self._concurrency.on_cores)
        if (
            is_full
            or is_closed_to_new_work
            or self._faults.is_failing()
            or (self._overload.cannot_start_in_time(request) and self._capacity.others_have_capacity(request))
        ):
            self._answers.reject(request, last=False)
            return False
        self._faults.note_admission()
        return True

    def _enqueue(self, request: HeldRequest) -> None:
        """Queue an admitted request, or set it aside if it is costly and this server is overloaded."""
        request_class = self._classes[request.class_index]
        request.is_over_quota = self._quotas.is_over_quota(request.tenant)
        request.lane = 2 * request.class_index + int(request.is_over_quota)
        self._costs.note_arrival(request)
        if request_class.effect is Effect.KEYED:
            self._keys.keep(request, request_class.window_ms - (self._clock.now - request.arrived) + self._round_ms)
        self._quotas.reserve(request)
        if self._overload.is_overloaded and self._costs.is_costly(request.lane):
            self._overload.set_aside(request, self._capacity.others_have_capacity(request))
        else:
            self._queues.append(request)
        self._scheduler.schedule_deadline_check(request)
