"""The settings of the policy of one server: request classes, capacity, and what callers and the platform support.

Times are in milliseconds and memory is in kilobytes. Classes and tenants are positions in the lists. The
keys of the settings file are other words: `settings_reader` has them.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class Effect(enum.Enum):
    """Whether a request may run again: always, under its idempotency key, or never."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class LoadSignal(enum.Enum):
    """What the advertised value means to callers."""

    NONE = "none"
    LEVEL = "level"
    CREDIT = "credit"
    WEIGHT = "weight"


@dataclass(slots=True)
class RequestClass:
    """One class of requests.

    Attributes:
        latency_objective_ms: Answers within this time are useful.
        client_timeout_ms: Callers wait this long, unless they pass a deadline.
        priority_weight: Value of an answer in time, compared with other classes.
        late_weight: Fraction of the weight left for an answer past the latency objective.
        effect: Whether a request may run again.
        window_ms: How long its idempotency keys are kept.
        calls: Whether its runs call the dependency.
        degraded_weight: Fraction of the weight left for a result without the call; 0 if a run cannot do without.
    """

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
    """What the policy of one server is given at its start; it never changes afterwards.

    Attributes:
        memory_kb: Memory for requests, runs and idempotency keys.
        tenant_quotas: Requests a second of each tenant, over all servers.
        over_quota_weight: Factor of the priority weight of work over its tenant's quota.
        senders: Callers that may send here.
        tier: 0 for the servers that clients call; above, servers that are called by other tiers.
        cold: The server may start cold: its speed then rises from the fraction `cold_from` to 1 within `warm_up_ms`.
        fall_multiple: Times the cores: the concurrency at which the server breaks down when warm.
        answer_slack_ms: How much later than due an answer may be.
        drain_grace_ms: Arrivals within this time after the notice to drain still run.
        run_memory_factor: Memory of a run as a multiple of its request's.
        key_kb: Memory of a remembered idempotency key.
        calls_share: Calls to the shared dependency that this server may have in flight on average; 0 for no limit.
        calls_over_ms: Time over which that average is taken.
        linger_ms: How long the dependency may keep an abandoned call.
        passes_deadline: Callers pass their deadline, and calls pass it on to the dependency.
        reports_cancellation: There is a `CallerGone` event for each caller that leaves.
        discovery_follows_health: Service discovery sends no callers to a server that reports bad health.
        can_stop: A run can be taken off its core.
        marks_retries: Callers mark their retries.
        weight_by_work: Weight counts for each ms of work and not for each request.
        signal: What the advertised value means to callers.
        caller_idle_ms: After this time callers close idle connections.
        max_retry_after_ms: The longest Retry-After; 0 gives none.
        gauges: Names of the gauges that come with each tick.

    `fall_ms`, `heeded_ms`, `deep_checks` and `reports_cancellation` are read and checked, but no decision uses them.
    """

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
    signal: LoadSignal = LoadSignal.NONE
    can_stop: bool = False
    marks_retries: bool = False
    weight_by_work: bool = False
    heeded_ms: float = 1000.0
    caller_idle_ms: float = 15000.0
    max_retry_after_ms: float = 0.0
    gauges: list[str] = field(default_factory=list)
