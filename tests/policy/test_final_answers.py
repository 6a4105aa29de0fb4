"""Each request gets exactly one final answer, in time."""

from myrtlespar.policy import messages as api
from myrtlespar.policy.messages import RunOutcome
from tests.policy.policy_server import PolicyServer, count_final_answers


def test_held_request_is_rejected_once_by_its_due_time() -> None:
    server = PolicyServer(cores=1)
    server.arrive(10, "run", 3)
    server.arrive(20, "held", 1)
    server.at(7000)
    assert count_final_answers(server.log, "held") == 1
    assert server.actions(api.Reject, "held")


def test_running_request_is_failed_at_its_due_time_and_never_rejected() -> None:
    server = PolicyServer()
    server.arrive(10, "a", 3)
    assert server.actions(api.Run, "a")
    server.at(6050)
    assert not server.actions(api.Fail, "a") or server.now > 6010
    server.at(6110)
    assert len(server.actions(api.Fail, "a")) == 1
    assert not server.actions(api.Reject, "a")
    server.at(6200, api.RunEnded("a", RunOutcome.OK, 6100))
    assert count_final_answers(server.log, "a") == 1
    assert server.policy.memory.used_kb == 0


def test_request_past_its_deadline_is_answered_at_once() -> None:
    server = PolicyServer()
    server.at(50)
    out = server.arrive(60, "a", 0, deadline=55.0)
    assert any(isinstance(a, api.Reject) for a in out)


def test_request_of_a_caller_that_left_is_not_answered() -> None:
    server = PolicyServer(cores=1)
    server.arrive(10, "run")
    server.arrive(20, "held")
    server.at(30, api.CallerGone("held"))
    server.at(9000)
    assert count_final_answers(server.log, "held") == 0


def test_run_past_its_objective_is_failed_at_once_and_stopped() -> None:
    server = PolicyServer(can_stop=True)
    server.arrive(10, "a", 3)
    out = server.at(2015)
    assert out.index(api.Fail("a")) < out.index(api.Stop("a"))
    server.at(2020, api.RunEnded("a", RunOutcome.STOPPED, 2010))
    server.at(9000)
    assert count_final_answers(server.log, "a") == 1
    assert not server.actions(api.Reject, "a")
    assert len(server.actions(api.Run, "a")) == 1
    assert server.policy.memory.used_kb == 0
    assert server.policy.concurrency.on_cores == 0


def test_run_is_never_stopped_where_that_is_not_allowed() -> None:
    server = PolicyServer()
    server.arrive(10, "a", 3)
    server.at(9000)
    assert not server.actions(api.Stop)


def test_run_of_a_caller_that_left_is_stopped_and_not_answered() -> None:
    server = PolicyServer(can_stop=True)
    server.arrive(10, "a", 3)
    server.at(100, api.CallerGone("a"))
    server.at(110, api.RunEnded("a", RunOutcome.STOPPED, 95))
    server.at(9000)
    assert server.actions(api.Stop, "a")
    assert count_final_answers(server.log, "a") == 0
    assert server.policy.costs.elapsed_ms[3] > 95  # a stopped run is no observation of how long runs take


def test_end_events_of_waiting_or_ended_requests_are_harmless() -> None:
    server = PolicyServer(cores=1, can_stop=True)
    server.arrive(10, "run", 3)
    server.arrive(20, "held", 0)
    for outcome in RunOutcome:
        server.at(server.now + 1, api.RunEnded("held", outcome, 5.0))
    server.at(100, api.RunEnded("run", RunOutcome.OK, 90.0))
    for outcome in RunOutcome:
        server.at(server.now + 1, api.RunEnded("run", outcome, 5.0), api.CallEnded("run", outcome, 5.0))
    server.at(150, api.RunEnded("held", RunOutcome.OK, 40.0))
    server.at(200, api.Drain(-50.0))
    server.at(9000)
    assert count_final_answers(server.log, "held") <= 1
    assert count_final_answers(server.log, "run") == 0
    assert server.policy.memory.used_kb == 0
    assert not server.policy.table.requests
