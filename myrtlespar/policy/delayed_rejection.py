"""Delayed rejection: the overload flag with its hysteresis, and timer T1 of costly requests that are set aside."""

from __future__ import annotations

from myrtlespar.policy.action_list import ActionList
from myrtlespar.policy.cost_estimates import CostEstimates
from myrtlespar.policy.held_request import HeldRequest
from myrtlespar.policy.learning import FAST_WEIGHT
from myrtlespar.policy.policy_clock import PolicyClock
from myrtlespar.policy.priority_queues import PriorityQueues

OVERLOAD_SLACK_FRACTION = 0.25  # O as a fraction of the tightest slack; above O, answers start to miss their objectives
ABATEMENT_FRACTION = 0.4  # A as a fraction of O: low enough that one burst raises the flag only once
# T1 as a fraction of a request's slack: a burst can pass, and the rejection still comes early enough to be useful.
T1_SLACK_FRACTION = 0.75
MIN_OVERLOAD_THRESHOLD_MS = 1.0  # keeps O above 0 even for a latency objective of 0
READ_DELAY_DECAY = 0.98  # factor applied to `read_delay_ms` in each tick


class DelayedRejection:
    """Detects overload of this server by how long requests wait, and sets costly requests aside.

    Attributes:
        is_overloaded: The overload flag: raised when the wait exceeds O, cleared when it falls below A.
        read_delay_ms: Time from the arrival of a request until this server reads it; a moving average.
    """

    def __init__(self, clock: PolicyClock, actions: ActionList, costs: CostEstimates, queues: PriorityQueues) -> None:
        self._clock = clock
        self._actions = actions
        self._costs = costs
        self._queues = queues
        self.is_overloaded = False
        self.read_delay_ms = 0.0

    def overload_threshold_ms(self) -> float:
        """Return O, the wait in ms above which this server is overloaded."""
        return max(MIN_OVERLOAD_THRESHOLD_MS, OVERLOAD_SLACK_FRACTION * self._costs.tightest_slack_ms())

    def wait_ms(self, with_set_aside: bool = True) -> float:
        """Return the expected wait: the time in which all cores do the waiting work, plus `read_delay_ms`."""
        return self._queues.core_ms_per_core(with_set_aside) + self.read_delay_ms

    def note_read_delay(self, arrived: float) -> None:
        """Record how long a request waited to be read, without the time for which the process was stalled.

        Args:
            arrived: When the request reached this server, in ms on the policy's clock.
        """
        read_delay_ms = self._clock.now - max(arrived, self._clock.resumed_at)
        self.read_delay_ms += FAST_WEIGHT * (max(0.0, read_delay_ms) - self.read_delay_ms)

    def decay_read_delay(self) -> None:
        """Lower `read_delay_ms`, so that it falls even while nothing arrives; called once for each tick."""
        self.read_delay_ms *= READ_DELAY_DECAY

    def is_reading_late(self) -> bool:
        """Return whether the read delay exceeds O."""
        return self.read_delay_ms > self.overload_threshold_ms()

    def update_flag(self) -> None:
        """Raise or clear the overload flag."""
        wait = self.wait_ms()
        threshold = self.overload_threshold_ms()
        if not self.is_overloaded and wait > threshold:
            self.is_overloaded = True
            self._actions.log(f"overload flag raised: wait {wait:.0f} ms, threshold {threshold:.0f} ms")
        elif self.is_overloaded and wait < ABATEMENT_FRACTION * threshold:
            self.is_overloaded = False
            self._actions.log(f"overload flag cleared: wait {wait:.0f} ms")

    def set_aside(self, request: HeldRequest, others_have_capacity: bool) -> None:
        """Set a costly request aside until timer T1 ends; T1 is shorter if other servers have capacity."""
        fraction = T1_SLACK_FRACTION / 3 if others_have_capacity else T1_SLACK_FRACTION
        slack_ms = max(0.0, self._costs.latest_start(request) - self._clock.now)
        request.set_aside_until = self._clock.now + fraction * slack_ms
        self._queues.set_aside(request)

    def cannot_start_in_time(self, request: HeldRequest) -> bool:
        """Return whether the work already waiting takes most of the time left until the request's latest start."""
        queue_ms = self.wait_ms() - self.read_delay_ms
        return queue_ms > T1_SLACK_FRACTION * (self._costs.latest_start(request) - self._clock.now) > 0
