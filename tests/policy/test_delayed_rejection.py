"""The overload flag, requests that are set aside, timer T1 and the forced turn."""

from myrtlespar.policy import messages as api
from myrtlespar.policy.messages import RunOutcome
from tests.policy.policy_server import PolicyServer, count_final_answers, overloaded_server


def test_flag_is_raised_above_o_and_cleared_only_below_a() -> None:
    server = PolicyServer(cores=2)
    server.arrive(10, "a")
    assert not server.policy.overload.is_overloaded
    server = overloaded_server()
    waits_ms = []
    now = 20.0
    while server.policy.overload.is_overloaded:
        run = next(a.id for a in server.actions(api.Run) if a.id in server.policy.table.requests)
        waits_ms.append(server.policy.overload.wait_ms())
        now += 10
        server.at(now, api.RunEnded(run, RunOutcome.OK, 150))
    assert server.policy.overload.wait_ms() < 0.5 * server.policy.overload.overload_threshold_ms() < max(waits_ms)


def test_costly_arrival_is_set_aside_and_rejected_only_after_t1_with_retry_after() -> None:
    server = overloaded_server()
    server.arrive(20, "costly", 1)
    assert sum(server.policy.queues.set_aside_work) >= 1
    assert not count_final_answers(server.log, "costly")
    server.at(300)
    assert not count_final_answers(server.log, "costly")
    server.at(1900)
    rejections = server.actions(api.Reject, "costly")
    assert len(rejections) == 1
    assert rejections[0].retry_after_ms > 0


def test_t1_is_shortened_to_fit_the_callers_deadline() -> None:
    server = overloaded_server()
    server.arrive(20, "hasty", 1, deadline=700.0)
    server.at(699)
    assert server.actions(api.Reject, "hasty")


def test_cheap_work_runs_first_and_set_aside_work_gets_a_forced_turn() -> None:
    server = overloaded_server()
    server.arrive(20, "costly", 1)
    order = []
    now = 20.0
    for n in range(12):
        run = next(a.id for a in server.actions(api.Run) if a.id in server.policy.table.requests)
        now += 1
        server.at(now, api.RunEnded(run, RunOutcome.OK, 150), api.Arrival(f"cheap{n}", 0, 1.0))
        order = [a.id for a in server.actions(api.Run)]
    assert "costly" in order
    assert order.index("costly") > 5
