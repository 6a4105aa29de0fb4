"""A small driver for the policy: it carries out what the actions mean, without modelling speed."""

from __future__ import annotations

from typing import Any

from myrtlespar.policy import messages as api
from myrtlespar.policy.policy import Policy

SAFE = api.RequestClass(latency_objective_ms=2000, client_timeout_ms=6000, calls=True, degraded_weight=0.5)
COSTLY = api.RequestClass(latency_objective_ms=2000, client_timeout_ms=6000, priority_weight=0.2)
KEYED = api.RequestClass(
    latency_objective_ms=2000, client_timeout_ms=6000, effect=api.Effect.KEYED, window_ms=30000, calls=True
)
UNSAFE = api.RequestClass(latency_objective_ms=2000, client_timeout_ms=6000, effect=api.Effect.UNSAFE, calls=True)


def settings(**changes: Any) -> api.Settings:
    """Settings of a small server with one class of each kind."""
    given: dict[str, Any] = {
        "classes": [SAFE, COSTLY, KEYED, UNSAFE],
        "cores": 4,
        "memory_kb": 100000.0,
        "run_memory_factor": 4.0,
        "key_kb": 50.0,
        "fall_multiple": 5.0,
        "fall_ms": 2000.0,
        "answer_slack_ms": 100.0,
        "drain_grace_ms": 1000.0,
        "max_retry_after_ms": 1000.0,
        "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
    }
    given.update(changes)
    return api.Settings(**given)


class PolicyServer:
    """Feeds one policy and remembers every action."""

    def __init__(self, **changes: Any) -> None:
        self.policy = Policy(settings(**changes), 7)
        self.now = 0.0
        self.log: list[api.Action] = []
        self.at(0.0)

    def at(self, now: float, *events: api.Event) -> list[api.Action]:
        """Hand over a batch, and the ticks that came due before it."""
        while self.policy.next_wake > 0 and self.policy.next_wake < now:
            self._batch(self.policy.next_wake, [api.Tick(0, [1.0, 0.0, 0.0, 0.0])])
        return self._batch(now, list(events))

    def _batch(self, now: float, events: list[api.Event]) -> list[api.Action]:
        out = self.policy.handle(now, events)
        self.now = now
        self.log.extend(out)
        return out

    def arrive(self, now: float, id: str, cls: int = 0, **more: Any) -> list[api.Action]:
        """One arrival."""
        return self.at(now, api.Arrival(id, cls, more.pop("kb", 20.0), **more))

    def actions(self, kind: type, id: str = "") -> list[Any]:
        """All actions so far of one kind, of one request if named."""
        return [a for a in self.log if isinstance(a, kind) and (not id or getattr(a, "id", "") == id)]


def count_final_answers(log: list[api.Action], id: str) -> int:
    """Final answers other than a run's own result."""
    return sum(1 for a in log if isinstance(a, api.Reject | api.Fail) and a.id == id)


def overloaded_server(**changes: object) -> PolicyServer:
    """A server with all cores taken and the flag up."""
    server = PolicyServer(cores=2, **changes)
    for n in range(30):
        server.arrive(10, f"fill{n}", 0)
    assert server.policy.overload.is_overloaded
    return server
