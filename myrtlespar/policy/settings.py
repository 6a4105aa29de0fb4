"""The settings of the policy of one server: request classes, capacity, and what callers and the platform support.

Times are in milliseconds and memory is in kilobytes. Classes and tenants are identified by their index. The keys of the
settings file differ from these names; `settings_reader` maps them.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class Effect(enum.Enum):
    """Whether a request may run more than once: always, with an idempotency key, or never."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class LoadSignal(enum.Enum):
    """How callers interpret the advertised load value."""

    NONE = "none"
    LEVEL = "level"
    CREDIT = "credit"
    WEIGHT = "weight"


@dataclass(slots=True)
class RequestClass:
    """One class of requests.

    Attributes:
        latency_objective_ms: Time within which an answer is useful.
        client_timeout_ms: How long callers wait, unless they pass a deadline.
        priority_weight: Value of an answer within the latency objective, relative to other classes.
        late_weight: Fraction of the weight that remains for an answer after the latency objective.
        effect: Whether a request may run more than once.
        window_ms: How long its idempotency keys are remembered.
        calls: Whether its runs call the dependency.
        degraded_weight: Fraction of the weight that remains for a result without the call; 0 if the call is required.
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
    """The settings that the policy of one server gets at its start; they never change afterwards.

    Attributes:
        memory_kb: Memory for requests, runs and idempotency keys.
        tenant_quotas: Requests a second of each tenant, on all servers together.
        over_quota_weight: Factor of the priority weight of requests over their tenant's quota.
        senders: Number of callers that may send to this server.
        tier: 0 for servers that are called by clients; above 0 for servers that are called by other tiers.
        cold: The server may start cold: its speed rises from the fraction `cold_from` to 1 within `warm_up_ms`.
        fall_multiple: Concurrency at which a warm server breaks down, as a multiple of the cores.
        answer_slack_ms: How long after its deadline an answer still counts as in time.
        drain_grace_ms: Requests that arrive within this time after draining began still run.
        round_ms: Shortest time limit of a call; also added to the time for which keys are remembered and subtracted
            from `drain_grace_ms`.
        run_memory_factor: Memory of a run as a multiple of the memory of its request.
        key_kb: Memory of a remembered idempotency key.
        shared_dependency: All servers call the same dependency, so that `calls_share` limits the calls in flight.
        calls_share: Calls to the shared dependency that this server may have in flight on average; 0 for no limit.
        calls_over_ms: Averaging time of `calls_share`.
        linger_ms: How long the dependency may go on processing an abandoned call.
        passes_deadline: Callers pass their deadline, and calls pass it on to the dependency.
        reports_cancellation: The server reports each request that its caller abandons with a `CallerGone` event.
        discovery_follows_health: Service discovery sends no callers to a server that reports bad health.
        can_stop: Runs can be stopped.
        marks_retries: Callers mark their retries.
        weight_by_work: Priority weights are per ms of work, not per request.
        signal: How callers interpret the advertised load value.
        caller_idle_ms: Idle timeout after which callers close their connections.
        max_retry_after_ms: Upper bound of Retry-After; 0 for none.
        gauges: Names of the gauges in each `Tick`, in order.

    `fall_ms`, `heeded_ms`, `deep_checks` and `reports_cancellation` are read and validated, but not used in decisions.
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

    @property
    def longest_client_timeout_ms(self) -> float:
        """The longest time for which a caller waits for an answer."""
        return max(request_class.client_timeout_ms for request_class in self.classes)
