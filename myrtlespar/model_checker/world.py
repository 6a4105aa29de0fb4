"""The explored state: the server's state machines, wired as in the server, and models of their environment."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.model_checker.environment import POLICY_NOTIFICATIONS, EngineModel, PolicyModel, engine_line
from myrtlespar.model_checker.scenarios import Scenario
from myrtlespar.policy.messages import RunOutcome
from myrtlespar.state_machines import command_log, dependency_calls, engine_link
from myrtlespar.state_machines.attempts import AttemptAction, AttemptState
from myrtlespar.state_machines.client_connection import ConnectionAction, ConnectionEvent, ConnectionLifecycle
from myrtlespar.state_machines.idempotency_keys import IdempotencyKeyTable
from myrtlespar.state_machines.process import ProcessLifecycle, ProcessState
from myrtlespar.state_machines.request_effects import RequestEffect, RequestTrackerSettings
from myrtlespar.state_machines.request_tracker import RequestTracker

Event = tuple[Any, ...]  # the event's name and its arguments, in the form that saved counter-examples store
TICK_MS = 1000.0  # time that passes with each tick event
DUE_MS = 2000.0  # from the arrival of an attempt to its due time
OVERDUE_MS = 60.0  # slack after the due time, within which an answer still counts as in time
GRACE_MS = 1000.0  # after the drain notice, within which arriving attempts may still start
STOP_MS = 3000.0  # from the drain notice to SIGKILL
SWEEP_MS = 50.0  # between two checks for overdue requests
FLUSH_MS = 600.0  # reserved before SIGKILL for sending the last answers
CALL_MS = 900.0  # time limit of a call to the dependency
OUTCOMES = {"PASS": RunOutcome.OK, "FAIL": RunOutcome.ERROR, "KILLED": RunOutcome.STOPPED, "NOOP": RunOutcome.MOOT}
ATTEMPT_IDS = "abcdefgh"  # request ids, indexed by attempt
# Stages of a caller. They are plain numbers because states are stored with marshal.
UNSENT = 0
PARTLY_READ = 1
WAITING = 2
DONE = 3


def discard_answer(exchange: Exchange, answer: Answer) -> None:
    """Do nothing: the `deliver` callback of each exchange, as the world records answers itself."""


def has_no_unread_input(connection: dependency_calls.DependencyConnection) -> bool:
    """Return True: data arrives on a modelled connection only by an event, so nothing unexpected is ever waiting."""
    return True


TERMS = RequestTrackerSettings((DUE_MS, DUE_MS), (False, True), OVERDUE_MS, 500.0)


def call_limits(scenario: Scenario) -> dependency_calls.CallLimits:
    """Return the limits of dependency calls in this scenario."""
    return dependency_calls.CallLimits(
        scenario.dependency_connections, scenario.dependency_queue, 5000.0, scenario.remembered_requests, 60.0
    )


@dataclass(slots=True)
class Caller:
    """The client of one attempt.

    Attributes:
        stage: `UNSENT`, `PARTLY_READ`, `WAITING` or `DONE`.
        answers: The kinds of the answers that the caller received.
        gone: Whether the caller cancelled or lost its connection.
        incarnation: The incarnation of the server that the attempt was sent to.
        late: Whether the attempt was read after the grace period of the drain notice.
    """

    stage: int = UNSENT
    answers: list[str] = field(default_factory=list)
    gone: bool = False
    incarnation: int = 0
    late: bool = False


class World:
    """The server's state machines and the models of engine, policy, dependency and clients.

    `events.apply` applies one event to it.

    Attributes:
        now: Milliseconds since the exploration began.
        incarnation: The incarnation of the server: 1 at first, one more after each kill.
        known_engine: The incarnation of the engine that the server is connected to; -1 if it knows none.
        fault_counts: How often each kind of fault has happened.
        violations: The names of the rules that the newest event broke.
        concluded_at: The time at which the server first considered a run ended, by request id.
        pending: The number of the outstanding call, by request id, where the dependency's connections are not modelled.
        dependency_connections: The connections to the dependency that are open or being opened.
        duplicate_replies: Second copies of replies that are still to arrive, as (connection, request id, body).
        workers: The request ids of runs at AJP workers.
        stalled: Whether writes to the engine link fail until it breaks.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.now = 0.0
        self.incarnation = 1
        self.listening = True
        self.stopped = False
        self.engine = EngineModel()
        self.known_engine = -1
        self.callers = [Caller() for _ in scenario.attempts]
        self.fault_counts: dict[str, int] = {}
        self.violations: list[str] = []
        self.concluded_at: dict[str, float] = {}
        self.start()
        self._establish_link()

    def _establish_link(self) -> None:
        """Connect the first engine link before the exploration starts.

        Faults while connecting need not be explored here, as they can happen on every later link.
        """
        link = self.commands
        engine = self.engine
        self.apply_link_effects(link.connected())
        engine.read(False, False)
        self.known_engine = engine.lines_to_server.pop(0)[1]
        self.apply_link_effects(link.booted())
        engine.read(False, False)
        self.apply_link_effects(link.mark_received(engine.lines_to_server.pop(0)[1]) or [])

    def start(self) -> None:
        """Start a new incarnation of the server."""
        scenario = self.scenario
        self.policy = PolicyModel()
        self.tracker = RequestTracker(
            TERMS,
            IdempotencyKeyTable(scenario.max_keys, scenario.key_ms, scenario.max_followers, 64),
            ProcessLifecycle(STOP_MS, GRACE_MS, SWEEP_MS, FLUSH_MS, 0.0),
        )
        self.commands = command_log.CommandLog(self.tracker.is_wanted, 8)
        self.calls = dependency_calls.DependencyCalls(call_limits(scenario), has_no_unread_input)
        self.connections = [ConnectionLifecycle(ATTEMPT_IDS[n]) for n in range(len(scenario.attempts))]
        self.exchanges: list[Exchange | None] = [None for _ in scenario.attempts]
        self.pending: dict[str, int] = {}
        self.dependency_connections: list[dependency_calls.DependencyConnection] = []
        self.duplicate_replies: list[tuple[int, str, bytes]] = []
        self.workers: list[str] = []
        self.stalled = False

    def fault_allowed(self, kind: str, limit: int) -> bool:
        """Return whether this kind of fault has happened fewer than `limit` times."""
        return self.fault_counts.get(kind, 0) < limit

    def count_fault(self, kind: str) -> None:
        """Count one fault of this kind."""
        self.fault_counts[kind] = self.fault_counts.get(kind, 0) + 1

    def apply_effects(self, effects: list[RequestEffect]) -> None:
        """Carry out effects of the request tracker, as the request coordinator does."""
        for effect in effects:
            if effect.action is AttemptAction.DELIVER:
                assert effect.answer is not None
                self._deliver(effect.exchange, effect.answer)
            elif effect.action in POLICY_NOTIFICATIONS:
                self._notify_policy(effect)
            elif effect.action is AttemptAction.START_RUN:
                self._start_run(effect.exchange)
            elif effect.action is AttemptAction.MAKE_CALL:
                self._start_call(effect.exchange)
            elif effect.action is AttemptAction.DROP_CALL:
                self.pending.pop(effect.exchange.id, None)
                if self.scenario.models_dependency:
                    self.apply_call_effects(self.calls.cancel(effect.exchange.id))
            elif effect.action is AttemptAction.RESUME:
                command = command_log.Command(effect.exchange.id, effect.body, False)
                self.apply_link_effects(self.commands.send(command))

    def _notify_policy(self, effect: RequestEffect) -> None:
        id = effect.exchange.id
        if effect.action is AttemptAction.TELL_ARRIVAL:
            self.policy.arrival(id)
        elif effect.action is AttemptAction.TELL_CALL_NEEDED:
            self.policy.call_needed(id)
        elif effect.action is AttemptAction.TELL_CALL_ENDED:
            if effect.outcome is not RunOutcome.OK:
                self.policy.call_needed(id)
        else:
            self.policy.forget(id)

    def _start_run(self, exchange: Exchange) -> None:
        if exchange.target:
            self.workers.append(exchange.id)
        else:
            command = command_log.Command(exchange.id, b"", True, exchange.class_index == 0)
            self.apply_link_effects(self.commands.send(command))

    def _start_call(self, exchange: Exchange) -> None:
        if self.scenario.models_dependency:
            self.apply_call_effects(self.calls.start_call(exchange.id, CALL_MS, exchange.call_body, self.now))
        else:
            self.pending[exchange.id] = int(exchange.call_body)

    def _deliver(self, exchange: Exchange, answer: Answer) -> None:
        n = ATTEMPT_IDS.index(exchange.id)
        caller = self.callers[n]
        caller.answers.append(answer.kind.value)
        if caller.gone:
            self.violations.append("answer to nobody")
        if answer.kind is AnswerKind.SERVED and not self._comes_from_run(answer, n):
            self.violations.append("true answers")
        started_effect = self.scenario.attempts[n].effectful and self.engine.starts.get(exchange.id)
        if answer.kind is AnswerKind.REFUSED and started_effect:
            self.violations.append("no refusal after a start")
        self.handle_connection_event(n, self.event_of_answer(n))

    def _comes_from_run(self, answer: Answer, n: int) -> bool:
        """Return whether the answer comes from a run of this attempt, or of one with the same idempotency key."""
        key = self.scenario.attempts[n].key
        linked = [
            ATTEMPT_IDS[other]
            for other, attempt in enumerate(self.scenario.attempts)
            if other == n or (attempt.key and attempt.key == key)
        ]
        return any(id in self.engine.passed or answer.body == b"w" + id.encode() for id in linked)

    def connection_index(self, n: int) -> int:
        """Return the index of the connection that caller `n` uses."""
        link = self.scenario.attempts[n].link
        return n if link < 0 else link

    def waiting_on_same_connection(self, n: int) -> list[int]:
        """Return the indices of all callers on the connection of caller `n` that wait for an answer."""
        return [
            other
            for other, caller in enumerate(self.callers)
            if self.connection_index(other) == self.connection_index(n)
            and caller.stage == WAITING
            and not caller.answers
            and not caller.gone
        ]

    def event_of_answer(self, n: int) -> ConnectionEvent:
        """Return the connection event for the end of this caller's wait, by whether others wait on its connection."""
        return (
            ConnectionEvent.ANSWERED
            if any(other != n for other in self.waiting_on_same_connection(n))
            else ConnectionEvent.LAST_ANSWERED
        )

    def handle_connection_event(self, n: int, event: ConnectionEvent) -> None:
        """Apply an event to the connection of caller `n`, and carry out the resulting actions as a front does."""
        for action in self.connections[self.connection_index(n)].handle(event):
            if action is ConnectionAction.GONE:
                for other in self.waiting_on_same_connection(n):
                    exchange = self.exchanges[other]
                    self.callers[other].gone = True
                    if exchange is not None:
                        self.apply_effects(self.tracker.caller_gone(exchange))

    def apply_link_effects(self, effects: list[command_log.LinkEffect]) -> None:
        """Carry out effects of the engine link, as the engine client does."""
        for effect in effects:
            if isinstance(effect, command_log.EndRun):
                self.end_run(effect.request_id, RunOutcome.MOOT, None)
            elif isinstance(effect, command_log.CloseLink):
                self.cut_link()
            elif self.stalled:
                if isinstance(effect, command_log.WriteCommand):
                    self.commands.send_failed(effect.command)
            else:
                self.engine.lines_to_engine.append(engine_line(effect))

    def cut_link(self) -> None:
        """Break the link to the engine."""
        self.engine.break_link()
        self.stalled = False
        if self.commands.state != engine_link.LinkState.DOWN:
            self.commands.broken()

    def apply_call_effects(self, effects: list[dependency_calls.CallEffect]) -> None:
        """Carry out effects of the dependency calls, as the dependency client does."""
        for effect in effects:
            if isinstance(effect, dependency_calls.OpenConnection):
                self.dependency_connections.append(effect.connection)
            elif isinstance(effect, dependency_calls.EndCall):
                self.apply_effects(self.tracker.call_ended(effect.call.id, effect.outcome, 0.0, effect.reply))

    def end_run(self, rid: str, outcome: RunOutcome, answer: Answer | None) -> None:
        """Report to the request tracker that a run ended, by a notice or because the server concludes it."""
        self.concluded_at.setdefault(rid, self.now)
        self.apply_effects(self.tracker.run_ended(rid, outcome, 0.0, answer, self.now))

    def describe(self) -> str:
        """Return a one-line summary of the state, for printing counter-examples."""
        process = ProcessState(self.tracker.process.state).name
        link = engine_link.LinkState(self.commands.state).name
        attempts = " ".join(f"{x.id}={AttemptState(x.state).name}" for x in self.exchanges if x is not None)
        answers = " ".join(
            f"{ATTEMPT_IDS[n]}:{','.join(caller.answers)}" for n, caller in enumerate(self.callers) if caller.answers
        )
        starts = " ".join(f"{id}x{count}" for id, count in sorted(self.engine.starts.items()))
        return (
            f"{self.now / TICK_MS:.0f}s {process} link={link} {attempts}"
            f"{' answers ' + answers if answers else ''}{' starts ' + starts if starts else ''}"
        )
