"""The circuit breaker of the dependency: while most calls fail, runs continue without their call.

It applies only to classes with a degraded weight; runs of other classes wait, back off or fail (`dependency_calls`).
One trial call is made in each probe interval, to find out whether the dependency has recovered.
"""

from __future__ import annotations

from myrtlespar.policy.action_list import ActionList
from myrtlespar.policy.learning import FAST_WEIGHT
from myrtlespar.policy.policy_clock import PolicyClock

OPEN_FAILED_FRACTION = 0.5  # the breaker is open while a larger fraction of the calls fails


class CircuitBreaker:
    """Decides whether calls to the dependency are skipped, from the results of this server's own calls.

    Attributes:
        is_open: Whether most calls fail, so that skippable calls are skipped.
        failed_fraction: Fraction of calls that failed; a moving average.
        usual_call_ms: Duration of a successful call, by class; a moving average, 0 before the first one.
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
        """Record that a call is made; while the breaker is open, this is the trial call."""
        self._last_call = self._clock.now

    def note_result(self, class_index: int, succeeded: bool, elapsed_ms: float) -> None:
        """Record the result of a call, and open or close the breaker."""
        self.failed_fraction += FAST_WEIGHT * ((0.0 if succeeded else 1.0) - self.failed_fraction)
        if succeeded:
            usual_ms = self.usual_call_ms[class_index]
            self.usual_call_ms[class_index] += (FAST_WEIGHT if usual_ms else 1.0) * (elapsed_ms - usual_ms)
        if self.is_open != (self.failed_fraction > OPEN_FAILED_FRACTION):
            self.is_open = not self.is_open
            self._actions.log(
                "circuit breaker of the dependency opened: most calls fail"
                if self.is_open
                else "circuit breaker of the dependency closed: calls succeed again"
            )

    def blocks_call(self) -> bool:
        """Return whether the breaker is open and the next trial call is not due yet."""
        return self.is_open and self._clock.now - self._last_call <= self._probe_interval_ms
