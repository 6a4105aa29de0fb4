"""The interface of the overload controller: the events it is told and the actions it answers with.

Times are milliseconds on the caller's clock, memory is in kilobytes, classes and tenants are positions in
the settings. Nothing here decides anything. The types of the settings and the fleet's port are offered here
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
    """How a run or a call ended."""

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
    """A request was read and is held from now on; an answer is owed."""

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
    """A run, or an answer taken from another's result, is over."""

    id: str
    outcome: RunOutcome
    elapsed_ms: float = 0.0


@dataclass(slots=True)
class CallNeeded:
    """A run waits, off the cores, until its call is made or skipped."""

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
    """This server is stopped at `kill_at`."""

    kill_at: float


@dataclass(slots=True)
class Tick:
    """A timer came due, with the server's gauges in the order of the settings."""

    token: int
    gauges: list[float] = field(default_factory=list)


Event = Arrival | RunEnded | CallNeeded | CallEnded | CallerGone | Drain | Tick


@dataclass(slots=True)
class Run:
    """Start a held request."""

    id: str


@dataclass(slots=True)
class Reject:
    """Final answer: turned away, never ran."""

    id: str
    retry_after_ms: float = 0.0
    last: bool = False


@dataclass(slots=True)
class Fail:
    """Final answer: an error, which promises nothing about effects."""

    id: str


@dataclass(slots=True)
class Stop:
    """Take a run off its core; once it has its final answer, that ends it."""

    id: str


@dataclass(slots=True)
class Reuse:
    """Answer a repeat from the result of the try it repeats."""

    id: str


@dataclass(slots=True)
class Keep:
    """Remember a request's key for a time."""

    id: str
    for_ms: float


@dataclass(slots=True)
class Forget:
    """Drop a remembered key early."""

    id: str


@dataclass(slots=True)
class Call:
    """Make the call that a run waits for."""

    id: str
    limit_ms: float


@dataclass(slots=True)
class SkipCall:
    """Go on without the call, for part of the worth."""

    id: str


@dataclass(slots=True)
class Advertise:
    """Set the value that goes along with every later answer."""

    value: float


@dataclass(slots=True)
class SetHealth:
    """What health checks are told from now on."""

    good: bool
    from_store: bool


@dataclass(slots=True)
class CloseIdle:
    """Close connections that carried nothing for so long; 0 leaves it to the callers."""

    after_ms: float


@dataclass(slots=True)
class Wake:
    """Ask for a tick."""

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
