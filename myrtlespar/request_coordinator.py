"""The core: drives desk and policy, carries out what they say through narrow ports. It knows no wire."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import Protocol

import gevent
import structlog
from gevent.event import Event

from myrtlespar.admin.commands import AdminCommands, MetricsSnapshot
from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.policy import messages as api
from myrtlespar.policy.messages import RunOutcome
from myrtlespar.policy.policy import Policy
from myrtlespar.resource_limits import ResourceLimits
from myrtlespar.runtime.clock import unix_ms
from myrtlespar.runtime.counters import Counters
from myrtlespar.state_machines import TABLES
from myrtlespar.state_machines.attempts import OWED, AttemptAction, AttemptState
from myrtlespar.state_machines.idempotency_keys import IdempotencyKeyTable
from myrtlespar.state_machines.lost_runs import LostRunDetector
from myrtlespar.state_machines.process import ProcessAction, ProcessLifecycle
from myrtlespar.state_machines.request_tracker import RequestEffect, RequestTerms, RequestTracker
from myrtlespar.state_machines.transition_table import report_invalid_transitions as impossible

log = structlog.get_logger()
# Bound once: looking a member up in its class costs as much as a step of a table.
ENDS = {AnswerKind.SERVED: 0, AnswerKind.REFUSED: 1, AnswerKind.FAILED: 2}
DELIVER, START_RUN, MAKE_CALL, RESUME = (
    AttemptAction.DELIVER,
    AttemptAction.START_RUN,
    AttemptAction.MAKE_CALL,
    AttemptAction.RESUME,
)
TELL_ARRIVAL, TELL_GONE, TELL_ENDED = AttemptAction.TELL_ARRIVAL, AttemptAction.TELL_GONE, AttemptAction.TELL_ENDED
TELL_CALL_NEEDED, TELL_CALL_ENDED = AttemptAction.TELL_CALL_NEEDED, AttemptAction.TELL_CALL_ENDED
HELD = AttemptState.HELD
RUNNABLE = "runnable"  # the gauge of all that wants a core
ANSWER_LEARN = 1 / 16  # weight of the newest answer in what answers take: the time of one is noise
ANSWER_MOST_MS = 5.0  # of one; an answer takes under 0.3 ms of a whole core


class ExecutionEngine(Protocol):
    """What runs requests."""

    def run(self, exchange: Exchange) -> None:
        """Start it; the core hears of its end by `ended`."""

    def resume(self, exchange: Exchange, reply: bytes) -> None:
        """Hand a run the reply to the call it waits for."""


class Dependency(Protocol):
    """What runs call."""

    def call(self, id: str, limit_ms: float, body: bytes) -> None:
        """Make a call; the core hears of its end by `called`."""

    def drop(self, id: str) -> None:
        """Nobody needs this call any longer."""


class GaugeSource(Protocol):
    """Where the gauges for ticks come from."""

    def ask(self) -> None:
        """Ask for fresh ones."""

    def latest(self, now: float) -> list[float]:
        """The freshest there are, or none."""


class RequestCoordinator:
    """One greenlet that takes events in batches and acts on what the policy says."""

    def __init__(self, settings: api.Settings, seed: int, limits: ResourceLimits, counters: Counters) -> None:
        self.settings, self.limits, self.counters = settings, limits, counters
        self.policy = Policy(settings, seed)
        self.engines: dict[str, ExecutionEngine] = {}
        self.dependency: Dependency | None = None
        self.gauges: GaugeSource | None = None
        self.close_idle: Callable[[float], None] = lambda after_ms: None
        self.advertised_value = 1.0  # what is advertised with every answer
        self.policy_healthy = True
        self.admin = AdminCommands()  # the pause that operators ask for on the management address
        self.answer_counts = [
            [0, 0, 0] for _ in settings.classes
        ]  # per class: served, refused, failed, since the start
        self.engine_run_counts = [0 for _ in settings.classes]  # per class: runs handed to the kernel
        self.process = ProcessLifecycle(
            limits.stop_ms,
            settings.drain_grace_ms,
            limits.overdue_check_ms,
            limits.flush_timeout_ms,
            limits.close_linger_ms,
        )
        self.tracker = RequestTracker(
            RequestTerms(
                [kind.client_timeout_ms for kind in settings.classes],
                [kind.effect is not api.Effect.SAFE for kind in settings.classes],
                limits.overdue_grace_ms,
                settings.max_retry_after_ms or 1000.0,
            ),
            IdempotencyKeyTable(
                limits.max_idempotency_keys,
                limits.idempotency_key_ms,
                limits.max_waiting_repeats,
                limits.max_result_bytes,
            ),
            self.process,
        )
        self._lost_runs = LostRunDetector(limits.lost_run_ms)
        self._mail: list[api.Event | Exchange] = []
        self._ready = Event()
        self._wakes: list[tuple[float, int]] = [(unix_ms(), 0)]
        self._asked = False
        self._sweep_at = 0.0
        self._stop = False

    @property
    def healthy(self) -> bool:
        """What a health check is told."""
        return self.admin.is_healthy(self.policy_healthy)

    def metrics_snapshot(self, names: Sequence[str]) -> MetricsSnapshot:
        """The counts for the management address, taken now."""
        return MetricsSnapshot(
            names, [list(row) for row in self.answer_counts], list(self.engine_run_counts), self.tracker.unanswered
        )

    @property
    def draining(self) -> bool:
        """Whether the notice to leave has come."""
        return self.process.draining

    # What happened, told by the fronts and back ends.

    def submit(self, exchange: Exchange) -> bool:
        """A request was read whole. False: its id is in use, nothing was taken."""
        effects = self.tracker.submit(exchange)
        if effects is None:
            return False
        self.counters.add(f"in.request.{exchange.front}")
        if exchange.state != HELD:
            self.counters.add(f"in.repeat.{exchange.front}")
        self._carry(effects)
        return True

    def caller_gone(self, exchange: Exchange) -> None:
        """Nobody waits for this request any longer."""
        if exchange.state in OWED:
            self.counters.add(f"answer.gone.{exchange.front}")
        self._carry(self.tracker.caller_gone(exchange))

    def run_ended(self, id: str, outcome: RunOutcome, elapsed_ms: float, answer: Answer | None = None) -> None:
        """A run is over; `answer` is its result, or how it failed."""
        self._carry(self.tracker.run_ended(id, outcome, elapsed_ms, answer, unix_ms()))

    def call_needed(self, id: str, body: bytes) -> None:
        """A run waits for a call."""
        self._carry(self.tracker.call_needed(id, body))

    def call_ended(self, id: str, outcome: RunOutcome, elapsed_ms: float, reply: bytes = b"") -> None:
        """A call came back."""
        self.counters.add(f"store.{outcome.value.replace(' ', '_')}")
        self._carry(self.tracker.call_ended(id, outcome, elapsed_ms, reply))

    def drain(self) -> bool:
        """Notice to leave. Whether clients are to be told."""
        acts = self.process.drain_notice(unix_ms())
        if ProcessAction.TELL_POLICY in acts:
            self._post(api.Drain(self.process.answer_deadline(self.tracker.unanswered)))
        return ProcessAction.ASK_CLIENTS in acts

    def _post(self, event: api.Event | Exchange) -> None:
        self._mail.append(event)
        self._ready.set()

    # The greenlet.

    def run(self) -> None:
        """Take batches until told to stop."""
        while not self._stop:
            self._turn()
            if self._mail:
                gevent.sleep(0)  # guards against a stream of events that lets nothing else run
            else:
                self._ready.wait(max(0.0, self._next_turn() - unix_ms()) / 1000.0)
            self._ready.clear()

    def _next_turn(self) -> float:
        """When something is due if nothing happens. Guards against turns that come early and find nothing."""
        wake = min(at for at, _ in self._wakes)
        return min(self._sweep_at, wake, math.inf if self._asked else self._ask_at())

    def _ask_at(self) -> float:
        """When the gauges for the next tick are due; ticks with another token than 0 need none."""
        return min((at for at, token in self._wakes if not token), default=math.inf) - self.limits.gauge_lead_ms

    def stop(self) -> None:
        """End the greenlet after its present turn."""
        self._stop = True
        self._ready.set()

    def _turn(self) -> None:
        now = unix_ms()
        self.counters.add("core.turn")
        if not self._asked and now >= self._ask_at():
            self._asked = True
            if self.gauges:
                self.gauges.ask()
        mail, self._mail = self._mail, []
        events = [
            self._arrival(item, now) if isinstance(item, Exchange) else item
            for item in mail
            if not (isinstance(item, Exchange) and item.state != HELD)
        ]
        ticks = [wake for wake in self._wakes if wake[0] <= now]
        if ticks:
            self._wakes = [wake for wake in self._wakes if wake[0] > now]
            self._asked = self._asked and all(token for _, token in ticks)
            self.counters.add("core.tick", len(ticks))
            seen = self.gauges.latest(now) if self.gauges else []
            events.extend(api.Tick(token, seen) for _, token in ticks)
        if events:
            for action in self._decide(now, events):
                self._act(action, now)
            if not self._wakes:  # guards against housekeeping that ends for good with one lost tick
                self._wakes.append((now + self.limits.overdue_check_ms, 0))
        if now >= self._sweep_at:
            self._sweep_at = now + self.limits.overdue_check_ms
            self._sweep(now)

    def _decide(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Guards against a fault of the module: the sweep still answers what it leaves open."""
        try:
            return self.policy.handle(now, events)
        except Exception:
            self.counters.add("core.fault")
            log.exception("the module failed", events=len(events))
            return []

    def _arrival(self, exchange: Exchange, now: float) -> api.Arrival:
        return api.Arrival(
            exchange.id,
            exchange.class_index,
            exchange.memory_kb,
            max(0.0, now - exchange.arrived_at),
            sender=exchange.sender,
            rank=exchange.rank,
            is_retry=exchange.is_retry,
        )

    def _act(self, action: api.Action, now: float) -> None:
        match action:
            case api.Run(id):
                self._carry(self.tracker.start(id, now))
            case api.Reject(id, retry_after_ms, last):
                answer = Answer(AnswerKind.REFUSED, retry_after_ms=retry_after_ms, last=last)
                self._carry(self.tracker.reject(id, answer, now))
            case api.Fail(id):
                self._carry(self.tracker.fail(id, now))
            case api.Call(id, limit_ms):
                self._carry(self.tracker.start_call(id, limit_ms))
            case api.Advertise(value):
                self.advertised_value = value
            case api.SetHealth(good, _):
                self.policy_healthy = good
            case api.CloseIdle(after_ms):
                self.close_idle(after_ms)
            case api.Wake(after_ms, token):
                self._wakes.append((now + after_ms, token))
            case api.Log(text):
                log.info("policy", text=text)
            case api.Keep() | api.Forget():
                pass  # the desk links the tries of one key by itself, from the first one that is read
            case _:  # stops, joins and skipped calls: `config` reads no setting that leads to them
                log.error("action not served", action=repr(action))

    def _carry(self, effects: list[RequestEffect]) -> None:
        """Carry out what the desk says, in its order."""
        for effect in effects:
            try:
                self._carry_out(effect)
            except Exception:  # guards every other request, and the core itself, against a fault with this one
                if self.counters.rare("core.effect_fault"):
                    log.exception("effect failed", effect=effect.action.name, id=effect.exchange.id)

    def _carry_out(self, effect: RequestEffect) -> None:
        do, exchange, answer, outcome, ms, body = effect
        if do is DELIVER:
            assert answer is not None
            self.counters.add(f"answer.{answer.kind.value}.{exchange.front}")
            self.answer_counts[exchange.class_index][ENDS[answer.kind]] += 1
            began = unix_ms()
            exchange.deliver(exchange, answer)
            took = min(ANSWER_MOST_MS, unix_ms() - began)  # guards against a pause that falls into one of them
            self.process.average_answer_ms += ANSWER_LEARN * (took - self.process.average_answer_ms)
        elif do is TELL_ARRIVAL:
            self._post(exchange)
        elif do is START_RUN:
            self.counters.add("run.started")
            if not exchange.target:
                self.engine_run_counts[exchange.class_index] += 1
            self.engines[exchange.target].run(exchange)
        elif do is TELL_ENDED:
            self._post(api.RunEnded(exchange.id, outcome, ms))
        elif do is TELL_CALL_NEEDED:
            self._post(api.CallNeeded(exchange.id))
        elif do is TELL_CALL_ENDED:
            self._post(api.CallEnded(exchange.id, outcome, ms))
        elif do is RESUME:
            self.engines[exchange.target].resume(exchange, body)
        elif do is TELL_GONE:
            self._post(api.CallerGone(exchange.id))
        elif self.dependency is not None:
            if do is MAKE_CALL:
                self.counters.add("store.call")
                self.dependency.call(exchange.id, ms, exchange.call_body)
            else:
                self.dependency.drop(exchange.id)

    def _sweep(self, now: float) -> None:
        """Guards against anything that leaves a request open."""
        self._end_lost_runs(now)
        effects = self.tracker.fail_overdue(now)
        if effects:
            self.counters.add("answer.overdue", sum(effect.action is DELIVER for effect in effects))
            self._carry(effects)

    def _end_lost_runs(self, now: float) -> None:
        """Give back the places of runs that the kernel no longer has. Only of those that nobody waits for: what is
        owed an answer has its due time.
        """
        running, unwanted = self.tracker.runs_on_cores()
        lost = [
            x for x in self.tracker.abandoned_runs_at_calls() if now > 2 * x.due_at - x.arrived_at
        ]  # nothing tells but time
        if unwanted and RUNNABLE in self.settings.gauges:
            lost += unwanted[: self._lost_runs.count_lost(now, running, self._runnable(now))]
        elif unwanted:
            lost += [x for x in unwanted if now > 2 * x.due_at - x.arrived_at]
        for exchange in lost:
            self.counters.add("run.lost")
            self.run_ended(exchange.id, RunOutcome.ERROR, 0.0)

    def _runnable(self, now: float) -> float | None:
        """What wants a core, by the kernel's gauges; None if they do not tell."""
        if self.gauges is None:
            return None
        values, place = self.gauges.latest(now), self.settings.gauges.index(RUNNABLE)
        return values[place] if place < len(values) else None

    def fail_unanswered(self) -> None:
        """The process ends: fail all that is still owed an answer. Guards a stop that leaves no time for a drain."""
        effects = self.tracker.fail_all(unix_ms())
        if effects:
            self.counters.add("answer.at_stop", sum(effect.action is DELIVER for effect in effects))
            self._carry(effects)

    def counter_report(self) -> dict[str, int]:
        """All counts, those of impossible events included."""
        return {**self.counters.report(), **impossible(TABLES)}
