"""The start of waiting requests, and the rejection of those that wait too long."""

from myrtlespar.policy import messages as api
from myrtlespar.policy.messages import RunOutcome
from tests.policy.policy_server import PolicyServer, count_final_answers


def test_request_that_can_no_longer_meet_its_objective_is_rejected() -> None:
    server = PolicyServer(cores=1)
    server.arrive(10, "run", 0)
    server.arrive(11, "held", 0)
    server.at(2011)
    assert server.actions(api.Reject, "held")


def test_one_long_run_does_not_block_its_class() -> None:
    server = PolicyServer(cores=2)
    server.arrive(10, "long", 0)
    server.at(5000, api.RunEnded("long", RunOutcome.OK, 4990))
    for n in range(40):
        server.arrive(5010 + 100 * n, f"next{n}", 0)
    assert server.actions(api.Run, "next39") or len(server.actions(api.Run)) > 2


def test_a_request_with_a_short_timeout_behind_one_with_a_long_timeout_is_answered_at_once() -> None:
    server = PolicyServer(cores=1)
    server.arrive(10, "run", 3)
    server.arrive(20, "patient", 0, deadline=6000.0)
    server.arrive(30, "hasty", 0, deadline=700.0)
    server.at(650)
    assert count_final_answers(server.log, "hasty") == 1
    assert count_final_answers(server.log, "patient") == 0
