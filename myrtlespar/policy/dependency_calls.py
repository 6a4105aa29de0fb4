"""Calls of runs to the dependency: when each is made, retried or skipped, and how many are in flight."""

from __future__ import annotations

import math
from collections import deque

from myrtlespar.policy.circuit_breaker import CircuitBreaker
from myrtlespar.policy.final_answers import FinalAnswers
from myrtlespar.policy.fleet_port import FleetLimitsPort
from myrtlespar.policy.held_request import CALLING, WAITING_FOR_CALL, HeldRequest
from myrtlespar.policy.messages import Call, CallEnded, RunOutcome, SkipCall
from myrtlespar.policy.server_share import NOTHING
from myrtlespar.policy.server_state import ServerState
from myrtlespar.policy.settings import Effect

MAX_MEAN_FRACTION = 0.6  # fraction of the share that the mean of calls in flight may reach; peaks may use all of it
CALL_BACKOFF_MS = 50.0  # doubled before each retry: the first retry waits 100 ms, less if latency objectives are short
MIN_FAILED_FRACTION = 0.01  # lower bound of the failed fraction where a time limit is divided by it
NEVER_RAN = (RunOutcome.REJECTED, RunOutcome.UNREACHABLE, RunOutcome.MOOT)


class DependencyCalls:
    """Decides on the calls of runs to the dependency.

    Attributes:
        waiting: Runs whose call has not been made yet or must be retried.
        in_flight: Number of calls that were made and have not ended.
        mean_in_flight: Mean number of calls in flight, including abandoned ones that the dependency may still process.
        breaker: The circuit breaker of the dependency.
        reserved: What is left to another process of this server.
        fleet: The limits of the whole fleet; None if there are none.
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
        # For each abandoned call, when the dependency has surely dropped it.
        self._lingering_until: deque[float] = deque()
        self.breaker = breaker
        self.waiting: deque[HeldRequest] = deque()
        self.in_flight = 0
        self.mean_in_flight = 0.0
        self.reserved = NOTHING
        self.fleet: FleetLimitsPort | None = None

    @property
    def server_share(self) -> float:
        """The share of the dependency's calls of all processes of this server together; 0 if there is no limit."""
        return 0.0 if math.isinf(self._share) else self._share

    @property
    def unfinished_calls(self) -> int:
        """The number of calls that the dependency may be processing, abandoned ones included."""
        return self.in_flight + len(self._lingering_until)

    def advance(self, step_ms: float) -> None:
        """Advance by `step_ms`: update the mean, and forget abandoned calls whose linger time has passed."""
        lingering = self._lingering_until
        while lingering and lingering[0] <= self._clock.now:
            lingering.popleft()
        weight = min(1.0, step_ms / self._mean_over_ms)
        self.mean_in_flight += (self.in_flight + len(lingering) - self.mean_in_flight) * weight

    def request_call(self, request: HeldRequest) -> None:
        """Queue the call of a run that has left its core, or fail the run if its answer is no longer useful."""
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
        """Record that a run has ended during its call, which the dependency may still process for a while."""
        self.in_flight -= 1
        self._linger(request)

    def end_call(self, request: HeldRequest, event: CallEnded) -> None:
        """Continue the run after a successful call; after a failed one skip it, schedule a retry, or fail the run."""
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
        """Make or skip the calls of waiting runs that are due, as far as there is capacity."""
        for _ in range(len(self.waiting)):
            request = self.waiting.popleft()
            if request.state is not WAITING_FOR_CALL or request.answered:
                continue
            if request.call_retry_at > self._clock.now or not self._call_or_skip(request):
                self.waiting.append(request)

    def _call_or_skip(self, request: HeldRequest) -> bool:
        """Make or skip the call of a run; return False, without any effect, if the run must wait.

        Runs of classes with a degraded weight never wait: their call is made or skipped at once. Calls of other
        classes are never skipped.
        """
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
                limit_ms = request.useful_until - self._clock.now  # the dependency receives this limit as its deadline
        self.breaker.note_call()
        request.state = CALLING
        self.in_flight += 1
        self._actions.append(Call(request.id, max(self._settings.round_ms, limit_ms)))
        return True

    def _skippable_limit_ms(self, request: HeldRequest) -> float:
        """Return the time limit in ms of a call that the run can do without."""
        class_index = request.class_index
        share = self._settings.calls_share
        limit_ms = request.useful_until - self._clock.now - self._costs.core_ms(class_index) / 2
        usual_ms = self.breaker.usual_call_ms[class_index]
        if usual_ms:  # calls may hang, so the limit gets shorter as more of them fail
            limit_ms = min(limit_ms, usual_ms / max(MIN_FAILED_FRACTION, self.breaker.failed_fraction))
        if 0 < share < self._cores:  # long calls must not use up a share that is smaller than the number of cores
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

    def _has_share(self, max_at_once: int) -> bool:
        """Return whether one more call stays within this server's share of the calls in flight.

        The number of calls in flight may reach the share, or `max_at_once` if that is more; abandoned calls count until
        the dependency has dropped them. Their mean must stay well below the share, as with a mean at the share all
        servers together could reach the dependency's limit.
        Both limits hold for all processes of this server together.
        """
        max_calls = max(max_at_once, self._share) - self.reserved.calls
        max_mean = MAX_MEAN_FRACTION * self._share - self.reserved.mean_calls
        return self.unfinished_calls < max_calls and self.mean_in_flight < max_mean

    def _fleet_admits(self, request: HeldRequest) -> bool:
        """Acquire capacity for the call from the limits of the fleet; return False if there is none."""
        return self.fleet is None or self.fleet.admit_call(request.id, request.class_index)
