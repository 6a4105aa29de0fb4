"""Admission: a request is, at its arrival, rejected, joined to another attempt's run, set aside or queued.

Starting a waiting request, or rejecting it later, is the task of `scheduler`.
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
        fleet: Limits of all servers together, or None.
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
        """Decide on an arrival. One with an id that is already here, or of an unknown class, is ignored: no answer."""
        if event.id in self._table.requests or not 0 <= event.class_index < len(self._classes):
            return
        request = HeldRequest(event, self._clock.now)
        self._capacity.note_arrival(request.arrived)
        self._connections.update(self._capacity.arrival_gap_ms, self._costs.arrivals)
        self._set_deadlines(request, event)
        self._answers.answer_deadlines.push(request.answer_due, request)
        self._table.add(request)
        self._overload.note_unread(request.arrived)
        # A retry that the fleet does not take would feed an overload.
        fleet_takes_it = self.fleet is None or self.fleet.record_attempt(event.is_retry)
        if request.prior:
            self._join(request)
        elif not fleet_takes_it:
            self._answers.reject(request, last=True)
        elif self._admit_or_reject(request):
            self._hold(request)

    def _set_deadlines(self, request: HeldRequest, event: Arrival) -> None:
        """Set `answer_due`, `is_retry`, `relative_cost` and `useful_until` of a request."""
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
        """Answer a repeat of a request from that request's one run, as both have the same idempotency key.

        The repeat never runs itself; without memory for its answer it is failed.
        """
        request.state = JOINED
        if self._memory.used_kb > self._memory.max_used_kb:
            self._answers.fail(request)
            return
        self._actions.append(ReuseResult(request.id))

    def _admit_or_reject(self, request: HeldRequest) -> bool:
        """Return whether a request is admitted; if not, it has been rejected, and may run on another server.

        It is rejected while this server drains or its cores hang, without memory for it and its idempotency key,
        while most own runs fail (except for a trial now and then), and where a slow server would start it too
        late while others may have capacity.
        """
        is_keyed = self._classes[request.class_index].effect is Effect.KEYED
        is_full = self._memory.is_exhausted(self._keys.key_kb if is_keyed else 0.0)
        is_barred = self._faults.is_hanging or self._drain.came_too_late(request.arrived)
        if is_full:
            self._actions.log_bound("memory", len(self._table.requests), self._concurrency.on_cores)
        if (
            is_full
            or is_barred
            or self._faults.is_failing()
            or (self._overload.cannot_start_in_time(request) and self._capacity.others_have_capacity(request))
        ):
            self._answers.reject(request, last=False)
            return False
        self._faults.note_admission()
        return True

    def _hold(self, request: HeldRequest) -> None:
        """Queue a request, or set it aside if it is costly and this server is overloaded."""
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
        self._scheduler.watch(request)
