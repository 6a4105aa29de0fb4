"""The request coordinator, which connects the request tracker, the policy and the network side.

A front passes each request to `submit`. The request tracker (`myrtlespar.state_machines`) holds its state, the policy
(`myrtlespar.policy`) decides when it runs or is rejected, and `myrtlespar.coordinator` contains the other parts. The
coordinator knows no wire format.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import gevent
import structlog
from gevent.event import Event

from myrtlespar.admin.commands import AdminCommands
from myrtlespar.admin.metrics import MetricsSnapshot
from myrtlespar.coordinator.effect_executor import EffectExecutor
from myrtlespar.coordinator.lost_run_search import LostRunSearch
from myrtlespar.coordinator.ports import Dependency, ExecutionEngine, GaugeSource
from myrtlespar.coordinator.tick_schedule import TickSchedule
from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.policy import messages as api
from myrtlespar.policy.messages import RunOutcome
from myrtlespar.policy.policy import Policy
from myrtlespar.resource_limits import ResourceLimits
from myrtlespar.runtime.clock import unix_ms
from myrtlespar.runtime.counters import Counters
from myrtlespar.state_machines import TABLES
from myrtlespar.state_machines.attempts import AWAITING_ANSWER, AttemptAction, AttemptState
from myrtlespar.state_machines.command_log import confirm_every_start
from myrtlespar.state_machines.idempotency_keys import IdempotencyKeyTable, KeyId
from myrtlespar.state_machines.process import ProcessAction, ProcessLifecycle
from myrtlespar.state_machines.request_effects import RequestTrackerSettings
from myrtlespar.state_machines.request_tracker import RequestTracker
from myrtlespar.state_machines.transition_table import report_invalid_transitions

log = structlog.get_logger()
# Bound once at import: looking up an enum member in its class costs as much as a transition.
ACTION_DELIVER = AttemptAction.DELIVER
STATE_HELD = AttemptState.HELD
DEFAULT_RETRY_AFTER_MS = 1000.0  # used if the settings contain no `max_retry_after_ms`


class RequestCoordinator:
    """Passes events to the policy in batches and applies its decisions, in one greenlet.

    The network side and the signal handlers report events by the public methods under "Events from the network side".
    Their effects are carried out at once; the events that they cause for the policy are queued for the next batch.
    Independently of the policy, a check every `overdue_check_ms` fails overdue requests and ends lost runs. Times are
    Unix milliseconds.
    """

    def __init__(self, settings: api.Settings, seed: int, limits: ResourceLimits, counters: Counters) -> None:
        self.settings = settings
        self.limits = limits
        self.counters = counters
        self.policy = Policy(settings, seed)
        self.engines: dict[str, ExecutionEngine] = {}  # by target; the empty name is the execution engine
        self.gauges: GaugeSource | None = None
        self.close_idle: Callable[[float], None] = lambda after_ms: None
        # Called right before a start is sent; where a fleet has limits, their check replaces this one.
        self.confirm_start: Callable[[str], bool] = confirm_every_start
        self.advertised_value = 1.0  # the load advertisement that the fronts send with every answer
        self.policy_healthy = True
        self.admin = AdminCommands()  # commands of operators on the management address, such as PAUSE
        self.process = ProcessLifecycle(
            limits.stop_ms,
            settings.drain_grace_ms,
            limits.overdue_check_ms,
            limits.flush_timeout_ms,
            limits.close_linger_ms,
        )
        self.tracker = _create_tracker(settings, limits, self.process)
        self._inbox: list[api.Event | Exchange] = []  # events for the policy, queued for the next batch
        self._executor = EffectExecutor(len(settings.classes), self.engines, self.process, counters, self._post)
        self._execute = self._executor.execute_all
        self._lost_run_search = LostRunSearch(self.tracker, limits.lost_run_ms, settings.gauges)
        self._ticks = TickSchedule(unix_ms(), limits.gauge_lead_ms)
        self._next_overdue_check_at = 0.0  # when `_close_stuck_requests` is due
        self._ready = Event()
        self._stopping = False

    @property
    def dependency(self) -> Dependency | None:
        """The dependency that runs call, if there is one."""
        return self._executor.dependency

    @dependency.setter
    def dependency(self, dependency: Dependency | None) -> None:
        self._executor.dependency = dependency

    @property
    def healthy(self) -> bool:
        """Whether the fronts answer health checks as healthy."""
        return self.admin.is_healthy(self.policy_healthy)

    @property
    def draining(self) -> bool:
        """Whether the process has begun a graceful shutdown or a hand-over."""
        return self.process.draining

    def metrics_snapshot(self, names: Sequence[str]) -> MetricsSnapshot:
        """Return the current counts for the management address; `names` are the names of the request classes."""
        return MetricsSnapshot(
            names,
            [list(counts) for counts in self._executor.answer_counts],
            list(self._executor.engine_run_counts),
            self.tracker.unanswered,
        )

    def counter_report(self) -> dict[str, int]:
        """Return all counters, including those of invalid transitions (`impossible.MACHINE.STATE.EVENT`)."""
        return {**self.counters.report(), **report_invalid_transitions(TABLES)}

    # Events from the network side.

    def submit(self, exchange: Exchange) -> bool:
        """Accept a complete request. Returns False, with no effect, if its id is in use."""
        has_memory = self.tracker.has_memory_for(exchange)
        effects = self.tracker.submit(exchange, unix_ms())
        if effects is None:
            return False
        if not has_memory:
            self.counters.add(f"in.no_memory.{exchange.front}")
        self.counters.add(f"in.request.{exchange.front}")
        if exchange.state != STATE_HELD:
            self.counters.add(f"in.repeat.{exchange.front}")
        self._execute(effects)
        return True

    def caller_gone(self, exchange: Exchange) -> None:
        """Handle the disconnection of the client, or its cancellation of this request."""
        if exchange.state in AWAITING_ANSWER:
            self.counters.add(f"answer.gone.{exchange.front}")
        self._execute(self.tracker.caller_gone(exchange))

    def run_ended(self, request_id: str, outcome: RunOutcome, elapsed_ms: float, answer: Answer | None = None) -> None:
        """Handle the end of a run; `answer` is its result or failure, and None means a failure without details."""
        self._execute(self.tracker.run_ended(request_id, outcome, elapsed_ms, answer, unix_ms()))

    def start_refused(self, request_id: str) -> None:
        """Handle a start that was not sent because `confirm_start` rejected it; a retry may still run."""
        self.counters.add("run.refused_late")
        fleet = self.policy.fleet
        is_last = fleet is not None and not fleet.may_retry()
        self.run_ended(request_id, RunOutcome.MOOT, 0.0, self.tracker.rejection(is_last))

    def call_needed(self, request_id: str, body: bytes) -> None:
        """Handle a run that waits for a dependency call with this body."""
        self._execute(self.tracker.call_needed(request_id, body))

    def call_ended(self, request_id: str, outcome: RunOutcome, elapsed_ms: float, reply: bytes = b"") -> None:
        """Handle the end of a dependency call."""
        self.counters.add(f"store.{outcome.value.replace(' ', '_')}")
        self._execute(self.tracker.call_ended(request_id, outcome, elapsed_ms, reply))

    def import_key_outcome(self, key_id: KeyId, outcome: Answer, expires_at: float) -> None:
        """Handle a key that an earlier process has handed over."""
        self._execute(self.tracker.import_outcome(key_id, outcome, expires_at, unix_ms()))

    def end_wait_for_handover(self, keys_arrived: bool) -> None:
        """Handle the end of the wait for the keys of an earlier process, which have arrived or are lost."""
        self._execute(self.tracker.end_wait_for_handover(keys_arrived, unix_ms()))

    def drain(self, kill_in_ms: float = float("inf")) -> bool:
        """Begin a graceful shutdown; the process is killed `stop_ms` or `kill_in_ms` from now, whichever is earlier.

        Returns whether clients have to be notified.
        """
        actions = self.process.begin_graceful_shutdown(unix_ms(), kill_in_ms)
        if ProcessAction.TELL_POLICY in actions:
            self._post(api.Drain(self.process.answer_deadline(self.tracker.unanswered)))
        return ProcessAction.ASK_CLIENTS in actions

    def fail_unanswered(self) -> None:
        """Fail all requests that still await their answer, because the process ends now."""
        effects = self.tracker.fail_all(unix_ms())
        if effects:
            self.counters.add("answer.at_stop", sum(effect.action is ACTION_DELIVER for effect in effects))
            self._execute(effects)

    def _post(self, event: api.Event | Exchange) -> None:
        """Queue an event for the policy; an exchange stands for its arrival."""
        self._inbox.append(event)
        self._ready.set()

    # The greenlet.

    def run(self) -> None:
        """Process batches until `stop` is called."""
        while not self._stopping:
            self._process_batch()
            if self._inbox:
                gevent.sleep(0)  # lets the other greenlets run, even while events arrive without a pause
            else:
                self._ready.wait(max(0.0, self._next_batch_at() - unix_ms()) / 1000.0)
            self._ready.clear()

    def stop(self) -> None:
        """End `run` after the current batch."""
        self._stopping = True
        self._ready.set()

    def _next_batch_at(self) -> float:
        """Return when the next batch is due if no event arrives before."""
        return min(self._next_overdue_check_at, self._ticks.next_due_at())

    def _process_batch(self) -> None:
        """Pass the queued events and the ticks that are due to the policy, and apply its decisions."""
        now = unix_ms()
        self.counters.add("core.turn")
        if self._ticks.begin_gauge_request(now) and self.gauges:
            self.gauges.request_gauges()
        inbox = self._inbox
        self._inbox = []
        events = [
            self._arrival(item, now) if isinstance(item, Exchange) else item
            for item in inbox
            if not (isinstance(item, Exchange) and item.state != STATE_HELD)
        ]
        tokens = self._ticks.take_due(now)
        if tokens:
            self.counters.add("core.tick", len(tokens))
            gauges = self._latest_gauges(now)
            events.extend(api.Tick(token, gauges) for token in tokens)
        if events:
            for action in self._decide(now, events):
                self._apply(action, now)
            if self._ticks.is_empty:  # the policy must get another tick, even if an exception lost its request for one
                self._ticks.add(now + self.limits.overdue_check_ms, 0)
        if now >= self._next_overdue_check_at:
            self._next_overdue_check_at = now + self.limits.overdue_check_ms
            self._close_stuck_requests(now)

    def _latest_gauges(self, now: float) -> list[float]:
        return self.gauges.latest(now) if self.gauges else []

    def _decide(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Return the decisions of the policy.

        If it raises an exception, there are none, and `_close_stuck_requests` fails the requests at their due times.
        """
        try:
            return self.policy.handle(now, events)
        except Exception:  # no exception of the policy may end the coordinator, which still has requests to answer
            self.counters.add("core.fault")
            log.exception("policy failed; its batch of events has no decisions", events=len(events))
            return []

    def _arrival(self, exchange: Exchange, now: float) -> api.Arrival:
        """Return the event that reports this attempt to the policy, with the time since its arrival."""
        return api.Arrival(
            exchange.id,
            exchange.class_index,
            exchange.memory_kb,
            max(0.0, now - exchange.arrived_at),
            sender=exchange.sender,
            rank=exchange.rank,
            is_retry=exchange.is_retry,
        )

    def _apply(self, action: api.Action, now: float) -> None:
        """Apply one decision of the policy about a request."""
        match action:
            case api.Run(request_id):
                self._execute(self.tracker.start(request_id, now))
            case api.Reject(request_id, retry_after_ms, last):
                answer = Answer(AnswerKind.REFUSED, retry_after_ms=retry_after_ms, last=last)
                self._execute(self.tracker.reject(request_id, answer, now))
            case api.Fail(request_id):
                self._execute(self.tracker.fail(request_id, now))
            case api.Call(request_id, limit_ms):
                self._execute(self.tracker.start_call(request_id, limit_ms))
            case api.KeepKey() | api.ForgetKey():
                pass  # nothing to do: the tracker links the attempts of a key without the policy
            case _:
                self._apply_to_server(action, now)

    def _apply_to_server(self, action: api.Action, now: float) -> None:
        """Apply one decision of the policy that concerns no single request."""
        match action:
            case api.Advertise(value):
                self.advertised_value = value
            case api.SetHealth(good, _):
                self.policy_healthy = good
            case api.CloseIdle(after_ms):
                self.close_idle(after_ms)
            case api.Wake(after_ms, token):
                self._ticks.add(now + after_ms, token)
            case api.Log(text):
                log.info("policy", text=text)
            case _:  # `Stop`, `ReuseResult` and `SkipCall`: no setting that `config` reads leads to these actions
                log.error("unsupported action of the policy", action=repr(action))

    def _close_stuck_requests(self, now: float) -> None:
        """End lost runs and fail overdue requests, so that no fault elsewhere leaves a request open."""
        for exchange in self._lost_run_search.find_lost(now, self._latest_gauges(now)):
            self.counters.add("run.lost")
            self.run_ended(exchange.id, RunOutcome.ERROR, 0.0)
        effects = self.tracker.fail_overdue(now)
        if effects:
            self.counters.add("answer.overdue", sum(effect.action is ACTION_DELIVER for effect in effects))
            self._execute(effects)


def _create_tracker(settings: api.Settings, limits: ResourceLimits, process: ProcessLifecycle) -> RequestTracker:
    """Return a tracker with the settings of the policy and the limits of this process."""
    tracker_settings = RequestTrackerSettings(
        [request_class.client_timeout_ms for request_class in settings.classes],
        [request_class.effect is not api.Effect.SAFE for request_class in settings.classes],
        limits.overdue_grace_ms,
        settings.max_retry_after_ms or DEFAULT_RETRY_AFTER_MS,
        limits.max_request_bytes,
    )
    keys = IdempotencyKeyTable(
        limits.max_idempotency_keys,
        limits.idempotency_key_ms,
        limits.max_waiting_repeats,
        limits.max_result_bytes,
        limits.max_awaited_keys,
    )
    return RequestTracker(tracker_settings, keys, process)
