"""The policy under limits of the whole fleet: which requests and calls wait, and which are rejected."""

from __future__ import annotations

import pytest

from myrtlespar.policy.fleet_queue import FLEET_CAPACITY_TOKEN
from myrtlespar.policy.messages import (
    Action,
    Arrival,
    Call,
    CallEnded,
    CallerGone,
    CallNeeded,
    Reject,
    RequestClass,
    Run,
    RunEnded,
    RunOutcome,
    Settings,
    Tick,
)
from myrtlespar.policy.policy import Policy

LATENCY_OBJECTIVE_MS = 1000
CLIENT_TIMEOUT_MS = 3000


class FakeFleet:
    """Limits of a fleet with capacity for a number of requests now, and for more after some time.

    Attributes:
        capacity: Requests that are admitted now.
        after_ms: Time until there may be more capacity.
        call_capacity: Calls are admitted while it is above 0.
        offered_retries: Retries left in the retry budget.
        waiting: Order of each queued request, by id.
        rejected: Each rejected request with the Retry-After that the policy suggested.
        released: Ids of released requests, and texts `call ID AFTER_MS` for released calls.
    """

    def __init__(self, capacity: int, after_ms: float) -> None:
        self.capacity = capacity
        self.after_ms = after_ms
        self.call_capacity = 0
        self.offered_retries = 5
        self.waiting: dict[str, float] = {}
        self.rejected: list[tuple[str, float]] = []
        self.released: list[str] = []

    def admit(self, id: str, class_index: int, sender: int) -> float:
        self.capacity -= 1
        return 0.0 if self.capacity >= 0 else self.after_ms

    def enqueue(self, id: str, order: float) -> None:
        self.waiting[id] = order

    def take_ready(self) -> list[str]:
        ready = sorted(self.waiting, key=lambda id: self.waiting[id])[: max(0, self.capacity)]
        for id in ready:
            del self.waiting[id]
        return ready

    def next_ready_ms(self) -> float:
        return self.after_ms if self.waiting else float("inf")

    def reject(self, id: str, after_ms: float) -> float:
        self.rejected.append((id, after_ms))
        return 2 * after_ms

    def release(self, id: str) -> None:
        self.waiting.pop(id, None)
        self.released.append(id)

    def admit_call(self, id: str, class_index: int) -> bool:
        return self.call_capacity > 0

    def release_call(self, id: str, after_ms: float) -> None:
        self.released.append(f"call {id} {after_ms:.0f}")

    def record_attempt(self, is_retry: bool) -> bool:
        return not is_retry or self.offered_retries > 0

    def may_retry(self) -> bool:
        self.offered_retries -= 1
        return self.offered_retries >= 0


def policy_under(fleet: FakeFleet) -> Policy:
    request_class = RequestClass(
        latency_objective_ms=LATENCY_OBJECTIVE_MS, client_timeout_ms=CLIENT_TIMEOUT_MS, calls=True
    )
    settings = Settings([request_class], cores=8, memory_kb=4000, max_retry_after_ms=10_000, linger_ms=300)
    policy = Policy(settings, seed=1)
    policy.fleet = fleet
    return policy


def started(actions: list[Action]) -> list[str]:
    return [action.id for action in actions if isinstance(action, Run)]


def rejections(actions: list[Action]) -> list[Reject]:
    return [action for action in actions if isinstance(action, Reject)]


def calls(actions: list[Action]) -> list[Call]:
    return [action for action in actions if isinstance(action, Call)]


def test_requests_wait_for_fleet_capacity_in_time_and_others_are_rejected_at_once() -> None:
    fleet = FakeFleet(1, 200.0)
    policy = policy_under(fleet)
    actions = policy.handle(0.0, [Arrival(f"{n}", 0, 20.0) for n in range(3)])
    assert started(actions) == ["0"]
    assert set(fleet.waiting) == {"1", "2"}
    assert not rejections(actions)
    fleet.capacity = 1  # 200 ms later the fleet has capacity for one request
    actions = policy.handle(200.0, [Tick(FLEET_CAPACITY_TOKEN)])
    assert started(actions) == ["1"]
    assert set(fleet.waiting) == {"2"}
    policy.handle(210.0, [CallerGone("2")])
    assert not fleet.waiting
    assert "2" in fleet.released
    fleet.capacity = 0
    fleet.after_ms = 5000.0
    actions = policy.handle(220.0, [Arrival("4", 0, 20.0)])
    assert [(reject.id, reject.retry_after_ms) for reject in rejections(actions)] == [("4", 10_000.0)]
    fleet.after_ms = 300.0
    fleet.capacity = 0
    policy.handle(230.0, [Arrival("5", 0, 20.0)])
    assert set(fleet.waiting) == {"5"}
    actions = [action for at in range(250, 1300, 50) for action in policy.handle(float(at), [Tick(0)])]
    assert [reject.id for reject in rejections(actions)] == ["5"]
    assert not fleet.waiting
    assert fleet.rejected[-1][0] == "5"
    assert policy.memory.used_kb == pytest.approx(40.0)
    assert policy.memory.queued_kb == 0.0


def test_calls_wait_for_capacity_and_abandoned_ones_linger() -> None:
    fleet = FakeFleet(9, 1.0)
    policy = policy_under(fleet)
    policy.handle(0.0, [Arrival("a", 0, 20.0)])
    assert not calls(policy.handle(5.0, [CallNeeded("a")]))
    fleet.call_capacity = 1
    assert calls(policy.handle(10.0, [Tick(0)]))
    policy.handle(20.0, [CallEnded("a", RunOutcome.OK, 10.0)])
    assert fleet.released[-1] == "call a 0"
    policy.handle(30.0, [CallNeeded("a")])
    policy.handle(40.0, [RunEnded("a", RunOutcome.STOPPED, 40.0)])
    assert fleet.released[-2:] == ["a", "call a 300"]


def test_without_a_retry_budget_rejections_are_final_and_retries_are_rejected() -> None:
    fleet = FakeFleet(0, 5000.0)
    fleet.offered_retries = 2
    policy = policy_under(fleet)
    actions = policy.handle(0.0, [Arrival(f"{n}", 0, 20.0) for n in range(4)])
    assert [reject.last for reject in rejections(actions)] == [False, False, True, True]
    actions = policy.handle(1.0, [Arrival("again", 0, 20.0, is_retry=True)])
    assert [(reject.id, reject.last) for reject in rejections(actions)] == [("again", True)]
