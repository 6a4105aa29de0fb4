"""When a rejected caller may try another server."""

from myrtlespar.policy import messages as api
from myrtlespar.policy.messages import RunOutcome
from tests.policy.policy_server import PolicyServer


def slow_server(gap: float) -> PolicyServer:
    """One core that runs a request in 900 ms and is asked for one each `gap` ms."""
    server = PolicyServer(cores=1, servers=10, tenant_quotas=[40.0], passes_deadline=True)
    ends = 900.0
    for n in range(150):
        now = 1 + gap * n
        server.arrive(now, f"r{n}", 0, deadline=now + 3500.0)
        while ends <= now:
            running = [a.id for a in server.actions(api.Run) if a.id in server.policy.table.requests]
            server.at(now, *(api.RunEnded(id, RunOutcome.OK, 900) for id in running))
            ends += 900
    return server


def test_a_slow_server_lets_callers_try_other_servers() -> None:
    rejections = slow_server(gap=400.0).actions(api.Reject)
    assert any(not rejection.last for rejection in rejections)


def test_a_slow_server_that_is_asked_for_far_more_takes_all_servers_for_overloaded() -> None:
    rejections = slow_server(gap=60.0).actions(api.Reject)
    assert rejections[-1].last


def test_a_retry_is_not_sent_on_again() -> None:
    server = slow_server(gap=400.0)
    now = server.now + 1
    server.arrive(now, "again", 0, deadline=now + 5000.0)
    server.arrive(now, "fresh", 0, deadline=now + 3500.0)
    assert not server.actions(api.Reject, "fresh")[0].last
    server.at(now + 2000)
    assert server.actions(api.Reject, "again")[0].last
