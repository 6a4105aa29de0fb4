"""Requests that wait for room under fleet limits; the policy's part of it; pooled calls; the budget of repeats."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlespar.fleet.limits_driver import HELD_MOST, LimitsDriver
from myrtlespar.fleet.settings import read_fleet
from myrtlespar.policy.messages import (
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
from myrtlespar.policy.policy import FOR_ROOM, Policy
from myrtlespar.quota.admission_queue import AdmissionQueue
from myrtlespar.quota.limit_coordinator import LimitCoordinator
from myrtlespar.quota.retry_budget import RetryBudget, RetryBudgetSettings
from myrtlespar.quota.settings import GrantSettings, Limit, prefix
from myrtlespar.runtime.counters import Counters


def places(amount: int) -> AdmissionQueue:
    """The only member of a fleet, with all of a rate as its standing share."""
    agent = LimitCoordinator(
        ("a", 1),
        GrantSettings(),
        {"x": Limit(per_s=amount, standing=1.0), "y": Limit(per_s=2.0, standing=1.0)},
        frozenset(("a",)),
        0.0,
    )
    return AdmissionQueue(agent)


@given(st.lists(st.tuples(st.floats(0, 300), st.floats(0, 2000), st.booleans()), max_size=120), st.integers(1, 9))
def test_what_waits_is_let_in_by_its_order_and_never_over(rows: list[tuple[float, float, bool]], amount: int) -> None:
    held, now, starts, told = places(amount), 20_000.0, list[float](), dict[str, float]()
    for n, (gap, patience, gone) in enumerate(rows):
        now += gap
        for id in held.take_ready(now):  # whoever is ready has room, and none that still waits goes before it
            assert held.try_acquire(now, id, ("x",))[0] == ""
            assert all(told[id] <= told[other] for other in held.waiting)
            starts.append(now)
        key, room = held.try_acquire(now, f"{n}", ("x",))
        if not key:
            assert not held.waiting
            starts.append(now)
        elif room.after_ms <= patience:
            told[f"{n}"] = now + patience
            held.enqueue(f"{n}", told[f"{n}"], ("x",))
        elif gone and held.waiting:
            held.release(next(iter(held.waiting)))
        assert all(sum(at - 1000.0 < other <= at for other in starts) <= amount for at in starts)
    for id in list(held.waiting):
        held.release(id)
    assert not held.waiting
    assert held.next_ready_ms(now) == float("inf")
    assert not held.take_ready(now + 5000)


def test_the_time_told_to_those_that_wait_is_when_they_are_let_in() -> None:
    held, when = places(3), dict[str, float]()
    for n in range(9):  # three go, six wait: three for each of the next two windows
        key, room = held.try_acquire(20_000.0 + n, f"{n}", ("x",))
        if key:
            when[f"{n}"] = 20_000.0 + n + room.after_ms
            held.enqueue(f"{n}", float(n), ("x",))
    assert len(when) == 6
    seen = dict[str, float]()
    for step in range(2500):
        for id in held.take_ready(20_009.0 + step):
            assert held.try_acquire(20_009.0 + step, id, ("x",))[0] == ""
            seen[id] = 20_009.0 + step
    assert all(abs(seen[id] - at) < 12 for id, at in when.items()), (when, seen)


def test_nobody_passes_one_that_waits_for_two_limits() -> None:
    held = places(4)
    for n in range(2):
        assert held.try_acquire(20_000.0, f"y{n}", ("x", "y"))[0] == ""
    key, room = held.try_acquire(20_001.0, "both", ("x", "y"))
    assert key == "y"
    assert room.after_ms > 900
    held.enqueue("both", 1.0, ("x", "y"))
    assert held.take_ready(20_100.0) == []
    assert 800 < held.next_ready_ms(20_100.0) < 1000
    assert held.take_ready(21_020.0) == ["both"]
    assert held.try_acquire(21_020.0, "both", ("x", "y"))[0] == ""


def test_the_line_of_each_caller_is_counted() -> None:
    held = places(1)
    assert held.try_acquire(20_000.0, "0", ("x",))[0] == ""
    for n in range(1, 6):
        held.enqueue(f"{n}", float(n), ("x",), n % 2)
    assert dict(held.line) == {1: 3, 0: 2}
    held.release("1")
    assert held.take_ready(21_020.0) == ["2"]
    assert dict(held.line) == {1: 2, 0: 1}


class Port:
    """A fleet that has room for so many, and again after so long."""

    def __init__(self, room: int, after_ms: float) -> None:
        self.left, self.after_ms, self.held, self.calls, self.fed = room, after_ms, dict[str, float](), 0, 5
        self.told: list[tuple[str, float]] = []
        self.over_: list[str] = []

    def admit(self, id: str, cls: int, sender: int) -> float:
        self.left -= 1
        return 0.0 if self.left >= 0 else self.after_ms

    def enqueue(self, id: str, order: float) -> None:
        self.held[id] = order

    def take_ready(self) -> list[str]:
        out = sorted(self.held, key=lambda id: self.held[id])[: max(0, self.left)]
        for id in out:
            del self.held[id]
        return out

    def next_ready_ms(self) -> float:
        return self.after_ms if self.held else float("inf")

    def reject(self, id: str, after_ms: float) -> float:
        self.told.append((id, after_ms))
        return 2 * after_ms

    def release(self, id: str) -> None:
        self.held.pop(id, None)
        self.over_.append(id)

    def admit_call(self, id: str, cls: int) -> bool:
        return self.calls > 0

    def release_call(self, id: str, after_ms: float) -> None:
        self.over_.append(f"call {id} {after_ms:.0f}")

    def record_attempt(self, again: bool) -> bool:
        return not again or self.fed > 0

    def may_retry(self) -> bool:
        self.fed -= 1
        return self.fed >= 0


def policy(port: Port) -> Policy:
    out = Policy(
        Settings(
            [RequestClass(latency_objective_ms=1000, client_timeout_ms=3000, calls=True)],
            cores=8,
            memory_kb=4000,
            max_retry_after_ms=10_000,
            linger_ms=300,
        ),
        seed=1,
    )
    out.fleet = port
    return out


def test_the_policy_holds_what_will_have_room_in_time_and_refuses_the_rest_at_once() -> None:
    port = Port(1, 200.0)
    one = policy(port)
    out = one.handle(0.0, [Arrival(f"{n}", 0, 20.0) for n in range(3)])
    assert [action.id for action in out if isinstance(action, Run)] == ["0"]
    assert set(port.held) == {"1", "2"}
    assert not [action for action in out if isinstance(action, Reject)]
    port.left = 1  # a window later there is room for one
    out = one.handle(200.0, [Tick(FOR_ROOM)])
    assert [action.id for action in out if isinstance(action, Run)] == ["1"]
    assert set(port.held) == {"2"}
    one.handle(210.0, [CallerGone("2")])
    assert not port.held
    assert "2" in port.over_
    port.left, port.after_ms = 0, 5000.0
    out = one.handle(220.0, [Arrival("4", 0, 20.0)])
    assert [(a.id, a.retry_after_ms) for a in out if isinstance(a, Reject)] == [("4", 10_000.0)]
    port.after_ms, port.left = 300.0, 0
    one.handle(230.0, [Arrival("5", 0, 20.0)])
    assert set(port.held) == {"5"}
    out = [action for at in range(250, 1300, 50) for action in one.handle(float(at), [Tick(0)])]
    assert [a.id for a in out if isinstance(a, Reject)] == ["5"]
    assert not port.held
    assert port.told[-1][0] == "5"
    assert one.memory == pytest.approx(40.0)
    assert one.held_kb == 0.0


def test_calls_wait_for_the_pool_and_abandoned_ones_linger_in_it() -> None:
    port = Port(9, 1.0)
    one = policy(port)
    one.handle(0.0, [Arrival("a", 0, 20.0)])
    assert not [a for a in one.handle(5.0, [CallNeeded("a")]) if isinstance(a, Call)]
    port.calls = 1
    assert [a for a in one.handle(10.0, [Tick(0)]) if isinstance(a, Call)]
    one.handle(20.0, [CallEnded("a", RunOutcome.OK, 10.0)])
    assert port.over_[-1] == "call a 0"
    one.handle(30.0, [CallNeeded("a")])
    one.handle(40.0, [RunEnded("a", RunOutcome.STOPPED, 40.0)])
    assert port.over_[-2:] == ["a", "call a 300"]


def test_without_a_budget_a_refusal_is_final_and_a_repeat_is_refused() -> None:
    port = Port(0, 5000.0)
    port.fed = 2
    one = policy(port)
    out = one.handle(0.0, [Arrival(f"{n}", 0, 20.0) for n in range(4)])
    assert [a.last for a in out if isinstance(a, Reject)] == [False, False, True, True]
    out = one.handle(1.0, [Arrival("again", 0, 20.0, is_retry=True)])
    assert [(a.id, a.last) for a in out if isinstance(a, Reject)] == [("again", True)]


@given(st.lists(st.sampled_from(["first", "again", "refused"]), max_size=400), st.floats(0, 2), st.integers(1, 9))
def test_repeats_stay_within_their_budget(events: list[str], share: float, burst: int) -> None:
    terms = RetryBudgetSettings(share, burst)
    one, first, taken = RetryBudget(terms), 0, 0
    for n, event in enumerate(events):
        if event == "refused":
            one.may_retry(n * 10.0)
            continue
        first += event == "first"
        taken += one.record_attempt(event == "again") and event == "again"
        assert taken <= terms.most(first, 1) + 1e-6


def test_a_prefix_names_its_caller_in_a_safe_word() -> None:
    assert [prefix(key, ":") for key in ("shop:17", "shop", "", ":17")] == ["shop", "-", "-", "-"]
    assert prefix("a b:1", ":").startswith("#")
    assert len(prefix("x" * 100 + ":1", ":")) == 9


class Nobody:
    """A peer link that reaches nobody."""

    def __init__(self) -> None:
        self.others: dict[bytes, object] = {}

    def send(self, to: str, data: bytes) -> None:
        """Lost."""


def test_one_caller_s_line_is_bounded_and_leaves_the_others_room_to_wait(tmp_path) -> None:  # type: ignore[no-untyped-def]
    path = tmp_path / "fleet.yaml"
    path.write_text(
        "fleet: f\nsite: a\nname: a1\nbind: 127.0.0.1:7100\nelectorate: {version: 1, sites: {a: [a1]}}\n"
        "limits: {x: {per_s: 1, standing: 1.0}}\nrepeats: {share: 0.5, burst: 2}"
    )
    counters = Counters()
    limits = LimitsDriver(read_fleet(str(path), "a1"), ["order"], Nobody(), counters, 1)  # type: ignore[arg-type]
    limits.start(1)
    assert limits.coordinator is not None
    assert limits.admit("early", 0, 1) > 0
    limits.coordinator.grant_holder.began -= 5000
    assert limits.admit("0", 0, 1) == 0.0
    for n in range(HELD_MOST):
        assert 0 < limits.admit(f"{n + 1}", 0, 1) < float("inf")
        limits.enqueue(f"{n + 1}", float(n))
    assert limits.admit("more", 0, 1) == float("inf")
    assert 0 < limits.reject("more", float("inf")) < 60_000
    assert limits.admit("other", 0, 2) < float("inf")
    assert counters.report()["limits.line_full"] == 1
    limits.release("1")
    assert limits.admit("again", 0, 1) < float("inf")
    assert not limits.take_ready()
    assert limits.next_ready_ms() < 2000
    assert [limits.record_attempt(True) for _ in range(3)] == [True, True, False]
    assert not limits.may_retry()
    limits.retire()
