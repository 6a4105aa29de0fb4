"""The queue of requests that wait for capacity under fleet limits."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from myrtlespar.quota.admission_queue import AdmissionQueue
from myrtlespar.quota.lease import Incarnation
from myrtlespar.quota.limit_coordinator import LimitCoordinator
from myrtlespar.quota.settings import GrantSettings, Limit

STARTED_MS = 20_000.0  # late enough that a new process may use its guaranteed share
WINDOW_MS = 1000.0


def single_member_queue(amount: int) -> AdmissionQueue:
    """Return the queue of a fleet's only member, whose guaranteed share of each limit is the whole limit."""
    coordinator = LimitCoordinator(
        Incarnation("a", 1),
        GrantSettings(),
        {"x": Limit(per_s=amount, standing=1.0), "y": Limit(per_s=2.0, standing=1.0)},
        frozenset(("a",)),
        0.0,
    )
    return AdmissionQueue(coordinator)


@given(st.lists(st.tuples(st.floats(0, 300), st.floats(0, 2000), st.booleans()), max_size=120), st.integers(1, 9))
def test_waiting_requests_are_admitted_in_order_and_never_exceed_the_limit(
    arrivals: list[tuple[float, float, bool]], amount: int
) -> None:
    queue = single_member_queue(amount)
    now = STARTED_MS
    starts: list[float] = []
    deadlines: dict[str, float] = {}
    for number, (gap_ms, patience_ms, is_given_up) in enumerate(arrivals):
        now += gap_ms
        for id in queue.take_ready(now):  # a ready request has capacity, and no request that still waits is ahead of it
            assert queue.try_acquire(now, id, ("x",))[0] == ""
            assert all(deadlines[id] <= deadlines[other] for other in queue.waiting)
            starts.append(now)
        rejecting_key, check = queue.try_acquire(now, f"{number}", ("x",))
        if not rejecting_key:
            assert not queue.waiting
            starts.append(now)
        elif check.retry_after_ms <= patience_ms:
            deadlines[f"{number}"] = now + patience_ms
            queue.enqueue(f"{number}", deadlines[f"{number}"], ("x",))
        elif is_given_up and queue.waiting:
            queue.release(next(iter(queue.waiting)))
        assert all(sum(at - WINDOW_MS < other <= at for other in starts) <= amount for at in starts)
    for id in list(queue.waiting):
        queue.release(id)
    assert not queue.waiting
    assert queue.next_ready_ms(now) == float("inf")
    assert not queue.take_ready(now + 5000)


def test_waiting_requests_are_admitted_at_their_announced_retry_time() -> None:
    queue = single_member_queue(3)
    expected_at: dict[str, float] = {}
    for number in range(9):  # three start; six wait, three for each of the next two windows
        now = STARTED_MS + number
        rejecting_key, check = queue.try_acquire(now, f"{number}", ("x",))
        if rejecting_key:
            expected_at[f"{number}"] = now + check.retry_after_ms
            queue.enqueue(f"{number}", float(number), ("x",))
    assert len(expected_at) == 6
    admitted_at: dict[str, float] = {}
    for step in range(2500):
        now = STARTED_MS + 9.0 + step
        for id in queue.take_ready(now):
            assert queue.try_acquire(now, id, ("x",))[0] == ""
            admitted_at[id] = now
    assert all(abs(admitted_at[id] - at) < 12 for id, at in expected_at.items()), (expected_at, admitted_at)


def test_no_request_overtakes_one_that_waits_for_two_limits() -> None:
    queue = single_member_queue(4)
    for number in range(2):
        assert queue.try_acquire(STARTED_MS, f"y{number}", ("x", "y"))[0] == ""
    rejecting_key, check = queue.try_acquire(STARTED_MS + 1.0, "both", ("x", "y"))
    assert rejecting_key == "y"
    assert check.retry_after_ms > 900
    queue.enqueue("both", 1.0, ("x", "y"))
    assert queue.take_ready(STARTED_MS + 100.0) == []
    assert 800 < queue.next_ready_ms(STARTED_MS + 100.0) < 1000
    assert queue.take_ready(STARTED_MS + 1020.0) == ["both"]
    assert queue.try_acquire(STARTED_MS + 1020.0, "both", ("x", "y"))[0] == ""


