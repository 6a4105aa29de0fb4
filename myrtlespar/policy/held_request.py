"""One request that this server has read, and the states it goes through."""

from __future__ import annotations

import enum
import math

from myrtlespar.policy.messages import Arrival


class RequestState(enum.Enum):
    """The states of a request from its arrival until its memory is free again."""

    NEW = "new"
    QUEUED = "queued"
    SET_ASIDE = "set aside"
    LATE = "late"  # past its latency objective; it runs when nothing else waits
    JOINED = "joined"  # has the idempotency key of another request, and gets that one's answer
    RUNNING = "running"
    WAITING_FOR_CALL = "waiting for call"  # off the cores, its call to the dependency is not made yet
    CALLING = "calling"
    ENDED = "ended"
    AWAITING_FLEET = "awaiting fleet"  # the limits of the fleet have no capacity for it yet


# Bound once: these are compared for each event.
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
    """One request that was read here, until its memory is free again. Moments are in ms on the policy's clock.

    Attributes:
        arrived: When it reached this server, before it was read.
        lane: The priority queue it belongs to: twice its class, plus one for work over its tenant's quota.
        answer_due: The hard deadline: an answer is sent by then.
        useful_until: When its latency objective, or its caller's learned timeout, ends: later answers are of no use.
        set_aside_until: When delayed rejection (timer T1) rejects it; 0 if it was not set aside.
        relative_cost: Its cost as a multiple of its class's mean, as predicted from its cost hint.
        core_clock_start: Value of `ConcurrencyLimit.core_clock_ms` when it last went on a core.
        core_ms: Core time that it has had so far.
        call_retry_at: When its call to the dependency may be made.
        call_attempts: Failed attempts at its present call.
        answered: No answer is owed any more; the run itself may go on.
        key_is_kept: Its idempotency key is remembered on account of this request.
        prior: Id of the first request with its idempotency key; empty if there is none.
        log_cost_hint: Natural logarithm of its cost hint in ms; NaN without a valid one.
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
