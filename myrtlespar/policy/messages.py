"""The interface of the decision module: its settings, events and actions.

Times are milliseconds on the caller's clock, memory is in kilobytes, classes and tenants are
positions in the settings. Nothing here decides anything.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Protocol


class Effect(enum.Enum):
    """Whether a request may run again."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Signal(enum.Enum):
    """What the advertised value means to callers."""

    NONE = "none"
    LEVEL = "level"
    CREDIT = "credit"
    WEIGHT = "weight"


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
class RequestClass:
    """One class of requests; `degraded_weight` is the part of its worth left without the call."""

    latency_objective_ms: float
    client_timeout_ms: float
    priority_weight: float = 1.0
    late_weight: float = 0.0
    effect: Effect = Effect.SAFE
    window_ms: float = 0.0
    calls: bool = False
    degraded_weight: float = 0.0


@dataclass(slots=True)
class Settings:
    """What a server is told when it starts."""

    classes: list[RequestClass]
    cores: int
    memory_kb: float
    tenant_quotas: list[float] = field(default_factory=list)
    over_quota_weight: float = 1.0
    servers: int = 1
    senders: int = 1
    tier: int = 0
    cold: bool = False
    cold_from: float = 1.0
    warm_up_ms: float = 0.0
    fall_multiple: float = 2.0
    fall_ms: float = 1000.0
    answer_slack_ms: float = 50.0
    drain_grace_ms: float = 0.0
    round_ms: float = 1.0
    run_memory_factor: float = 1.0
    key_kb: float = 0.0
    shared_dependency: bool = False
    calls_share: float = 0.0
    calls_over_ms: float = 1000.0
    linger_ms: float = 0.0
    passes_deadline: bool = False
    reports_cancellation: bool = False
    discovery_follows_health: bool = False
    deep_checks: bool = False
    signal: Signal = Signal.NONE
    can_stop: bool = False
    marks_retries: bool = False
    weight_by_work: bool = False
    heeded_ms: float = 1000.0
    caller_idle_ms: float = 15000.0
    max_retry_after_ms: float = 0.0
    gauges: list[str] = field(default_factory=list)


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


class FleetLimitsPort(Protocol):
    """What the policy is told of limits that hold for the whole fleet. Nothing here ever waits."""

    def admit(self, id: str, cls: int, sender: int) -> float:
        """0: there is room for this request, and it is taken. Otherwise in how many ms there may be."""

    def enqueue(self, id: str, order: float) -> None:
        """It is held until there is the room that it was just told of; the lowest order is first."""

    def take_ready(self) -> list[str]:
        """Held ones that may ask for room again now."""

    def next_ready_ms(self) -> float:
        """In how long the first held one may have room; infinity if that is not known."""

    def reject(self, id: str, after_ms: float) -> float:
        """It is refused for want of room: when its caller is to come back."""

    def release(self, id: str) -> None:
        """A run that was given room has ended, or one that was held will never ask again."""

    def admit_call(self, id: str, cls: int) -> bool:
        """Whether there is room for this run's call to the dependency; if so, it is taken."""

    def release_call(self, id: str, after_ms: float) -> None:
        """That call is over; the dependency may have it in hand for so long still."""

    def record_attempt(self, again: bool) -> bool:
        """A first try or a repeat was read. False: the fleet takes no more repeats now."""

    def may_retry(self) -> bool:
        """Whether a caller that is refused now may be left free to try again."""
