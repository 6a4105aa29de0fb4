"""A driver for tests of the policy, which passes events and ticks to it and records its actions."""

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
    """Return the settings of a small server with one class of each kind, with `changes` applied."""
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
    """Passes events to one policy and records every action.

    Attributes:
        now: Time of the latest batch, in ms.
        log: All actions so far, in order.
    """

    def __init__(self, **changes: Any) -> None:
        self.policy = Policy(settings(**changes), 7)
        self.now = 0.0
        self.log: list[api.Action] = []
        self.at(0.0)

    def at(self, now: float, *events: api.Event) -> list[api.Action]:
        """Pass the ticks due before `now`, then a batch of events, to the policy; return the actions of the batch."""
        while self.policy.next_wake > 0 and self.policy.next_wake < now:
            self._batch(self.policy.next_wake, [api.Tick(0, [1.0, 0.0, 0.0, 0.0])])
        return self._batch(now, list(events))

    def _batch(self, now: float, events: list[api.Event]) -> list[api.Action]:
        out = self.policy.handle(now, events)
        self.now = now
        self.log.extend(out)
        return out

    def arrive(self, now: float, id: str, class_index: int = 0, **more: Any) -> list[api.Action]:
        """Pass one arrival to the policy, with any other fields of `Arrival`."""
        return self.at(now, api.Arrival(id, class_index, more.pop("memory_kb", 20.0), **more))

    def actions(self, kind: type, id: str = "") -> list[Any]:
        """Return all actions so far of one type, only those of request `id` if it is given."""
        return [a for a in self.log if isinstance(a, kind) and (not id or getattr(a, "id", "") == id)]


def count_final_answers(log: list[api.Action], id: str) -> int:
    """Return the number of final answers of a request other than the result of its run."""
    return sum(1 for a in log if isinstance(a, api.Reject | api.Fail) and a.id == id)


def overloaded_server(**changes: object) -> PolicyServer:
    """Return a server with all cores busy and the overload flag raised."""
    server = PolicyServer(cores=2, **changes)
    for n in range(30):
        server.arrive(10, f"fill{n}", 0)
    assert server.policy.overload.is_overloaded
    return server
