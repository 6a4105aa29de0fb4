"""The queues of requests that wait for a core: one lane for each class, within and over quota."""

from __future__ import annotations

from collections import deque

from myrtlespar.policy.cost_estimates import CostEstimates
from myrtlespar.policy.held_request import LATE, QUEUED, SET_ASIDE, HeldRequest, RequestState

FORCED_TURN_STARTS = 9  # starts of queued work before set-aside work gets a turn


class PriorityQueues:
    """Queued, set-aside and late requests, and how much work they are.

    A request leaves a queue when its state changes: it is dropped only when it comes to the head.

    Attributes:
        queued_work: For each lane the sum of relative costs of queued requests, without rounding: see `CostHints`.
        set_aside_work: The same for requests that were set aside.
        late: Requests past their latency objective whose late answers still have weight.
    """

    def __init__(self, classes: int, cores: int, costs: CostEstimates) -> None:
        lanes = 2 * classes
        self._cores = cores
        self._costs = costs
        self._queued: list[deque[HeldRequest]] = [deque() for _ in range(lanes)]
        self._set_aside: list[deque[HeldRequest]] = [deque() for _ in range(lanes)]
        self.late: deque[HeldRequest] = deque()
        self.queued_work = [0.0] * lanes
        self.set_aside_work = [0.0] * lanes
        self._cheap_starts = 0

    def append(self, request: HeldRequest) -> None:
        """Queue a request behind those of its lane."""
        request.state = QUEUED
        self._queued[request.lane].append(request)
        self.queued_work[request.lane] += request.relative_cost

    def prepend(self, request: HeldRequest) -> None:
        """Queue a request at the front of its lane."""
        request.state = QUEUED
        self._queued[request.lane].appendleft(request)
        self.queued_work[request.lane] += request.relative_cost

    def set_aside(self, request: HeldRequest) -> None:
        """Put a costly request on the set-aside list of its lane."""
        request.state = SET_ASIDE
        self._set_aside[request.lane].append(request)
        self.set_aside_work[request.lane] += request.relative_cost

    def append_late(self, request: HeldRequest) -> None:
        """Let a request wait until no other request does."""
        request.state = LATE
        self.late.append(request)

    def leave(self, request: HeldRequest) -> None:
        """Subtract the work of a request that waits no longer from the sums; call it before the state changes."""
        if request.state is QUEUED:
            self.queued_work[request.lane] -= request.relative_cost
        elif request.state is SET_ASIDE:
            self.set_aside_work[request.lane] -= request.relative_cost

    def core_ms_per_core(self, with_set_aside: bool) -> float:
        """Return the time in ms that all cores together need for the waiting work."""
        usual = self._costs.usual_core_ms
        pace = self._costs.pace
        work = sum([amount * (usual[lane >> 1] * pace) for lane, amount in enumerate(self.queued_work)])
        if with_set_aside:
            work += sum([amount * (usual[lane >> 1] * pace) for lane, amount in enumerate(self.set_aside_work)])
        return work / self._cores

    def next_request(self, is_overloaded: bool) -> HeldRequest | None:
        """Choose the request to start next: queued work first, by weight per cost in overload, else by latest start.

        Set-aside work has a turn when nothing is queued, or after `FORCED_TURN_STARTS` starts of queued work. The
        request stays in its queue until its state changes; None if no request waits.
        """
        costs = self._costs
        queued = _heads(self._queued, QUEUED)
        set_aside = _heads(self._set_aside, SET_ASIDE)
        if set_aside and (not queued or self._cheap_starts >= FORCED_TURN_STARTS):
            self._cheap_starts = 0
            return max(set_aside, key=lambda request: costs.weight_per_cost(request.lane))
        if not queued:
            return next((request for request in self.late if request.state is LATE), None)
        self._cheap_starts += 1
        if is_overloaded:
            return max(queued, key=lambda request: (costs.weight_per_cost(request.lane), -costs.latest_start(request)))
        return min(queued, key=costs.latest_start)


def _heads(lanes: list[deque[HeldRequest]], state: RequestState) -> list[HeldRequest]:
    """Return the first request in `state` of each lane that has one; requests before it are dropped."""
    heads = []
    for lane in lanes:
        while lane and lane[0].state is not state:
            lane.popleft()
        if lane:
            heads.append(lane[0])
    return heads
