"""Draining: which requests still run, and when answers are due."""

from myrtlespar.policy import messages as api
from tests.policy.policy_server import PolicyServer, count_final_answers


def test_requests_that_arrive_after_the_grace_period_of_a_drain_do_not_run() -> None:
    server = PolicyServer()
    server.at(100, api.Drain(5000))
    assert api.SetHealth(False, True) in server.log
    server.arrive(900, "early")
    server.arrive(1200, "late")
    server.arrive(1210, "queued", waited_ms=400.0)
    assert server.actions(api.Run, "early")
    assert server.actions(api.Run, "queued")
    assert server.actions(api.Reject, "late")
    assert not server.actions(api.Run, "late")


def test_drain_answers_everything_before_the_kill() -> None:
    server = PolicyServer(cores=1)
    server.arrive(10, "runs", 3)
    server.arrive(20, "held", 1)
    server.at(100, api.Drain(1500))
    server.at(1499)
    assert count_final_answers(server.log, "runs") == 1
    assert count_final_answers(server.log, "held") == 1


def test_drain_after_a_stall_counts_from_the_last_batch_before_the_stall() -> None:
    server = PolicyServer(drain_grace_ms=2000.0)
    server.at(1000)
    server.policy.handle(1460.0, [api.Drain(9000.0)])  # the drain may have begun right after the batch at 1000 ms
    out = server.policy.handle(3300.0, [api.Arrival("late", 0, 20.0, waited_ms=200.0)])
    assert not any(isinstance(a, api.Run) for a in out)
    assert any(isinstance(a, api.Reject) and a.id == "late" for a in out)


def test_answers_are_due_early_enough_for_a_stall_before_the_kill() -> None:
    server = PolicyServer(cores=1)
    server.arrive(10, "run", 3)
    server.policy.handle(500.0, [])  # the process was stalled for nearly 500 ms
    server.at(510, api.Drain(3000.0))
    server.at(3000.0 - 500.0)
    assert count_final_answers(server.log, "run") == 1


def test_second_drain_event_postpones_no_deadline() -> None:
    server = PolicyServer(drain_grace_ms=1000.0)
    server.at(1000)
    server.at(1010, api.Drain(4000.0))
    server.at(3000, api.Drain(9000.0))
    assert server.policy.drain.drain_at <= 1010
    assert server.policy.drain.answers_due_at < 4000.0
