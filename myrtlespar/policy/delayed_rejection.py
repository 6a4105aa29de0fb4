"""Delayed rejection: the overload flag with its hysteresis, and the timer T1 of costly requests set aside."""

from __future__ import annotations

from myrtlespar.policy.action_list import ActionList
from myrtlespar.policy.cost_estimates import CostEstimates
from myrtlespar.policy.held_request import HeldRequest
from myrtlespar.policy.learning import FAST_WEIGHT
from myrtlespar.policy.policy_clock import PolicyClock
from myrtlespar.policy.priority_queues import PriorityQueues

OVERLOAD_SLACK_FRACTION = 0.25  # O, fraction of the tightest slack: later answers would start to miss their objective
ABATEMENT_FRACTION = 0.4  # A, fraction of O: far enough below it that one burst moves the flag once
T1_SLACK_FRACTION = 0.75  # T1, fraction of a request's slack: a burst can pass, and a rejection is still of use
MIN_OVERLOAD_MARK_MS = 1.0  # keeps the mark above 0 even for a latency objective of 0
UNREAD_DECAY = 0.98  # factor by which the unread time falls in each tick


class DelayedRejection:
    """Whether this server is overloaded, judged by how long work waits.

    Attributes:
        is_overloaded: The overload flag: it rises when the wait passes O and falls when it is below A.
        unread_ms: How long arrivals have waited before this server read them, a moving average.
    """

    def __init__(self, clock: PolicyClock, actions: ActionList, costs: CostEstimates, queues: PriorityQueues) -> None:
        self._clock = clock
        self._actions = actions
        self._costs = costs
        self._queues = queues
        self.is_overloaded = False
        self.unread_ms = 0.0

    def overload_mark_ms(self) -> float:
        """O: the wait above which this server is overloaded."""
        return max(MIN_OVERLOAD_MARK_MS, OVERLOAD_SLACK_FRACTION * self._costs.tightest_slack_ms())

    def wait_ms(self, with_set_aside: bool = True) -> float:
        """Return the time in ms that the waiting work needs from all cores, plus `unread_ms`."""
        return self._queues.core_ms_per_core(with_set_aside) + self.unread_ms

    def note_unread(self, arrived: float) -> None:
        """Record how long an arrival waited to be read, without the time of a standstill of the process."""
        unread_ms = self._clock.now - max(arrived, self._clock.resumed_at)
        self.unread_ms += FAST_WEIGHT * (max(0.0, unread_ms) - self.unread_ms)

    def decay_unread(self) -> None:
        """Lower the unread time, so that it falls even while nothing arrives; called once a tick."""
        self.unread_ms *= UNREAD_DECAY

    def is_reading_late(self) -> bool:
        """Whether arrivals wait unread for longer than O."""
        return self.unread_ms > self.overload_mark_ms()

    def update_flag(self) -> None:
        """Raise or lower the overload flag."""
        wait = self.wait_ms()
        mark = self.overload_mark_ms()
        if not self.is_overloaded and wait > mark:
            self.is_overloaded = True
            self._actions.log(f"overload flag up: wait {wait:.0f} ms passed {mark:.0f} ms")
        elif self.is_overloaded and wait < ABATEMENT_FRACTION * mark:
            self.is_overloaded = False
            self._actions.log(f"overload flag down: wait {wait:.0f} ms")

    def set_aside(self, request: HeldRequest, others_have_capacity: bool) -> None:
        """Set a costly request aside until timer T1 ends, which is shorter where other servers have capacity."""
        fraction = T1_SLACK_FRACTION / 3 if others_have_capacity else T1_SLACK_FRACTION
        slack_ms = max(0.0, self._costs.latest_start(request) - self._clock.now)
        request.set_aside_until = self._clock.now + fraction * slack_ms
        self._queues.set_aside(request)

    def cannot_start_in_time(self, request: HeldRequest) -> bool:
        """Whether the work that already waits takes most of what is left until the request's latest start."""
        queue_ms = self.wait_ms() - self.unread_ms
        return queue_ms > T1_SLACK_FRACTION * (self._costs.latest_start(request) - self._clock.now) > 0
