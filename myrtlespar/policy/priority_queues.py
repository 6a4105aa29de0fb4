"""The queues of requests that wait for a core: two lanes for each class, one within and one over the quota."""

from __future__ import annotations

from collections import deque

from myrtlespar.policy.cost_estimates import CostEstimates
from myrtlespar.policy.held_request import LATE, QUEUED, SET_ASIDE, HeldRequest, RequestState

FORCED_TURN_STARTS = 9  # starts of queued requests before a set-aside request gets a forced turn


class PriorityQueues:
    """Queued, set-aside and late requests, and the amount of work that they represent.

    A request leaves its queue by a change of its state; its stale entry is removed when it reaches the head.

    Attributes:
        queued_work: Sum of the relative costs of queued requests, by lane; exact, see `CostHints.relative_cost`.
        set_aside_work: Sum of the relative costs of requests that were set aside, by lane.
        late: Requests past their latency objective whose class has a late weight.
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
        self._starts_since_forced_turn = 0

    def append(self, request: HeldRequest) -> None:
        """Queue a request at the end of its lane."""
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
        """Queue a request that starts only when no other request waits."""
        request.state = LATE
        self.late.append(request)

    def leave(self, request: HeldRequest) -> None:
        """Subtract the work of a request that stops waiting; must be called before its state changes."""
        if request.state is QUEUED:
            self.queued_work[request.lane] -= request.relative_cost
        elif request.state is SET_ASIDE:
            self.set_aside_work[request.lane] -= request.relative_cost

    def core_ms_per_core(self, with_set_aside: bool) -> float:
        """Return the time in ms in which all cores together can do the waiting work."""
        usual = self._costs.usual_core_ms
        slowdown = self._costs.slowdown
        work = sum([amount * (usual[lane >> 1] * slowdown) for lane, amount in enumerate(self.queued_work)])
        if with_set_aside:
            work += sum([amount * (usual[lane >> 1] * slowdown) for lane, amount in enumerate(self.set_aside_work)])
        return work / self._cores

    def next_request(self, is_overloaded: bool) -> HeldRequest | None:
        """Return the request to start next, or None if no request waits.

        Queued requests come first: in overload the one with the highest weight per cost, otherwise the one with the
        earliest latest start. A set-aside request gets a turn if nothing is queued, or after `FORCED_TURN_STARTS`
        starts of queued requests. The request stays in its queue until its state changes.
        """
        costs = self._costs
        queued = _heads(self._queued, QUEUED)
        set_aside = _heads(self._set_aside, SET_ASIDE)
        if set_aside and (not queued or self._starts_since_forced_turn >= FORCED_TURN_STARTS):
            self._starts_since_forced_turn = 0
            return max(set_aside, key=lambda request: costs.weight_per_cost(request.lane))
        if not queued:
            return next((request for request in self.late if request.state is LATE), None)
        self._starts_since_forced_turn += 1
        if is_overloaded:
            return max(queued, key=lambda request: (costs.weight_per_cost(request.lane), -costs.latest_start(request)))
        return min(queued, key=costs.latest_start)


def _heads(lanes: list[deque[HeldRequest]], state: RequestState) -> list[HeldRequest]:
    """Return the first request in `state` of each lane that has one, and remove the stale entries before it."""
    heads = []
    for lane in lanes:
        while lane and lane[0].state is not state:
            lane.popleft()
        if lane:
            heads.append(lane[0])
    return heads
