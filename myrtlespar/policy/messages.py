"""The interface of the overload controller: the events that it takes and the actions that it answers with.

Times are milliseconds on the caller's clock, memory is in kilobytes, classes and tenants are positions in
the settings. The types of the settings and the fleet's port are offered here
too, so that callers import from one place.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from myrtlespar.policy.fleet_port import FleetLimitsPort
from myrtlespar.policy.settings import Effect, RequestClass, Settings, Signal

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
    "Forget",
    "Keep",
    "Log",
    "Reject",
    "RequestClass",
    "Reuse",
    "Run",
    "RunEnded",
    "RunOutcome",
    "SetHealth",
    "Settings",
    "Signal",
    "SkipCall",
    "Stop",
    "Tick",
    "Wake",
]


class RunOutcome(enum.Enum):
    """How a run or a call ended.

    REJECTED, UNREACHABLE and MOOT mean that it never ran; ERROR, TIMED_OUT, CUT_OFF and STOPPED promise nothing.
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
    """A request was read and is held from now on; an answer is owed.

    Attributes:
        class_index: Position of its class in the settings.
        waited_ms: How long it waited before it was read.
        deadline: When its caller stops waiting, on the policy's clock; 0 if the caller did not say.
        tenant: Position of its tenant in the settings.
        sender: The caller that sent it.
        rank: Its rank as the caller gave it; not used.
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
    """A run, or an answer taken from another request's result, is over."""

    id: str
    outcome: RunOutcome
    elapsed_ms: float = 0.0


@dataclass(slots=True)
class CallNeeded:
    """A run waits, off the cores, until its call to the dependency is made or skipped."""

    id: str


@dataclass(slots=True)
class CallEnded:
    """A call came back; anything but OK leaves the run waiting at it."""

    id: str
    outcome: RunOutcome
    elapsed_ms: float = 0.0


@dataclass(slots=True)
class CallerGone:
    """Nobody waits for this request any longer."""

    id: str


@dataclass(slots=True)
class Drain:
    """This server drains: its process is killed at `kill_at`."""

    kill_at: float


@dataclass(slots=True)
class Tick:
    """A timer asked for by `Wake` came due, with the server's gauges in the order of the settings."""

    token: int
    gauges: list[float] = field(default_factory=list)


Event = Arrival | RunEnded | CallNeeded | CallEnded | CallerGone | Drain | Tick


@dataclass(slots=True)
class Run:
    """Start a held request."""

    id: str


@dataclass(slots=True)
class Reject:
    """Final answer: rejected, never ran.

    Attributes:
        retry_after_ms: When a retry may find capacity; 0 gives no advice.
        last: The caller shall not try another server.
    """

    id: str
    retry_after_ms: float = 0.0
    last: bool = False


@dataclass(slots=True)
class Fail:
    """Final answer: an error, which promises nothing about effects."""

    id: str


@dataclass(slots=True)
class Stop:
    """Take a run that has its final answer off its core; its end follows as `RunEnded`."""

    id: str


@dataclass(slots=True)
class Reuse:
    """Answer a repeat from the result of the request it repeats."""

    id: str


@dataclass(slots=True)
class Keep:
    """Remember a request's idempotency key for `for_ms`."""

    id: str
    for_ms: float


@dataclass(slots=True)
class Forget:
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
    """Set the value that goes along with every later answer."""

    value: float


@dataclass(slots=True)
class SetHealth:
    """Set what health checks answer from now on.

    Attributes:
        good: Whether the server reports itself healthy.
        is_cached: Answer from this value, without a check of the dependency.
    """

    good: bool
    is_cached: bool


@dataclass(slots=True)
class CloseIdle:
    """Close connections that carried nothing for `after_ms`; 0 leaves closing them to the callers."""

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
    | Reuse
    | Keep
    | Forget
    | Call
    | SkipCall
    | Advertise
    | SetHealth
    | CloseIdle
    | Wake
    | Log
)
