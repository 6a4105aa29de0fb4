"""The request tracker: all attempts of one server process, and their idempotency keys.

Each event becomes a list of effects for the request coordinator, in the order in which they apply.
"""

from __future__ import annotations

from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.policy.messages import RunOutcome
from myrtlespar.state_machines.attempts import (
    ATTEMPT_TABLE,
    AWAITING_ANSWER,
    LAST_COORDINATOR_ACTION,
    STARTED,
    AttemptAction,
    AttemptEvent,
    AttemptState,
)
from myrtlespar.state_machines.idempotency_keys import IdempotencyKeyTable, KeyAction, KeyId, KnownOutcome
from myrtlespar.state_machines.process import ProcessLifecycle
from myrtlespar.state_machines.request_effects import (
    FAILED,
    LATE,
    NEVER_RAN,
    NO_DETAILS,
    EventDetails,
    RequestEffect,
    RequestTrackerSettings,
)
from myrtlespar.state_machines.started_ids import StartedIds

# Bound once at import: looking up an enum member in its class costs as much as a transition.
ACTION_DELIVER = AttemptAction.DELIVER
ACTION_DELIVER_FAILED = AttemptAction.DELIVER_FAILED
ACTION_FREE_KEY = AttemptAction.FREE_KEY
ACTION_LEAVE = AttemptAction.LEAVE
ACTION_PASS_ON = AttemptAction.PASS_ON
ACTION_REMEMBER = AttemptAction.REMEMBER
ACTION_UNFOLLOW = AttemptAction.UNFOLLOW
ACTION_WITHDRAW = AttemptAction.WITHDRAW
EVENT_ADMIT = AttemptEvent.ADMIT
EVENT_BAR = AttemptEvent.BAR
EVENT_CALL = AttemptEvent.CALL
EVENT_CALL_BAD = AttemptEvent.CALL_BAD
EVENT_CALL_NEEDED = AttemptEvent.CALL_NEEDED
EVENT_CALL_OK = AttemptEvent.CALL_OK
EVENT_ENDED = AttemptEvent.ENDED
EVENT_FAIL = AttemptEvent.FAIL
EVENT_FOLLOW = AttemptEvent.FOLLOW
EVENT_GONE = AttemptEvent.GONE
EVENT_KNOWN = AttemptEvent.KNOWN
EVENT_NEVER_RAN = AttemptEvent.NEVER_RAN
EVENT_OVERDUE = AttemptEvent.OVERDUE
EVENT_PROMOTE = AttemptEvent.PROMOTE
EVENT_REFUSE = AttemptEvent.REFUSE
EVENT_SHARE = AttemptEvent.SHARE
EVENT_START = AttemptEvent.START
KEY_FOLLOW = KeyAction.FOLLOW
KEY_OWN = KeyAction.OWN
KEY_TURN_AWAY = KeyAction.TURN_AWAY
STATE_AT_CALL_UNWANTED = AttemptState.AT_CALL_UNWANTED
STATE_FOLLOWING = AttemptState.FOLLOWING
STATE_HELD = AttemptState.HELD
STATE_READ = AttemptState.READ
STATE_RUNNING_UNWANTED = AttemptState.RUNNING_UNWANTED
STATES_ON_CORES = (AttemptState.RUNNING, AttemptState.RUNNING_UNWANTED)
MAX_STARTED_IDS = 4096
STARTED_ID_TIMEOUTS = 2  # for how many of the longest client timeouts a started id is remembered
_new_tuple = tuple.__new__  # faster than the constructor of a named tuple, which fills in defaults


