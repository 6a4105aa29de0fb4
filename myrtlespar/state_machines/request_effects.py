"""The settings of the request tracker, the effects that it returns, and its fixed answers."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.policy.messages import RunOutcome
from myrtlespar.state_machines.attempts import AttemptAction

FAILED = Answer(AnswerKind.FAILED)
LATE = Answer(AnswerKind.FAILED, late=True)
NEVER_RAN = Answer(AnswerKind.FAILED, headers=())  # the execution engine did not begin the run; compared by identity


class RequestEffect(NamedTuple):
    """One effect for the request coordinator to carry out. Fields that an action does not use keep their default."""

    action: AttemptAction
    exchange: Exchange
    answer: Answer | None = None
    outcome: RunOutcome = RunOutcome.OK
    duration_ms: float = 0.0  # elapsed time, or the time limit of a call
    body: bytes = b""


class EventDetails(NamedTuple):
    """The values that come with an event. Fields that an event does not use keep their default."""

    answer: Answer | None = None
    outcome: RunOutcome = RunOutcome.OK
    duration_ms: float = 0.0  # elapsed time, or the time limit of a call
    body: bytes = b""


NO_DETAILS = EventDetails()


@dataclass(frozen=True, slots=True)
class RequestTrackerSettings:
    """The settings of the request tracker. Times in milliseconds."""

    client_timeout_ms: Sequence[float]  # by request class: time from the arrival to the due time
    effectful: Sequence[bool]  # by request class: whether a request must not run twice
    overdue_ms: float  # how long after its due time an attempt fails, whatever the policy decided
    retry_after_ms: float  # Retry-After when the key table is full or a start is too late
    max_request_bytes: float = math.inf  # memory of all open requests in this process
