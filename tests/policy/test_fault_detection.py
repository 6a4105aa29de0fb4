"""Detection of hanging cores and failing runs."""

from myrtlespar.policy import messages as api
from myrtlespar.policy.messages import RunOutcome
from tests.policy.policy_server import PolicyServer


def test_new_requests_are_rejected_while_cores_hang_until_a_run_makes_progress() -> None:
    server = PolicyServer(classes=[api.RequestClass(2000, 60000)])
    for n in range(25):
        server.arrive(10 + 10 * n, f"seen{n}", 0)
        server.at(15 + 10 * n, api.RunEnded(f"seen{n}", RunOutcome.OK, 5))
    server.arrive(300, "a", 0)
    server.at(2500)
    assert server.policy.faults.is_hanging
    server.arrive(2510, "b", 0)
    assert server.actions(api.Reject, "b")
    assert not server.actions(api.Reject, "b")[0].last
    server.at(2600, api.RunEnded("a", RunOutcome.OK, 2590))
    assert not server.policy.faults.is_hanging


def test_two_long_runs_on_two_cores_are_no_hang() -> None:
    server = PolicyServer(cores=2)
    for n in range(30):
        server.arrive(10 + 500 * n, f"a{n}", 0)
        server.at(410 + 500 * n, api.RunEnded(f"a{n}", RunOutcome.OK, 400))
    server.policy.costs.runs_seen = [30] * 4
    server.policy.costs.elapsed_ms = [400.0] * 4
    server.arrive(20000, "long1", 0)
    server.arrive(20001, "long2", 0)
    server.at(21500)
    assert not server.policy.faults.is_hanging
    server.at(23500)
    assert server.policy.faults.is_hanging


def test_new_requests_are_rejected_except_for_trials_while_most_runs_fail() -> None:
    server = PolicyServer()
    for n in range(8):
        server.arrive(10 + 10 * n, f"bad{n}", 3)
        server.at(15 + 10 * n, api.RunEnded(f"bad{n}", RunOutcome.ERROR, 3))
    server.arrive(100, "next", 3)
    rejections = server.actions(api.Reject, "next")
    assert len(rejections) == 1
    assert not rejections[0].last
    assert not server.actions(api.Run, "next")
    for n in range(6):
        server.arrive(700 + 600 * n, f"trial{n}", 3)
        server.at(720 + 600 * n, api.RunEnded(f"trial{n}", RunOutcome.OK, 18))
    server.arrive(4301, "well", 3)
    server.arrive(4302, "too", 3)
    assert server.actions(api.Run, "well")
    assert server.actions(api.Run, "too")
