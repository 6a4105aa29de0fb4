"""Requests for which the limits of the whole fleet have no capacity yet."""

from __future__ import annotations

from myrtlespar.policy.final_answers import FinalAnswers
from myrtlespar.policy.fleet_port import FleetLimitsPort
from myrtlespar.policy.held_request import AWAITING_FLEET, LATE, HeldRequest
from myrtlespar.policy.messages import Wake
from myrtlespar.policy.server_state import ServerState

FLEET_CAPACITY_TOKEN = 1  # of ticks that are asked for only to start what the fleet has capacity for again
MIN_WAKE_MS = 1.0


class FleetQueue:
    """Holds requests until the fleet has capacity for them; their order is kept by the port itself."""

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

    def hold(self, fleet: FleetLimitsPort, request: HeldRequest, after_ms: float, give_up_at: float) -> None:
        """Hold a request if the fleet has capacity before `give_up_at`, else reject it at once.

        Without this, capacity would lie free until the next request comes.
        """
        if request.state is LATE or self._clock.now + after_ms > give_up_at:
            self._answers.reject(request, last=False, after_ms=fleet.reject(request.id, after_ms))
            return
        self._answers.stop_waiting(request)  # it waits for no core
        self._memory.queued_kb += request.memory_kb
        request.state = AWAITING_FLEET
        fleet.enqueue(request.id, self._costs.latest_start(request))

    def take_ready(self, fleet: FleetLimitsPort) -> None:
        """Queue what the fleet has capacity for again in front of its lane, as it came before what is there."""
        for request_id in reversed(fleet.take_ready()):
            request = self._table.requests[request_id]
            self._quotas.reserve(request)
            self._queues.prepend(request)

    def wake_when_ready(self, fleet: FleetLimitsPort, next_tick_at: float) -> None:
        """Ask for a tick when the first held request may have capacity, if that is before the next tick."""
        after_ms = fleet.next_ready_ms()
        now = self._clock.now
        if now + after_ms < next_tick_at and (now + after_ms < self._wake_at or self._wake_at <= now):
            self._wake_at = now + after_ms
            self._actions.append(Wake(max(MIN_WAKE_MS, after_ms), FLEET_CAPACITY_TOKEN))
