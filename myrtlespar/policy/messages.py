"""The interface of the overload controller: its input events and its output actions.

Durations are in milliseconds, points in time are in milliseconds on the clock of the caller of `Policy.handle`, and
memory is in kilobytes. Classes and tenants are given by their index in the settings. The types of the settings and
`FleetLimitsPort` are re-exported here, so that callers import from one module.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from myrtlespar.policy.fleet_port import FleetLimitsPort
from myrtlespar.policy.settings import Effect, LoadSignal, RequestClass, Settings

__all__ = [
    "Action",
    "Advertise",
    "Arrival",
    "Call",
    "CallEnded",
    "CallNeeded",
    "CallerGone",
    "CloseIdle",
    "Drain",
    "Effect",
    "Event",
    "Fail",
    "FleetLimitsPort",
    "ForgetKey",
    "KeepKey",
    "LoadSignal",
    "Log",
    "Reject",
    "RequestClass",
    "ReuseResult",
    "Run",
    "RunEnded",
    "RunOutcome",
    "SetHealth",
    "Settings",
    "SkipCall",
    "Stop",
    "Tick",
    "Wake",
]


class RunOutcome(enum.Enum):
    """How a run or a call ended.

    After REJECTED, UNREACHABLE and MOOT the request certainly never ran; after ERROR, TIMED_OUT, CUT_OFF and STOPPED it
    may or may not have had effects.
    """

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    CUT_OFF = "cut off"  # the connection broke before the outcome was received
    STOPPED = "stopped"
    MOOT = "moot"  # dropped before it began


@dataclass(slots=True)
class Arrival:
    """A request was read; the policy must answer it exactly once.

    Attributes:
        class_index: Index of the request's class in the settings.
        waited_ms: Time from the arrival of the request at this server until it was read.
        deadline: When the caller stops waiting, on the policy's clock; 0 if the caller did not state a deadline.
        tenant: Index of the request's tenant in the settings.
        sender: Number that identifies the caller which sent the request.
        rank: Priority rank given by the caller; the policy does not use it.
        prior: Id of an earlier request with the same idempotency key; empty if there is none.
        is_retry: The caller marked the request as a retry.
        cost_hint_ms: The caller's estimate of the request's cost; 0 if there is none.
    """

    id: str
    class_index: int
    memory_kb: float
    waited_ms: float = 0.0
    deadline: float = 0.0
    tenant: int = 0
    sender: int = 0
    rank: float = 0.0
    prior: str = ""
    is_retry: bool = False
    cost_hint_ms: float = 0.0


@dataclass(slots=True)
class RunEnded:
    """A run has ended, or a repeat was answered after `ReuseResult`."""

    id: str
    outcome: RunOutcome
    elapsed_ms: float = 0.0


@dataclass(slots=True)
class CallNeeded:
    """A run has left its core and waits until its call to the dependency is made or skipped."""

    id: str


@dataclass(slots=True)
class CallEnded:
    """A call to the dependency has ended; after any outcome but OK the run waits for `Call`, `SkipCall` or `Fail`."""

    id: str
    outcome: RunOutcome
    elapsed_ms: float = 0.0


@dataclass(slots=True)
class CallerGone:
    """The caller of this request no longer waits for the answer."""

    id: str


@dataclass(slots=True)
class Drain:
    """The server must drain: its process will be killed at `kill_at`."""

    kill_at: float


@dataclass(slots=True)
class Tick:
    """A timer requested by `Wake` has expired; `gauges` are the server's gauges in the order of the settings."""

    token: int
    gauges: list[float] = field(default_factory=list)


Event = Arrival | RunEnded | CallNeeded | CallEnded | CallerGone | Drain | Tick


@dataclass(slots=True)
class Run:
    """Start the run of a waiting request."""

    id: str


@dataclass(slots=True)
class Reject:
    """Final answer: the request is rejected and never ran on this server.

    Attributes:
        retry_after_ms: Delay after which a retry may find capacity; 0 if no delay is advised.
        last: The caller must not retry on another server.
    """

    id: str
    retry_after_ms: float = 0.0
    last: bool = False


@dataclass(slots=True)
class Fail:
    """Final answer: an error; the request may or may not have had effects."""

    id: str


@dataclass(slots=True)
class Stop:
    """Stop a run whose request already has its final answer; `RunEnded` follows."""

    id: str


@dataclass(slots=True)
class ReuseResult:
    """Answer a repeat with the result of the request with the same idempotency key, waiting for it if need be."""

    id: str


@dataclass(slots=True)
class KeepKey:
    """Remember the idempotency key of a request for `for_ms` from now."""

    id: str
    for_ms: float


@dataclass(slots=True)
class ForgetKey:
    """Discard a remembered idempotency key before it expires, as its request never ran."""

    id: str


@dataclass(slots=True)
class Call:
    """Make the call to the dependency that a run waits for, with a timeout of `limit_ms`."""

    id: str
    limit_ms: float


@dataclass(slots=True)
class SkipCall:
    """Continue a run without its call to the dependency, with a degraded result."""

    id: str


@dataclass(slots=True)
class Advertise:
    """Set the load value that is sent with every later answer; `Settings.signal` defines its meaning."""

    value: float


@dataclass(slots=True)
class SetHealth:
    """Set the result of health checks from now on.

    Attributes:
        good: Whether the server reports itself healthy.
        is_cached: Health checks return this value without checking the dependency.
    """

    good: bool
    is_cached: bool


@dataclass(slots=True)
class CloseIdle:
    """Close connections after they were idle for `after_ms`; 0 leaves closing to the callers."""

    after_ms: float


@dataclass(slots=True)
class Wake:
    """Request a `Tick` with this token in `after_ms`."""

    after_ms: float
    token: int


@dataclass(slots=True)
class Log:
    """Write a log line for the operator."""

    text: str


Action = (
    Run
    | Reject
    | Fail
    | Stop
    | ReuseResult
    | KeepKey
    | ForgetKey
    | Call
    | SkipCall
    | Advertise
    | SetHealth
    | CloseIdle
    | Wake
    | Log
)
