"""Starts waiting requests within the concurrency limit, and rejects those that can no longer start in time."""

from __future__ import annotations

import math

from myrtlespar.policy.concurrency_limit import MAX_SURVIVABLE_FRACTION
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
        give_ups: Waiting requests, by when they can no longer start in time or timer T1 ends.
        fleet: Limits of all servers together, or None.
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
        self.give_ups = DeadlineQueue()
        self.fleet: FleetLimitsPort | None = None

    def watch(self, request: HeldRequest) -> None:
        """Check a waiting request when it can no longer start in time, or T1 ends."""
        self.give_ups.push(self._give_up_at(request), request)

    def start_work(self) -> None:
        """Start requests up to the concurrency limit, as far as memory and the limits of the fleet allow.

        The limit is lower while arrivals wait unread for longer than O: runs take the cores from reading, which every
        arrival needs.
        """
        self._expire()
        concurrency = self._concurrency
        max_started = concurrency.survivable_concurrency() * MAX_SURVIVABLE_FRACTION
        limit = concurrency.running_limit(self._overload.is_reading_late())
        while concurrency.on_cores < limit and concurrency.on_cores + concurrency.at_calls + 1 <= max_started:
            request = self._queues.next_request(self._overload.is_overloaded)
            if request is None:
                return
            if self._memory.used_kb + request.memory_kb * self._added_run_memory_factor > self._memory.max_used_kb:
                self._log_bound("memory")
                return
            after_ms = self.fleet.admit(request.id, request.class_index, request.sender) if self.fleet else 0.0
            if self.fleet and after_ms > 0:
                self._fleet_queue.hold(self.fleet, request, after_ms, self._give_up_at(request))
            else:
                self._start(request)
        if concurrency.on_cores + concurrency.at_calls + 1 > max_started and sum(self._queues.queued_work) > 0:
            self._log_bound("crowd")

    def _start(self, request: HeldRequest) -> None:
        self._answers.stop_waiting(request)
        self._quotas.spend(request.tenant)
        self._memory.used_kb += request.memory_kb * self._added_run_memory_factor
        if not self._concurrency.on_cores:
            self._faults.restart()
        self._concurrency.enter_core(request)
        if not self._classes[request.class_index].late_weight:
            self._answers.usefulness_deadlines.push(request.useful_until, request)
        self._actions.append(Run(request.id))
        self._connections.note_started()

    def _give_up_at(self, request: HeldRequest) -> float:
        return min(request.set_aside_until or math.inf, self._costs.latest_start(request))

    def _expire(self) -> None:
        """Reject requests that can no longer start in time (the sojourn bound) and those whose timer T1 has ended."""
        now = self._clock.now
        while (request := self.give_ups.pop_due(now)) is not None:
            state = request.state
            may_wait = state is QUEUED or state is SET_ASIDE or state is AWAITING_FLEET
            if may_wait and (give_up_at := self._give_up_at(request)) > now:
                self.give_ups.push(give_up_at, request)
            elif state is QUEUED:
                self._miss_objective(request)
            elif state is SET_ASIDE:
                self._answers.reject(request, last=not self._capacity.others_have_capacity(request))
            elif state is AWAITING_FLEET and self.fleet:
                after_ms = self.fleet.reject(request.id, self._overload.overload_mark_ms())
                self._answers.reject(request, last=False, after_ms=after_ms)
        late = self._queues.late
        while late and late[0].answer_due - now < self._costs.elapsed_ms[late[0].class_index]:
            if (request := late.popleft()).state is LATE:
                self._answers.reject(request, last=True)

    def _miss_objective(self, request: HeldRequest) -> None:
        """Reject a queued request that would miss its objective, or let it wait on if a late answer has weight.

        In overload it is rejected in any case.
        """
        has_late_weight = self._classes[request.class_index].late_weight > 0
        if has_late_weight and not self._overload.is_overloaded and self._drain.answers_due_at > request.answer_due:
            self._answers.stop_waiting(request)
            self._memory.queued_kb += request.memory_kb
            self._queues.append_late(request)
            return
        waited_ms = self._clock.now - request.arrived
        if request.relative_cost <= 1 and waited_ms <= self._overload.unread_ms + self._clock.tick_ms:
            self._costs.lower_elapsed(request.class_index)
        self._answers.reject(request, last=not self._capacity.others_have_capacity(request))

    def _log_bound(self, name: str) -> None:
        self._actions.log_bound(name, len(self._table.requests), self._concurrency.on_cores)
