"""The desk: all tries of one server life, their keys and the process; each event becomes effects for the core."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.policy.messages import RunOutcome
from myrtlespar.state_machines.attempts import (
    ATTEMPT_TABLE,
    LAST_OUTWARD,
    OWED,
    STARTED,
    AttemptAction,
    AttemptEvent,
    AttemptState,
)
from myrtlespar.state_machines.idempotency_keys import IdempotencyKeyTable, KeyAction, KeyId
from myrtlespar.state_machines.process import ProcessLifecycle

# Bound once: looking a member up in its class costs as much as a step of a table.
DO_DELIVER, DO_DELIVER_FAILED, DO_FREE_KEY, DO_LEAVE = (
    AttemptAction.DELIVER,
    AttemptAction.DELIVER_FAILED,
    AttemptAction.FREE_KEY,
    AttemptAction.LEAVE,
)
DO_PASS_ON, DO_REMEMBER, DO_UNFOLLOW, DO_WITHDRAW = (
    AttemptAction.PASS_ON,
    AttemptAction.REMEMBER,
    AttemptAction.UNFOLLOW,
    AttemptAction.WITHDRAW,
)
ON_ADMIT, ON_BAR, ON_CALL, ON_CALL_BAD = AttemptEvent.ADMIT, AttemptEvent.BAR, AttemptEvent.CALL, AttemptEvent.CALL_BAD
ON_CALL_NEEDED, ON_CALL_OK, ON_ENDED, ON_FAIL = (
    AttemptEvent.CALL_NEEDED,
    AttemptEvent.CALL_OK,
    AttemptEvent.ENDED,
    AttemptEvent.FAIL,
)
ON_FOLLOW, ON_GONE, ON_KNOWN, ON_NEVER_RAN = (
    AttemptEvent.FOLLOW,
    AttemptEvent.GONE,
    AttemptEvent.KNOWN,
    AttemptEvent.NEVER_RAN,
)
ON_OVERDUE, ON_PROMOTE, ON_REFUSE, ON_SHARE = (
    AttemptEvent.OVERDUE,
    AttemptEvent.PROMOTE,
    AttemptEvent.REFUSE,
    AttemptEvent.SHARE,
)
ON_START = AttemptEvent.START
THEN_FOLLOW, THEN_OWN, THEN_TURN_AWAY = KeyAction.FOLLOW, KeyAction.OWN, KeyAction.TURN_AWAY
TRY_READ, TRY_FOLLOWING, TRY_RUNNING_UNWANTED = AttemptState.READ, AttemptState.FOLLOWING, AttemptState.RUNNING_UNWANTED
TRY_AT_CALL_UNWANTED = AttemptState.AT_CALL_UNWANTED
ON_CORES = (AttemptState.RUNNING, AttemptState.RUNNING_UNWANTED)

FAILED = Answer(AnswerKind.FAILED)
LATE = Answer(AnswerKind.FAILED, late=True)
NEVER_RAN = Answer(AnswerKind.FAILED, headers=())  # told apart from others by identity: the kernel began nothing


class RequestEffect(NamedTuple):
    """One thing for the core to carry out. What a kind does not need is left at its default."""

    action: AttemptAction
    exchange: Exchange
    answer: Answer | None = None
    outcome: RunOutcome = RunOutcome.OK
    duration_ms: float = 0.0  # elapsed, or the limit of a call
    body: bytes = b""


class EventDetails(NamedTuple):
    """What comes along with an event."""

    answer: Answer | None = None
    outcome: RunOutcome = RunOutcome.OK
    duration_ms: float = 0.0
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class RequestTerms:
    """What the desk needs to know of classes and settings; times in milliseconds."""

    client_timeout_ms: Sequence[float]  # by class: due so long after the arrival
    effectful: Sequence[bool]  # by class: must not run twice
    overdue_ms: float  # past its due time a try is failed, whatever else was decided
    retry_after_ms: float  # told when there is no room for a key, or a start comes too late


NOTHING = EventDetails()
_tuple = tuple.__new__  # the same as Effect(...) or Note(...), without the time for defaults


class RequestTracker:
    """Every public method takes one event and returns the effects, in order. Unknown ids are passed over: they
    belong to tries that are over, or to an earlier life of the server.
    """

    def __init__(self, terms: RequestTerms, keys: IdempotencyKeyTable, process: ProcessLifecycle) -> None:
        self.settings, self.keys, self.process = terms, keys, process
        self.requests: dict[str, Exchange] = {}  # by id, until answered and no longer running
        self.unanswered = 0  # tries without their final answer

    def find(self, id: str) -> Exchange | None:
        """A try that is not over."""
        return self.requests.get(id)

    def is_wanted(self, id: str) -> bool:
        """Whether somebody still waits for this try."""
        exchange = self.requests.get(id)
        return exchange is not None and exchange.state in OWED

    # What happened.

    def submit(self, exchange: Exchange) -> list[RequestEffect] | None:
        """A request was read whole. None: its id is in use, nothing was taken."""
        if exchange.id in self.requests:
            return None
        exchange.due_at = exchange.arrived_at + self.settings.client_timeout_ms[exchange.class_index]
        exchange.state = TRY_READ
        self.requests[exchange.id] = exchange
        self.unanswered += 1
        if not exchange.key or not self.settings.effectful[exchange.class_index]:
            return self._step(exchange, ON_ADMIT)
        then, outcome = self.keys.register(exchange)
        if then is THEN_OWN:
            return self._step(exchange, ON_ADMIT)
        if then is THEN_FOLLOW:
            return self._step(exchange, ON_FOLLOW)
        if then is THEN_TURN_AWAY:
            outcome = self._refusal()
        return self._step(exchange, ON_KNOWN, EventDetails(outcome or FAILED))

    def caller_gone(self, exchange: Exchange) -> list[RequestEffect]:
        """Nobody waits for this try any longer."""
        return self._step(exchange, ON_GONE) if self.requests.get(exchange.id) is exchange else []

    def call_needed(self, id: str, body: bytes) -> list[RequestEffect]:
        """A run waits for a call."""
        exchange = self.requests.get(id)
        if exchange is None:
            return []
        exchange.call_body = body
        return self._step(exchange, ON_CALL_NEEDED)

    def call_ended(self, id: str, outcome: RunOutcome, elapsed_ms: float, reply: bytes = b"") -> list[RequestEffect]:
        """A call came back."""
        exchange = self.requests.get(id)
        if exchange is None:
            return []
        event = ON_CALL_OK if outcome is RunOutcome.OK else ON_CALL_BAD
        return self._step(exchange, event, _tuple(EventDetails, (None, outcome, elapsed_ms, reply)))

    def run_ended(
        self, id: str, outcome: RunOutcome, elapsed_ms: float, answer: Answer | None, now: float
    ) -> list[RequestEffect]:
        """A run is over; a refusal or NEVER_RAN as its answer proves that it never began."""
        exchange = self.requests.get(id)
        if exchange is None or exchange.state not in STARTED:
            return []
        final = answer or FAILED
        event = ON_NEVER_RAN if final.kind is AnswerKind.REFUSED or final is NEVER_RAN else ON_ENDED
        return self._step(exchange, event, _tuple(EventDetails, (final, outcome, elapsed_ms, b"")), now)

    def fail_overdue(self, now: float) -> list[RequestEffect]:
        """Guards against anything that leaves a try open: a lost run, a policy that forgot it."""
        out: list[RequestEffect] = []
        end = self.process.answer_deadline(self.unanswered)
        for exchange in list(self.requests.values()):
            if exchange.state in OWED:
                slack = 0.0 if exchange.state == TRY_FOLLOWING else self.settings.overdue_ms
                if now >= min(exchange.due_at + slack, end) and exchange.state in OWED:
                    out += self._step(exchange, ON_OVERDUE, EventDetails(LATE), now)
        self.keys.expire(now)
        return out

    def runs_on_cores(self) -> tuple[int, list[Exchange]]:
        """How many runs are on the kernel's cores, and those of them that nobody waits for, the oldest first."""
        running = [
            exchange for exchange in self.requests.values() if exchange.state in ON_CORES and not exchange.target
        ]
        return len(running), [exchange for exchange in running if exchange.state == TRY_RUNNING_UNWANTED]

    def abandoned_runs_at_calls(self) -> list[Exchange]:
        """Runs at a call that nobody waits for. The kernel ends them by itself and says so."""
        return [
            exchange
            for exchange in self.requests.values()
            if exchange.state == TRY_AT_CALL_UNWANTED and not exchange.target
        ]

    def fail_all(self, now: float) -> list[RequestEffect]:
        """The process ends: fail every try that is owed its answer."""
        out: list[RequestEffect] = []
        for exchange in list(self.requests.values()):
            if exchange.state in OWED:  # one that follows another may have been answered with it
                out += self._step(exchange, ON_OVERDUE, EventDetails(LATE), now)
        return out

    def keys_to_hand_over(self, now: float) -> list[tuple[KeyId, Answer, float]]:
        """Keys for a process that takes over, with their outcomes and when they lapse. A run that nobody waits for
        goes on in the kernel without us: its key stands for a failure, as nothing can be promised of it.
        """
        running = [
            ((exchange.class_index, exchange.key), FAILED, now + self.keys.key_ms)
            for exchange in self.requests.values()
            if exchange.key and exchange.state in STARTED and self.keys.owns(exchange)
        ]
        return self.keys.known_outcomes() + running

    # What the policy decided.

    def start(self, id: str, now: float) -> list[RequestEffect]:
        """Run it, unless it came too long after the notice to leave."""
        exchange = self.requests.get(id)
        if exchange is None:
            return []
        if not self.process.may_start(exchange.arrived_at):
            return self._step(exchange, ON_BAR, EventDetails(self._refusal(), RunOutcome.MOOT), now)
        return self._step(exchange, ON_START)

    def reject(self, id: str, answer: Answer, now: float) -> list[RequestEffect]:
        """Turn it away. What has started fails instead."""
        exchange = self.requests.get(id)
        return [] if exchange is None else self._step(exchange, ON_REFUSE, EventDetails(answer), now)

    def fail(self, id: str, now: float) -> list[RequestEffect]:
        """Give it up."""
        exchange = self.requests.get(id)
        return [] if exchange is None else self._step(exchange, ON_FAIL, EventDetails(LATE), now)

    def start_call(self, id: str, limit_ms: float) -> list[RequestEffect]:
        """Make the call that it waits for."""
        exchange = self.requests.get(id)
        return [] if exchange is None else self._step(exchange, ON_CALL, EventDetails(duration_ms=limit_ms))

    # How a step is carried out.

    def _refusal(self) -> Answer:
        return Answer(AnswerKind.REFUSED, retry_after_ms=self.settings.retry_after_ms)

    def _step(
        self, exchange: Exchange, event: AttemptEvent, note: EventDetails = NOTHING, now: float = 0.0
    ) -> list[RequestEffect]:
        row = ATTEMPT_TABLE.step(exchange.state, event, exchange.id)
        exchange.state = row.next_state
        out: list[RequestEffect] = []
        for do in row.effects:
            if do is DO_DELIVER:
                self.unanswered -= 1
                out.append(_tuple(RequestEffect, (do, exchange, note.answer, note.outcome, 0.0, b"")))
            elif do <= LAST_OUTWARD:
                out.append(
                    _tuple(RequestEffect, (do, exchange, note.answer, note.outcome, note.duration_ms, note.body))
                )
            else:
                self._inward(do, exchange, note, now, out)
        return out

    def _inward(
        self, do: AttemptAction, exchange: Exchange, note: EventDetails, now: float, out: list[RequestEffect]
    ) -> None:
        if do is DO_LEAVE:
            del self.requests[exchange.id]
        elif do is DO_WITHDRAW:
            self.unanswered -= 1
        elif do is DO_DELIVER_FAILED:
            self.unanswered -= 1
            out.append(RequestEffect(DO_DELIVER, exchange, FAILED))
        elif not exchange.key:
            return
        elif do is DO_REMEMBER or do is DO_FREE_KEY:
            answer = note.answer or FAILED
            for one in self.keys.record_outcome(exchange, answer, do is DO_REMEMBER, now):
                out += self._step(one, ON_SHARE, EventDetails(answer), now)
        elif do is DO_PASS_ON or do is DO_UNFOLLOW:
            heir = self.keys.remove_attempt(exchange)
            if heir is not None:
                out += self._step(heir, ON_PROMOTE)
