"""Calls of runs to the shared dependency: when each is made, made again or skipped, and how many are in flight."""

from __future__ import annotations

import math
from collections import deque

from myrtlespar.policy.circuit_breaker import CircuitBreaker
from myrtlespar.policy.final_answers import FinalAnswers
from myrtlespar.policy.fleet_port import FleetLimitsPort
from myrtlespar.policy.held_request import CALLING, WAITING_FOR_CALL, HeldRequest
from myrtlespar.policy.messages import Call, CallEnded, RunOutcome, SkipCall
from myrtlespar.policy.server_state import ServerState
from myrtlespar.policy.settings import Effect

MAX_MEAN_FRACTION = 0.6  # fraction of the share of calls in flight that their mean may use; at a moment all of it may
CALL_BACKOFF_MS = 50.0  # before a call that never ran is made again; doubles
MIN_FAILED_FRACTION = 0.01  # of calls, by which their usual time is divided at the least
NEVER_RAN = (RunOutcome.REJECTED, RunOutcome.UNREACHABLE, RunOutcome.MOOT)


class DependencyCalls:
    """Runs that wait for their call, and the calls that the dependency has in flight.

    Attributes:
        waiting: Runs whose call is not made yet.
        in_flight: Calls that are under way.
        mean_in_flight: Calls in flight on average, those that linger included.
        breaker: The circuit breaker of the dependency.
        fleet: Limits of all servers together, or None.
    """

    def __init__(self, state: ServerState, breaker: CircuitBreaker, answers: FinalAnswers) -> None:
        self._settings = state.settings
        self._cores = state.cores
        self._backoff_ms = CALL_BACKOFF_MS * state.interval_scale
        self._clock = state.clock
        self._actions = state.actions
        self._costs = state.costs
        self._concurrency = state.concurrency
        self._answers = answers
        is_shared = state.settings.shared_dependency and state.settings.calls_share > 0
        self._share = state.settings.calls_share if is_shared else math.inf
        self._mean_over_ms = max(1.0, state.settings.calls_over_ms / 2)
        self._lingering_until: deque[float] = deque()  # when abandoned calls may leave the dependency's hands
        self.breaker = breaker
        self.waiting: deque[HeldRequest] = deque()
        self.in_flight = 0
        self.mean_in_flight = 0.0
        self.fleet: FleetLimitsPort | None = None

    def advance(self, step_ms: float) -> None:
        """Take `step_ms` into the mean, and let abandoned calls go whose time has passed."""
        lingering = self._lingering_until
        while lingering and lingering[0] <= self._clock.now:
            lingering.popleft()
        weight = min(1.0, step_ms / self._mean_over_ms)
        self.mean_in_flight += (self.in_flight + len(lingering) - self.mean_in_flight) * weight

    def request_call(self, request: HeldRequest) -> None:
        """A run has left its core for a call; it is failed if its answer is of no use any more."""
        request.state = WAITING_FOR_CALL
        request.call_retry_at = self._clock.now
        request.call_attempts = 0
        self._concurrency.at_calls += 1
        has_late_weight = self._settings.classes[request.class_index].late_weight
        if request.useful_until <= self._clock.now and not has_late_weight and not request.answered:
            self._answers.fail(request)
            return
        self.waiting.append(request)

    def abandon(self, request: HeldRequest) -> None:
        """A run ends with its call under way: the call may stay in the dependency's hands for a while."""
        self.in_flight -= 1
        self._linger(request)

    def end_call(self, request: HeldRequest, event: CallEnded) -> None:
        """Let a run go on after a good call; else go on without it, wait for another one, or fail."""
        self.in_flight -= 1
        succeeded = event.outcome is RunOutcome.OK
        self.breaker.note_result(request.class_index, succeeded, event.elapsed_ms)
        if event.outcome is RunOutcome.TIMED_OUT:
            self._linger(request)
        elif self.fleet:
            self.fleet.release_call(request.id, 0.0)
        request.state = WAITING_FOR_CALL
        if succeeded:
            self._concurrency.return_to_core(request)
            return
        if request.answered:
            return
        request_class = self._settings.classes[request.class_index]
        if request_class.degraded_weight > 0:
            self._skip(request)
        elif event.outcome in NEVER_RAN or request_class.effect is Effect.SAFE:
            request.call_attempts += 1
            request.call_retry_at = self._clock.now + self._backoff_ms * 2**request.call_attempts
            self.waiting.append(request)
        else:
            self._answers.fail(request)

    def make_calls(self) -> None:
        """Make or skip the calls of waiting runs whose time has come, as far as there is capacity."""
        for _ in range(len(self.waiting)):
            request = self.waiting.popleft()
            if request.state is not WAITING_FOR_CALL or request.answered:
                continue
            if request.call_retry_at > self._clock.now or not self._decide(request):
                self.waiting.append(request)

    def _decide(self, request: HeldRequest) -> bool:
        """Call, or go on without where a degraded result has weight and the call is unlikely to help; False to wait."""
        request_class = self._settings.classes[request.class_index]
        if request_class.degraded_weight > 0:
            limit_ms = self._skippable_limit_ms(request)
            if (
                self.breaker.blocks_call()
                or limit_ms < self.breaker.usual_call_ms[request.class_index]
                or not self._has_share(self._cores)
                or not self._fleet_admits(request)
            ):
                self._skip(request)
                return True
        else:
            if not self._has_share(1) or not self._fleet_admits(request):
                return False
            limit_ms = request.answer_due - self._clock.now
            if not request_class.late_weight and self._settings.passes_deadline:
                limit_ms = request.useful_until - self._clock.now  # passed on to the dependency
        self.breaker.note_call()
        request.state = CALLING
        self.in_flight += 1
        self._actions.append(Call(request.id, max(self._settings.round_ms, limit_ms)))
        return True

    def _skippable_limit_ms(self, request: HeldRequest) -> float:
        """How long to wait for a call without which the run can still go on."""
        class_index = request.class_index
        share = self._settings.calls_share
        limit_ms = request.useful_until - self._clock.now - self._costs.core_ms(class_index) / 2
        usual_ms = self.breaker.usual_call_ms[class_index]
        if usual_ms:  # calls may hang: the more fail, the shorter the wait
            limit_ms = min(limit_ms, usual_ms / max(MIN_FAILED_FRACTION, self.breaker.failed_fraction))
        if 0 < share < self._cores:  # calls must not fill so small a share
            limit_ms = min(limit_ms, MAX_MEAN_FRACTION * share * self._settings.calls_over_ms / self._cores)
        return limit_ms

    def _skip(self, request: HeldRequest) -> None:
        self._actions.append(SkipCall(request.id))
        self._concurrency.return_to_core(request)

    def _linger(self, request: HeldRequest) -> None:
        linger_ms = self._settings.linger_ms
        if self.fleet:
            self.fleet.release_call(request.id, linger_ms)
        if linger_ms > 0:
            self._lingering_until.append(self._clock.now + linger_ms)

    def _has_share(self, at_once: int) -> bool:
        """Keep calls in flight well within the share in the mean, and at a moment within it or `at_once`.

        Otherwise all servers may fill their shares at once, abandoned calls that linger included: the dependency
        counts those for as long as it may keep them.
        """
        held = self.in_flight + len(self._lingering_until)
        return held < max(at_once, self._share) and self.mean_in_flight < MAX_MEAN_FRACTION * self._share

    def _fleet_admits(self, request: HeldRequest) -> bool:
        """Whether all servers together may have one more call in flight; the own share is a bound beside it."""
        return self.fleet is None or self.fleet.admit_call(request.id, request.class_index)
