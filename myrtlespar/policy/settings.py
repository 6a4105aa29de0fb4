"""What a server is told when it starts: the classes of requests, its capacity and the rules that it keeps.

Times are in milliseconds and memory is in kilobytes. Classes and tenants are positions in the lists.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


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
