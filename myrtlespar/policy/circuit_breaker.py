"""The circuit breaker of the dependency: while most calls fail, runs go on without their call.

It concerns only classes whose result without the call still has weight; other runs wait, back off or fail
(`dependency_calls`). A call is still made once in a probe interval, to find out whether the dependency is back.
"""

from __future__ import annotations

from myrtlespar.policy.action_list import ActionList
from myrtlespar.policy.learning import FAST_WEIGHT
from myrtlespar.policy.policy_clock import PolicyClock

OPEN_FAILED_FRACTION = 0.5  # fraction of calls failing at which the call is skipped where a degraded result has weight


class CircuitBreaker:
    """Whether the dependency answers, judged by the calls of this server alone.

    Attributes:
        is_open: Whether most calls fail, so that calls that can be skipped are skipped.
        failed_fraction: Fraction of calls that failed, a moving average.
        usual_call_ms: For each class how long a successful call takes; 0 until one has ended.
    """

    def __init__(self, classes: int, clock: PolicyClock, actions: ActionList, probe_interval_ms: float) -> None:
        self._clock = clock
        self._actions = actions
        self._probe_interval_ms = probe_interval_ms
        self._last_call = 0.0
        self.is_open = False
        self.failed_fraction = 0.0
        self.usual_call_ms = [0.0] * classes

    def note_call(self) -> None:
        """Record that a call is made; while the breaker is open it is the trial."""
        self._last_call = self._clock.now

    def note_result(self, class_index: int, succeeded: bool, elapsed_ms: float) -> None:
        """Record how a call ended, and open or close the breaker."""
        self.failed_fraction += FAST_WEIGHT * ((0.0 if succeeded else 1.0) - self.failed_fraction)
        if succeeded:
            usual_ms = self.usual_call_ms[class_index]
            self.usual_call_ms[class_index] += (FAST_WEIGHT if usual_ms else 1.0) * (elapsed_ms - usual_ms)
        if self.is_open != (self.failed_fraction > OPEN_FAILED_FRACTION):
            self.is_open = not self.is_open
            self._actions.log("dependency cut off: calls fail" if self.is_open else "dependency is back")

    def blocks_call(self) -> bool:
        """Whether the breaker is open and it is not yet time for another trial."""
        return self.is_open and self._clock.now - self._last_call <= self._probe_interval_ms
