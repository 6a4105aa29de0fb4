"""Carries out the effects of the request tracker: answers, runs, dependency calls and events for the policy."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from myrtlespar.coordinator.ports import Dependency, ExecutionEngine
from myrtlespar.exchange import AnswerKind, Exchange
from myrtlespar.policy import messages as api
from myrtlespar.runtime.clock import unix_ms
from myrtlespar.runtime.counters import Counters
from myrtlespar.state_machines.attempts import AttemptAction
from myrtlespar.state_machines.process import ProcessLifecycle
from myrtlespar.state_machines.request_effects import RequestEffect

log = structlog.get_logger()
# Bound once at import: looking up an enum member in its class costs as much as a transition.
ACTION_DELIVER = AttemptAction.DELIVER
ACTION_MAKE_CALL = AttemptAction.MAKE_CALL
ACTION_RESUME = AttemptAction.RESUME
ACTION_START_RUN = AttemptAction.START_RUN
ACTION_TELL_ARRIVAL = AttemptAction.TELL_ARRIVAL
ACTION_TELL_CALL_ENDED = AttemptAction.TELL_CALL_ENDED
ACTION_TELL_CALL_NEEDED = AttemptAction.TELL_CALL_NEEDED
ACTION_TELL_ENDED = AttemptAction.TELL_ENDED
ACTION_TELL_GONE = AttemptAction.TELL_GONE
ANSWER_COLUMNS = {
    AnswerKind.SERVED: 0,
    AnswerKind.REFUSED: 1,
    AnswerKind.FAILED: 2,
}  # index into the counts of a class in `answer_counts`
ANSWER_TIME_WEIGHT = 1 / 16  # weight of the newest answer in the moving average; small, as single times vary
MAX_ANSWER_TIME_MS = 5.0  # bound on one answer in the average; an answer takes under 0.3 ms of a whole core


class EffectExecutor:
    """Carries out the effects of the request tracker, and counts answers and runs by request class.

    The counts are totals since the start of the process. Each delivered answer also updates
    `ProcessLifecycle.average_answer_ms`, on which the deadline for the last answers of a shutdown depends.

    `post` queues an event for the policy. `engines` is the coordinator's dictionary, by target; the empty name
    is the execution engine, other names are back ends.
    """

    def __init__(
        self,
        class_count: int,
        engines: dict[str, ExecutionEngine],
        process: ProcessLifecycle,
        counters: Counters,
        post: Callable[[api.Event | Exchange], None],
    ) -> None:
        self.engines = engines
        self.dependency: Dependency | None = None
        self.process = process
        self.counters = counters
        self.answer_counts = [[0, 0, 0] for _ in range(class_count)]  # by class: served, refused, failed
        self.engine_run_counts = [0 for _ in range(class_count)]  # by class: runs sent to the execution engine
        self._post = post

    def execute_all(self, effects: list[RequestEffect]) -> None:
        """Carry out effects in order. An exception is logged and counted, and affects only its own request."""
        for effect in effects:
            try:
                self._execute(effect)
            except Exception:  # no exception here may end the coordinator, which serves all other requests
                if self.counters.count_and_sample("core.effect_fault"):
                    log.exception(
                        "carrying out an effect of a request failed", effect=effect.action.name, id=effect.exchange.id
                    )

    def _execute(self, effect: RequestEffect) -> None:
        action, exchange, answer, outcome, duration_ms, body = effect
        if action is ACTION_DELIVER:
            assert answer is not None
            self.counters.add(f"answer.{answer.kind.value}.{exchange.front}")
            self.answer_counts[exchange.class_index][ANSWER_COLUMNS[answer.kind]] += 1
            began_at = unix_ms()
            exchange.deliver(exchange, answer)
            # The bound limits how much a pause of the process during one delivery changes the average.
            answer_ms = min(MAX_ANSWER_TIME_MS, unix_ms() - began_at)
            self.process.average_answer_ms += ANSWER_TIME_WEIGHT * (answer_ms - self.process.average_answer_ms)
        elif action is ACTION_TELL_ARRIVAL:
            self._post(exchange)
        elif action is ACTION_START_RUN:
            self.counters.add("run.started")
            if not exchange.target:
                self.engine_run_counts[exchange.class_index] += 1
            self.engines[exchange.target].run(exchange)
        elif action is ACTION_TELL_ENDED:
            self._post(api.RunEnded(exchange.id, outcome, duration_ms))
        elif action is ACTION_TELL_CALL_NEEDED:
            self._post(api.CallNeeded(exchange.id))
        elif action is ACTION_TELL_CALL_ENDED:
            self._post(api.CallEnded(exchange.id, outcome, duration_ms))
        elif action is ACTION_RESUME:
            self.engines[exchange.target].resume(exchange, body)
        elif action is ACTION_TELL_GONE:
            self._post(api.CallerGone(exchange.id))
        else:
            self._use_dependency(action, exchange, duration_ms)

    def _use_dependency(self, action: AttemptAction, exchange: Exchange, limit_ms: float) -> None:
        """Make or cancel the dependency call of a request."""
        if self.dependency is None:
            return
        if action is ACTION_MAKE_CALL:
            self.counters.add("store.call")
            self.dependency.call(exchange.id, limit_ms, exchange.call_body)
        else:
            self.dependency.cancel_call(exchange.id)
