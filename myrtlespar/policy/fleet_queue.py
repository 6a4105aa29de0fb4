"""Holds requests that this server could start, but for which the limits of the fleet have no capacity yet."""

from __future__ import annotations

from myrtlespar.policy.final_answers import FinalAnswers
from myrtlespar.policy.fleet_port import FleetLimitsPort
from myrtlespar.policy.held_request import AWAITING_FLEET, LATE, HeldRequest
from myrtlespar.policy.messages import Wake
from myrtlespar.policy.server_state import ServerState

FLEET_CAPACITY_TOKEN = 1  # token of ticks that only retry the admission of held requests
MIN_WAKE_MS = 1.0  # a tick after a shorter time would come before the fleet has capacity


class FleetQueue:
    """Moves requests between this server's queues and the queue of `FleetLimitsPort`, which keeps their order."""

    def __init__(self, state: ServerState, answers: FinalAnswers) -> None:
        self._clock = state.clock
        self._actions = state.actions
        self._costs = state.costs
        self._table = state.table
        self._memory = state.memory
        self._quotas = state.quotas
        self._queues = state.queues
        self._answers = answers
        self._wake_at = -1.0

    def hold(self, fleet: FleetLimitsPort, request: HeldRequest, after_ms: float, start_deadline: float) -> None:
        """Hold a request if the fleet may have capacity by `start_deadline`, else reject it at once.

        Args:
            fleet: The limits of the fleet, which have not admitted the request.
            request: The request, the first of its queue.
            after_ms: In how many ms the fleet may have capacity.
            start_deadline: Latest useful start of the request, in ms on the policy's clock.
        """
        if request.state is LATE or self._clock.now + after_ms > start_deadline:
            self._answers.reject(request, last=False, after_ms=fleet.reject(request.id, after_ms))
            return
        self._answers.stop_waiting(request)  # it no longer waits for a core
        self._memory.queued_kb += request.memory_kb
        request.state = AWAITING_FLEET
        fleet.enqueue(request.id, self._costs.latest_start(request))

    def take_ready(self, fleet: FleetLimitsPort) -> None:
        """Move requests that may be admitted now to the front of their lanes, as they arrived before those there."""
        for request_id in reversed(fleet.take_ready()):
            request = self._table.requests[request_id]
            self._quotas.reserve(request)
            self._queues.prepend(request)

    def wake_when_ready(self, fleet: FleetLimitsPort, next_tick_at: float) -> None:
        """Request a tick for when the first held request may be admitted, if that is before `next_tick_at`."""
        after_ms = fleet.next_ready_ms()
        now = self._clock.now
        if now + after_ms < next_tick_at and (now + after_ms < self._wake_at or self._wake_at <= now):
            self._wake_at = now + after_ms
            self._actions.append(Wake(max(MIN_WAKE_MS, after_ms), FLEET_CAPACITY_TOKEN))
