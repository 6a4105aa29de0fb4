"""The interface of the overload controller: the events that it takes and the actions that it answers with.

Times are in milliseconds and moments on the clock of whoever calls `Policy.handle`; memory is in kilobytes; classes and
tenants are positions in the settings. The types of the settings and the fleet's port are exported here too, so that
callers import from one place.
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

    REJECTED, UNREACHABLE and MOOT mean that it never ran; after ERROR, TIMED_OUT, CUT_OFF or STOPPED it may or may not
    have had effects.
    """

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    CUT_OFF = "cut off"
    STOPPED = "stopped"
    MOOT = "moot"


@dataclass(slots=True)
class Arrival:
    """A request was read; from now on an answer is owed.

    Attributes:
        class_index: Position of its class in the settings.
        waited_ms: How long it waited before it was read.
        deadline: When its caller stops waiting, on the policy's clock; 0 if the caller did not say.
        tenant: Position of its tenant in the settings.
        sender: The caller that sent it.
        rank: Its rank as the caller gave it; no decision rests on it.
        prior: Id of the request of the same idempotency key that was read before; empty if there is none.
        is_retry: Marked as a retry by its caller.
        cost_hint_ms: The caller's guess of its cost; 0 if there is none.
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
    """A run has ended, or a repeat has got its answer after `ReuseResult`."""

    id: str
    outcome: RunOutcome
    elapsed_ms: float = 0.0


@dataclass(slots=True)
class CallNeeded:
    """A run has left its core, and waits until its call to the dependency is made or skipped."""

    id: str


@dataclass(slots=True)
class CallEnded:
    """A call has ended; after any outcome but OK the run waits for another `Call`, `SkipCall` or `Fail`."""

    id: str
    outcome: RunOutcome
    elapsed_ms: float = 0.0


@dataclass(slots=True)
class CallerGone:
    """The caller of this request does not wait for its answer any longer."""

    id: str


@dataclass(slots=True)
class Drain:
    """The notice to drain: this server's process is killed at `kill_at`."""

    kill_at: float


@dataclass(slots=True)
class Tick:
    """A timer asked for by `Wake` came due, with the server's gauges in the order of the settings."""

    token: int
    gauges: list[float] = field(default_factory=list)


Event = Arrival | RunEnded | CallNeeded | CallEnded | CallerGone | Drain | Tick


@dataclass(slots=True)
class Run:
    """Start a waiting request."""

    id: str


@dataclass(slots=True)
class Reject:
    """Final answer: the request is rejected, and never ran here.

    Attributes:
        retry_after_ms: When a retry may find capacity; 0 gives no advice.
        last: The caller shall not retry on another server.
    """

    id: str
    retry_after_ms: float = 0.0
    last: bool = False


@dataclass(slots=True)
class Fail:
    """Final answer: an error; the request may or may not have had an effect."""

    id: str


@dataclass(slots=True)
class Stop:
    """Take a run that has its final answer off its core; its end follows as `RunEnded`."""

    id: str


@dataclass(slots=True)
class ReuseResult:
    """Answer a repeat with the result of the request of the same idempotency key, now or when that ends."""

    id: str


@dataclass(slots=True)
class KeepKey:
    """Remember a request's idempotency key for `for_ms` from now on."""

    id: str
    for_ms: float


@dataclass(slots=True)
class ForgetKey:
    """Drop a remembered idempotency key early, as its request never ran."""

    id: str


@dataclass(slots=True)
class Call:
    """Make the call that a run waits for, and wait `limit_ms` for its result."""

    id: str
    limit_ms: float


@dataclass(slots=True)
class SkipCall:
    """Let a run go on without its call, with a degraded result."""

    id: str


@dataclass(slots=True)
class Advertise:
    """Set the load value that is sent with every later answer; `Settings.signal` says what it means."""

    value: float


@dataclass(slots=True)
class SetHealth:
    """Set what health checks answer from now on.

    Attributes:
        good: Whether the server reports itself healthy.
        is_cached: Health checks are answered from this value, without a check of the dependency.
    """

    good: bool
    is_cached: bool


@dataclass(slots=True)
class CloseIdle:
    """Close connections that were idle for `after_ms`; 0 leaves closing them to the callers."""

    after_ms: float


@dataclass(slots=True)
class Wake:
    """Ask for a `Tick` with this token in `after_ms`."""

    after_ms: float
    token: int


@dataclass(slots=True)
class Log:
    """A line for the on-call staff."""

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