class RequestTracker:
    """Owns every attempt until it is answered and no longer running.

    Every public method takes one event and returns its effects in order. Unknown ids are ignored: they belong to
    attempts that are over, or to an earlier process of this server. Times are Unix milliseconds.
    """

    def __init__(self, settings: RequestTrackerSettings, keys: IdempotencyKeyTable, process: ProcessLifecycle) -> None:
        self.settings = settings
        self.keys = keys
        self.process = process
        self.requests: dict[str, Exchange] = {}  # by request id
        self.unanswered = 0  # attempts that await their final answer
        self.started_ids = StartedIds(MAX_STARTED_IDS, STARTED_ID_TIMEOUTS * max(settings.client_timeout_ms))
        self.request_bytes = 0  # about the memory that the attempts in `requests` take in this process

    def find(self, request_id: str) -> Exchange | None:
        """Return the attempt with this id, or None if it is over."""
        return self.requests.get(request_id)

    def is_wanted(self, request_id: str) -> bool:
        """Return whether a client still waits for this attempt."""
        exchange = self.requests.get(request_id)
        return exchange is not None and exchange.state in AWAITING_ANSWER

    def has_memory_for(self, exchange: Exchange) -> bool:
        """Return whether one more attempt fits the memory for open requests."""
        return self.request_bytes + exchange.memory_bytes() <= self.settings.max_request_bytes

    # Events from the network side.

    def submit(self, exchange: Exchange, now: float = 0.0) -> list[RequestEffect] | None:
        """Accept a complete request, or reject it if there is no memory for it.

        A repeat that may have run fails instead. `now` may be left out if the attempt has just arrived; the client says
        when it arrived. Returns None, with no effect, if the id is in use.
        """
        if exchange.id in self.requests:
            return None
        exchange.due_at = exchange.arrived_at + self.settings.client_timeout_ms[exchange.class_index]
        exchange.state = STATE_READ
        has_memory = self.has_memory_for(exchange)
        self.requests[exchange.id] = exchange
        self.request_bytes += exchange.memory_bytes()
        self.unanswered += 1
        if not has_memory:
            answer = FAILED if exchange.key and exchange.may_have_run else self.rejection()
            return self._step(exchange, EVENT_KNOWN, EventDetails(answer))
        if not self.settings.effectful[exchange.class_index]:
            return self._step(exchange, EVENT_ADMIT)
        # A client whose connection ended may send the same attempt again, without a mark.
        has_started = self.started_ids.contains(exchange.id, max(now, exchange.arrived_at))
        if not exchange.key:
            if has_started:
                return self._step(exchange, EVENT_KNOWN, EventDetails(FAILED))
            return self._step(exchange, EVENT_ADMIT)
        exchange.may_have_run = exchange.may_have_run or has_started
        key_action, outcome = self.keys.register(exchange)
        if key_action is KEY_OWN:
            return self._step(exchange, EVENT_ADMIT)
        if key_action is KEY_FOLLOW:
            return self._step(exchange, EVENT_FOLLOW)
        if key_action is KEY_TURN_AWAY:
            outcome = self.rejection()
        return self._step(exchange, EVENT_KNOWN, EventDetails(outcome or FAILED))

    def caller_gone(self, exchange: Exchange) -> list[RequestEffect]:
        """Handle the disconnection of the client, or its cancellation of this attempt."""
        return self._step(exchange, EVENT_GONE) if self.requests.get(exchange.id) is exchange else []

    def call_needed(self, request_id: str, body: bytes) -> list[RequestEffect]:
        """Handle a run that waits for a dependency call with this body."""
        exchange = self.requests.get(request_id)
        if exchange is None:
            return []
        exchange.call_body = body
        return self._step(exchange, EVENT_CALL_NEEDED)

    def call_ended(
        self, request_id: str, outcome: RunOutcome, elapsed_ms: float, reply: bytes = b""
    ) -> list[RequestEffect]:
        """Handle the end of a dependency call."""
        exchange = self.requests.get(request_id)
        if exchange is None:
            return []
        event = EVENT_CALL_OK if outcome is RunOutcome.OK else EVENT_CALL_BAD
        return self._step(exchange, event, _new_tuple(EventDetails, (None, outcome, elapsed_ms, reply)))

    def run_ended(
        self, request_id: str, outcome: RunOutcome, elapsed_ms: float, answer: Answer | None, now: float
    ) -> list[RequestEffect]:
        """Handle the end of a run. An answer that is a rejection or NEVER_RAN proves that the run never began."""
        exchange = self.requests.get(request_id)
        if exchange is None or exchange.state not in STARTED:
            return []
        final = answer or FAILED
        event = EVENT_NEVER_RAN if final.kind is AnswerKind.REFUSED or final is NEVER_RAN else EVENT_ENDED
        return self._step(exchange, event, _new_tuple(EventDetails, (final, outcome, elapsed_ms, b"")), now)

    def fail_overdue(self, now: float) -> list[RequestEffect]:
        """Fail every attempt that is past its due time, and remove expired keys.

        This prevents an attempt from staying open for ever after a lost run or a fault of the policy. An attempt fails
        `overdue_ms` late, as the policy may still fail it before; a follower, which the policy doesn't know, fails at
        once.
        """
        effects: list[RequestEffect] = []
        deadline = self.process.answer_deadline(self.unanswered)
        for exchange in list(self.requests.values()):
            if exchange.state in AWAITING_ANSWER:
                slack = 0.0 if exchange.state == STATE_FOLLOWING else self.settings.overdue_ms
                if now >= min(exchange.due_at + slack, deadline) and exchange.state in AWAITING_ANSWER:
                    effects += self._step(exchange, EVENT_OVERDUE, EventDetails(LATE), now)
        self.keys.expire(now)
        return effects

    def runs_on_cores(self) -> tuple[int, list[Exchange]]:
        """Return how many runs use a core of the execution engine, and those that no client waits for, oldest first."""
        running = [
            exchange for exchange in self.requests.values() if exchange.state in STATES_ON_CORES and not exchange.target
        ]
        return len(running), [exchange for exchange in running if exchange.state == STATE_RUNNING_UNWANTED]

    def abandoned_runs_at_calls(self) -> list[Exchange]:
        """Return the runs of the execution engine that wait at a dependency call and whose answer no client waits for.

        The engine usually ends them by itself and reports that.
        """
        return [
            exchange
            for exchange in self.requests.values()
            if exchange.state == STATE_AT_CALL_UNWANTED and not exchange.target
        ]

    def fail_all(self, now: float) -> list[RequestEffect]:
        """Fail every attempt that still awaits its answer, because the process ends."""
        effects: list[RequestEffect] = []
        for exchange in list(self.requests.values()):
            if exchange.state in AWAITING_ANSWER:  # false for a follower that was answered with its owner
                effects += self._step(exchange, EVENT_OVERDUE, EventDetails(LATE), now)
        return effects

    def keys_to_hand_over(self, now: float, position: int = 0) -> list[KnownOutcome]:
        """Return the keys for the process that takes over, each with its outcome and expiry time.

        The known outcomes before `position` are left out. A run that has not ended continues in the execution engine
        without this process. Its key gets a failure as its outcome, since the real outcome will not be known.
        """
        running = [
            (key_id, FAILED, now + self.keys.key_ms)
            for exchange in self.requests.values()
            if exchange.key and exchange.state in STARTED
            for key_id in self.keys.ids_of(exchange)
        ]
        return self.keys.known_outcomes(position) + running

    # The keys of an earlier process.

    def import_outcome(self, key_id: KeyId, outcome: Answer, expires_at: float, now: float) -> list[RequestEffect]:
        """Import a key of an earlier process, and answer the attempts that waited for its outcome."""
        effects: list[RequestEffect] = []
        for follower in self.keys.import_outcome(key_id, outcome, expires_at):
            effects += self._step(follower, EVENT_SHARE, EventDetails(outcome), now)
        return effects

    def end_wait_for_handover(self, keys_arrived: bool, now: float) -> list[RequestEffect]:
        """Accept new keys, and decide on the attempts that waited for the keys of an earlier process in vain.

        If the keys have arrived, these attempts never ran and are admitted; otherwise they fail.
        """
        effects: list[RequestEffect] = []
        if keys_arrived:
            for owner in self.keys.admit_awaited():
                effects += self._step(owner, EVENT_PROMOTE)
        else:
            for attempt in self.keys.drop_awaited():
                effects += self._step(attempt, EVENT_SHARE, EventDetails(FAILED), now)
        return effects

    # Decisions of the policy.

    def start(self, request_id: str, now: float) -> list[RequestEffect]:
        """Start the run, or reject the attempt if it arrived too late in a graceful shutdown."""
        exchange = self.requests.get(request_id)
        if exchange is None:
            return []
        if not self.process.may_start(exchange.arrived_at):
            return self._step(exchange, EVENT_BAR, EventDetails(self.rejection(), RunOutcome.MOOT), now)
        if exchange.state == STATE_HELD and self.settings.effectful[exchange.class_index]:
            self.started_ids.add(exchange.id, now)
        return self._step(exchange, EVENT_START)

    def reject(self, request_id: str, answer: Answer, now: float) -> list[RequestEffect]:
        """Reject the attempt with this answer. An attempt that has started fails instead."""
        exchange = self.requests.get(request_id)
        return [] if exchange is None else self._step(exchange, EVENT_REFUSE, EventDetails(answer), now)

    def fail(self, request_id: str, now: float) -> list[RequestEffect]:
        """Fail the attempt with the answer `LATE`."""
        exchange = self.requests.get(request_id)
        return [] if exchange is None else self._step(exchange, EVENT_FAIL, EventDetails(LATE), now)

    def start_call(self, request_id: str, limit_ms: float) -> list[RequestEffect]:
        """Make the dependency call that the run waits for, with a time limit in milliseconds."""
        exchange = self.requests.get(request_id)
        return [] if exchange is None else self._step(exchange, EVENT_CALL, EventDetails(duration_ms=limit_ms))

    def rejection(self, is_last: bool = False) -> Answer:
        """Return the rejection of an attempt that did not run here; unless `is_last`, it may be retried elsewhere."""
        return Answer(AnswerKind.REFUSED, retry_after_ms=self.settings.retry_after_ms, last=is_last)

    # Transitions.

    def _step(
        self, exchange: Exchange, event: AttemptEvent, details: EventDetails = NO_DETAILS, now: float = 0.0
    ) -> list[RequestEffect]:
        """Apply an event to an attempt, and return the resulting effects for the coordinator."""
        transition = ATTEMPT_TABLE.step(exchange.state, event, exchange.id)
        exchange.state = transition.next_state
        effects: list[RequestEffect] = []
        for action in transition.effects:
            if action is ACTION_DELIVER:
                self.unanswered -= 1
                effects.append(_new_tuple(RequestEffect, (action, exchange, details.answer, details.outcome, 0.0, b"")))
            elif action <= LAST_COORDINATOR_ACTION:
                effects.append(
                    _new_tuple(
                        RequestEffect,
                        (action, exchange, details.answer, details.outcome, details.duration_ms, details.body),
                    )
                )
            else:
                self._apply_internally(action, exchange, details, now, effects)
        return effects

    def _apply_internally(
        self,
        action: AttemptAction,
        exchange: Exchange,
        details: EventDetails,
        now: float,
        effects: list[RequestEffect],
    ) -> None:
        """Carry out an action of the tracker itself, and append the effects for the coordinator to `effects`."""
        if action is ACTION_LEAVE:
            del self.requests[exchange.id]
            self.request_bytes -= exchange.memory_bytes()
        elif action is ACTION_WITHDRAW:
            self.unanswered -= 1
        elif action is ACTION_DELIVER_FAILED:
            self.unanswered -= 1
            effects.append(RequestEffect(ACTION_DELIVER, exchange, FAILED))
        elif not exchange.key:
            return
        elif action is ACTION_REMEMBER or action is ACTION_FREE_KEY:
            answer = details.answer or FAILED
            for follower in self.keys.record_outcome(exchange, answer, action is ACTION_REMEMBER, now):
                effects += self._step(follower, EVENT_SHARE, EventDetails(answer), now)
        elif action is ACTION_PASS_ON or action is ACTION_UNFOLLOW:
            successor = self.keys.remove_attempt(exchange)
            if successor is not None:
                effects += self._step(successor, EVENT_PROMOTE)
