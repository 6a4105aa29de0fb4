"""Starts waiting requests up to the concurrency limit, and rejects those that can no longer start in time."""

from __future__ import annotations

import math

from myrtlespar.policy.deadline_queue import DeadlineQueue
from myrtlespar.policy.final_answers import FinalAnswers
from myrtlespar.policy.fleet_port import FleetLimitsPort
from myrtlespar.policy.fleet_queue import FleetQueue
from myrtlespar.policy.held_request import AWAITING_FLEET, LATE, QUEUED, SET_ASIDE, HeldRequest
from myrtlespar.policy.messages import Run
from myrtlespar.policy.server_state import ServerState


class Scheduler:
    """Decides when a waiting request starts, and when it has waited too long.

    Attributes:
        start_deadlines: Waiting requests, by their latest useful start or the end of their timer T1.
        fleet: The limits of the whole fleet; None if there are none.
    """

    def __init__(self, state: ServerState, answers: FinalAnswers, fleet_queue: FleetQueue) -> None:
        self._classes = state.settings.classes
        self._added_run_memory_factor = state.settings.run_memory_factor - 1
        self._clock = state.clock
        self._actions = state.actions
        self._costs = state.costs
        self._table = state.table
        self._memory = state.memory
        self._quotas = state.quotas
        self._queues = state.queues
        self._overload = state.overload
        self._capacity = state.capacity
        self._concurrency = state.concurrency
        self._faults = state.faults
        self._connections = state.connections
        self._drain = state.drain
        self._answers = answers
        self._fleet_queue = fleet_queue
        self.start_deadlines = DeadlineQueue()
        self.fleet: FleetLimitsPort | None = None

    def schedule_deadline_check(self, request: HeldRequest) -> None:
        """Schedule a check of a waiting request for its latest useful start or the end of its timer T1."""
        self.start_deadlines.push(self._start_deadline(request), request)

    def start_work(self) -> None:
        """Start requests up to the concurrency limit, as far as memory and the limits of the fleet allow.

        The limit is lower while the read delay of arrivals exceeds O (the overload threshold), as runs take cores from
        the reading of requests.
        """
        self._expire()
        concurrency = self._concurrency
        max_started = concurrency.max_started()
        limit = concurrency.running_limit(self._overload.is_reading_late())
        while concurrency.on_cores < limit and concurrency.on_cores + concurrency.at_calls + 1 <= max_started:
            request = self._queues.next_request(self._overload.is_overloaded)
            if request is None:
                return
            if self._memory.used_kb + request.memory_kb * self._added_run_memory_factor > self._memory.max_used_kb:
                self._log_limit_reached("memory")
                return
            after_ms = self.fleet.admit(request.id, request.class_index, request.sender) if self.fleet else 0.0
            if self.fleet and after_ms > 0:
                self._fleet_queue.hold(self.fleet, request, after_ms, self._start_deadline(request))
            else:
                self._start(request)
        if concurrency.on_cores + concurrency.at_calls + 1 > max_started and sum(self._queues.queued_work) > 0:
            self._log_limit_reached("crowd")

    def _start(self, request: HeldRequest) -> None:
        self._answers.stop_waiting(request)
        self._quotas.spend(request.tenant)
        self._memory.used_kb += request.memory_kb * self._added_run_memory_factor
        if not self._concurrency.on_cores:
            self._faults.restart_progress_timer()
        self._concurrency.enter_core(request)
        if not self._classes[request.class_index].late_weight:
            self._answers.usefulness_deadlines.push(request.useful_until, request)
        self._actions.append(Run(request.id))
        self._connections.note_started()

    def _start_deadline(self, request: HeldRequest) -> float:
        return min(request.set_aside_until or math.inf, self._costs.latest_start(request))

    def _expire(self) -> None:
        """Reject requests that can no longer start in time (the sojourn limit) and those whose timer T1 has ended."""
        now = self._clock.now
        while (request := self.start_deadlines.pop_due(now)) is not None:
            state = request.state
            may_wait = state is QUEUED or state is SET_ASIDE or state is AWAITING_FLEET
            if may_wait and (start_deadline := self._start_deadline(request)) > now:
                self.start_deadlines.push(start_deadline, request)
            elif state is QUEUED:
                self._miss_objective(request)
            elif state is SET_ASIDE:
                self._answers.reject(request, last=not self._capacity.others_have_capacity(request))
            elif state is AWAITING_FLEET and self.fleet:
                after_ms = self.fleet.reject(request.id, self._overload.overload_threshold_ms())
                self._answers.reject(request, last=False, after_ms=after_ms)
        late = self._queues.late
        while late and late[0].answer_due - now < self._costs.elapsed_ms[late[0].class_index]:
            if (request := late.popleft()).state is LATE:
                self._answers.reject(request, last=True)

    def _miss_objective(self, request: HeldRequest) -> None:
        """Reject a queued request that would miss its latency objective.

        Outside overload, a request of a class with a late weight keeps waiting instead, in state LATE.
        """
        has_late_weight = self._classes[request.class_index].late_weight > 0
        if has_late_weight and not self._overload.is_overloaded and self._drain.answers_due_at > request.answer_due:
            self._answers.stop_waiting(request)
            self._memory.queued_kb += request.memory_kb
            self._queues.append_late(request)
            return
        waited_ms = self._clock.now - request.arrived
        if request.relative_cost <= 1 and waited_ms <= self._overload.read_delay_ms + self._clock.tick_ms:
            self._costs.lower_elapsed(request.class_index)
        self._answers.reject(request, last=not self._capacity.others_have_capacity(request))

    def _log_limit_reached(self, name: str) -> None:
        self._actions.log_limit_reached(name, len(self._table.requests), self._concurrency.on_cores)
