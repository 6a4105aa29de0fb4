"""A request that this server has read, and its states."""

from __future__ import annotations

import enum
import math

from myrtlespar.policy.messages import Arrival


class RequestState(enum.Enum):
    """The states of a request from its arrival until its memory is freed."""

    NEW = "new"
    QUEUED = "queued"
    SET_ASIDE = "set aside"
    LATE = "late"  # past its latency objective; started only when no other request waits
    JOINED = "joined"  # a repeat that is answered with the result of the request with the same idempotency key
    RUNNING = "running"
    WAITING_FOR_CALL = "waiting for call"  # off the cores; its call to the dependency has not been made yet
    CALLING = "calling"
    ENDED = "ended"
    AWAITING_FLEET = "awaiting fleet"  # waits until the limits of the fleet have capacity for it


# Module constants, as an attribute look-up in the enum costs time and states are compared for each event.
QUEUED = RequestState.QUEUED
SET_ASIDE = RequestState.SET_ASIDE
LATE = RequestState.LATE
JOINED = RequestState.JOINED
RUNNING = RequestState.RUNNING
WAITING_FOR_CALL = RequestState.WAITING_FOR_CALL
CALLING = RequestState.CALLING
ENDED = RequestState.ENDED
AWAITING_FLEET = RequestState.AWAITING_FLEET
NEW = RequestState.NEW
STARTED_STATES = (RUNNING, WAITING_FOR_CALL, CALLING)
NEVER_STARTED_STATES = (QUEUED, SET_ASIDE, LATE, AWAITING_FLEET)


class HeldRequest:
    """A request from when it was read until its memory is freed. Times are in ms, on the policy's clock.

    Attributes:
        arrived: When the request reached this server, before it was read.
        lane: Index of its priority queue: twice the class index, plus one if it is over its tenant's quota.
        answer_due: The hard deadline, by which an answer is sent in any case.
        useful_until: End of its latency objective or of its caller's learned timeout: a later answer is of no use.
        set_aside_until: End of timer T1, when delayed rejection rejects the request; 0 if it was not set aside.
        relative_cost: Expected cost as a multiple of the mean of its class, predicted from its cost hint.
        core_clock_start: `ConcurrencyLimit.core_clock_ms` when its run last entered a core.
        core_ms: Core time that its run has used so far.
        call_retry_at: When its call to the dependency may be made.
        call_attempts: Failed attempts of its current call to the dependency.
        answered: No answer is due any more: one was sent or the caller is gone. The run itself may go on.
        key_is_kept: Its idempotency key is remembered because of this request.
        prior: Id of an earlier request with the same idempotency key; empty if there is none.
        log_cost_hint: Natural logarithm of its cost hint in ms; NaN without a valid hint.
    """

    __slots__ = (
        "answer_due",
        "answered",
        "arrived",
        "call_attempts",
        "call_retry_at",
        "class_index",
        "core_clock_start",
        "core_ms",
        "id",
        "is_over_quota",
        "is_retry",
        "key_is_kept",
        "lane",
        "log_cost_hint",
        "memory_kb",
        "prior",
        "relative_cost",
        "sender",
        "set_aside_until",
        "state",
        "tenant",
        "useful_until",
    )

    def __init__(self, event: Arrival, now: float) -> None:
        self.id = event.id
        self.class_index = event.class_index
        self.memory_kb = event.memory_kb
        self.sender = event.sender
        self.tenant = event.tenant
        self.prior = event.prior
        self.arrived = now - event.waited_ms
        self.lane = 0
        self.state = NEW
        self.call_attempts = 0
        self.is_over_quota = False
        self.answered = False
        self.key_is_kept = False
        self.is_retry = False
        self.useful_until = 0.0
        self.answer_due = 0.0
        self.set_aside_until = 0.0
        self.core_clock_start = 0.0
        self.core_ms = 0.0
        self.call_retry_at = 0.0
        self.relative_cost = 1.0
        hint = event.cost_hint_ms
        self.log_cost_hint = math.log(hint) if 0 < hint < math.inf else math.nan
