"""The state of one server that its decisions depend on: queues, accounts and estimates."""

from __future__ import annotations

from dataclasses import dataclass

from myrtlespar.policy.action_list import ActionList
from myrtlespar.policy.concurrency_limit import ConcurrencyLimit
from myrtlespar.policy.cost_estimates import CostEstimates
from myrtlespar.policy.delayed_rejection import DelayedRejection
from myrtlespar.policy.drain_deadline import DrainDeadline
from myrtlespar.policy.fault_detection import PROBE_INTERVAL_MS, FaultDetection
from myrtlespar.policy.idempotency_keys import IdempotencyKeys
from myrtlespar.policy.idle_connections import IdleConnections
from myrtlespar.policy.memory_account import MemoryAccount
from myrtlespar.policy.policy_clock import PolicyClock
from myrtlespar.policy.priority_queues import PriorityQueues
from myrtlespar.policy.request_table import RequestTable
from myrtlespar.policy.server_capacity import ServerCapacity
from myrtlespar.policy.settings import Settings
from myrtlespar.policy.tenant_quotas import TenantQuotas

REFERENCE_OBJECTIVE_MS = 1100.0  # a shorter tightest latency objective scales call backoff and probe intervals down
MIN_INTERVAL_SCALE = 0.01  # keeps intervals above 0 even for a latency objective of 0


@dataclass(slots=True, frozen=True)
class ServerState:
    """The components that count and estimate, shared by those that decide (`Admission`, `Scheduler`, ...).

    Each component owns its values.

    Attributes:
        cores: Cores of this server, at least one.
        interval_scale: Factor from 0 to 1 of call backoff and probe intervals, for short latency objectives.
    """

    settings: Settings
    cores: int
    interval_scale: float
    clock: PolicyClock
    actions: ActionList
    memory: MemoryAccount
    table: RequestTable
    keys: IdempotencyKeys
    quotas: TenantQuotas
    drain: DrainDeadline
    costs: CostEstimates
    queues: PriorityQueues
    overload: DelayedRejection
    capacity: ServerCapacity
    concurrency: ConcurrencyLimit
    faults: FaultDetection
    connections: IdleConnections

    @property
    def probe_interval_ms(self) -> float:
        """Interval of trial requests in ms while runs or calls to the dependency fail."""
        return PROBE_INTERVAL_MS * self.interval_scale


def new_server_state(settings: Settings) -> ServerState:
    """Return the initial state of a server."""
    cores = max(1, settings.cores)
    tightest_ms = min(request_class.latency_objective_ms for request_class in settings.classes)
    interval_scale = max(MIN_INTERVAL_SCALE, min(1.0, tightest_ms / REFERENCE_OBJECTIVE_MS))
    clock = PolicyClock(settings.answer_slack_ms)
    actions = ActionList(clock)
    memory = MemoryAccount(settings.memory_kb)
    quotas = TenantQuotas(settings)
    drain = DrainDeadline(settings, clock)
    costs = CostEstimates(settings, drain)
    queues = PriorityQueues(len(settings.classes), cores, costs)
    capacity = ServerCapacity(cores, quotas.even_share_per_s, costs)
    concurrency = ConcurrencyLimit(settings, cores, clock, capacity)
    return ServerState(
        settings=settings,
        cores=cores,
        interval_scale=interval_scale,
        clock=clock,
        actions=actions,
        memory=memory,
        table=RequestTable(settings.run_memory_factor, memory),
        keys=IdempotencyKeys(settings.key_kb, clock, actions, memory),
        quotas=quotas,
        drain=drain,
        costs=costs,
        queues=queues,
        overload=DelayedRejection(clock, actions, costs, queues),
        capacity=capacity,
        concurrency=concurrency,
        faults=FaultDetection(clock, actions, costs, concurrency, PROBE_INTERVAL_MS * interval_scale),
        connections=IdleConnections(settings, actions, min(costs.objectives_ms)),
    )
