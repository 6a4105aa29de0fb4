"""What runs and when answers are due while the server drains."""

from myrtlespar.policy import messages as api
from tests.policy.policy_server import PolicyServer, count_final_answers


def test_drain_runs_nothing_that_came_past_the_grace() -> None:
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


def test_drain_notice_after_a_standstill_counts_from_the_last_event_before_it() -> None:
    server = PolicyServer(drain_grace_ms=2000.0)
    server.at(1000)
    server.policy.handle(1460.0, [api.Drain(9000.0)])  # it may have come right after 1000
    out = server.policy.handle(3300.0, [api.Arrival("late", 0, 20.0, waited_ms=200.0)])
    assert not any(isinstance(a, api.Run) for a in out)
    assert any(isinstance(a, api.Reject) and a.id == "late" for a in out)


def test_answers_come_before_a_standstill_that_could_cover_the_kill() -> None:
    server = PolicyServer(cores=1)
    server.arrive(10, "run", 3)
    server.policy.handle(500.0, [])  # stood still for nearly half a second
    server.at(510, api.Drain(3000.0))
    server.at(3000.0 - 500.0)
    assert count_final_answers(server.log, "run") == 1


def test_second_drain_notice_moves_nothing_later() -> None:
    server = PolicyServer(drain_grace_ms=1000.0)
    server.at(1000)
    server.at(1010, api.Drain(4000.0))
    server.at(3000, api.Drain(9000.0))
    assert server.policy.drain.drain_at <= 1010
    assert server.policy.drain.answers_due_at < 4000.0