def test_the_waiting_requests_of_each_caller_are_counted() -> None:
    queue = single_member_queue(1)
    assert queue.try_acquire(STARTED_MS, "0", ("x",))[0] == ""
    for number in range(1, 6):
        queue.enqueue(f"{number}", float(number), ("x",), number % 2)
    assert dict(queue.waiting_by_caller) == {1: 3, 0: 2}
    queue.release("1")
    assert queue.take_ready(STARTED_MS + 1020.0) == ["2"]
    assert dict(queue.waiting_by_caller) == {1: 2, 0: 1}


def test_a_late_start_uses_capacity_of_the_time_when_it_is_sent() -> None:
    queue = single_member_queue(1)
    assert queue.try_acquire(STARTED_MS, "late", ("x",))[0] == ""
    assert queue.reacquire(STARTED_MS + 400, "late", ("x",), STARTED_MS, was_sent=False)
    # More than a window after the admission, but less than one after the send.
    assert queue.try_acquire(STARTED_MS + 1300, "next", ("x",))[0] == "x"
    assert queue.try_acquire(STARTED_MS + 1500, "next", ("x",))[0] == ""


def test_a_late_start_is_not_sent_if_its_capacity_was_used_again() -> None:
    queue = single_member_queue(1)
    assert queue.try_acquire(STARTED_MS, "late", ("x",))[0] == ""
    assert queue.try_acquire(STARTED_MS + 1100, "next", ("x",))[0] == ""
    assert not queue.reacquire(STARTED_MS + 1200, "late", ("x",), STARTED_MS, was_sent=False)
    assert queue.coordinator.available(STARTED_MS + 1200, "x") == 0


def test_a_start_that_is_sent_a_second_time_uses_capacity_again() -> None:
    queue = single_member_queue(2)
    assert queue.try_acquire(STARTED_MS, "doubtful", ("x",))[0] == ""
    assert queue.reacquire(STARTED_MS + 100, "doubtful", ("x",), STARTED_MS, was_sent=True)
    assert queue.coordinator.available(STARTED_MS + 100, "x") == 0
    assert not queue.reacquire(STARTED_MS + 200, "doubtful", ("x",), STARTED_MS + 100, was_sent=True)


def test_runs_in_flight_are_counted_once_whether_a_late_start_is_sent_or_not() -> None:
    coordinator = LimitCoordinator(
        Incarnation("a", 1), GrantSettings(), {"y": Limit(at_once=1, standing=1.0)}, frozenset(("a",)), 0.0
    )
    queue = AdmissionQueue(coordinator)
    assert queue.try_acquire(STARTED_MS, "late", ("y",))[0] == ""
    assert queue.reacquire(STARTED_MS + 5000, "late", ("y",), STARTED_MS, was_sent=False)
    assert queue.reacquire(STARTED_MS + 6000, "late", ("y",), STARTED_MS + 5000, was_sent=True)
    assert coordinator.available(STARTED_MS + 6000, "y") == 0
    queue.release("late")
    assert coordinator.available(STARTED_MS + 6000, "y") == 1
    assert queue.try_acquire(STARTED_MS + 7000, "late", ("y",))[0] == ""
    coordinator.retire()
    assert not queue.reacquire(STARTED_MS + 8000, "late", ("y",), STARTED_MS + 7000, was_sent=False)
    queue.release("late")
    assert coordinator.grant_holder.allowances["y"].usage.count == 0


def test_a_late_start_is_spent_from_the_budget_of_the_period_in_which_it_is_sent() -> None:
    limit = Limit(per_day=5, standing=0.0)
    coordinator = LimitCoordinator(
        Incarnation("a", 1), GrantSettings(), {"z": limit}, frozenset(("a",)), 0.0, persisted_totals={}
    )
    queue = AdmissionQueue(coordinator)
    midnight = float(limit.period_ms)
    coordinator.budget_account.balance(midnight - 10, "z", limit).drawn_total = 2
    assert queue.try_acquire(midnight - 10, "early", ("z",))[0] == ""
    assert queue.reacquire(midnight - 5, "early", ("z",), midnight - 10, was_sent=False)
    assert coordinator.available(midnight - 5, "z") == 1  # the same period, in which it is already spent
    assert not queue.reacquire(midnight + 5, "early", ("z",), midnight - 10, was_sent=False)
    coordinator.budget_account.balance(midnight + 5, "z", limit).drawn_total = 1
    assert queue.reacquire(midnight + 6, "early", ("z",), midnight - 10, was_sent=False)
    assert coordinator.available(midnight + 6, "z") == 0
