"""When a rejected caller may retry on another server."""

from myrtlespar.policy import messages as api
from myrtlespar.policy.messages import RunOutcome
from tests.policy.policy_server import PolicyServer


def slow_server(gap_ms: float) -> PolicyServer:
    """Return a server with one core that runs a request in 900 ms, after 150 arrivals every `gap_ms` ms."""
    server = PolicyServer(cores=1, servers=10, tenant_quotas=[40.0], passes_deadline=True)
    run_ends_at = 900.0
    for n in range(150):
        now = 1 + gap_ms * n
        server.arrive(now, f"r{n}", 0, deadline=now + 3500.0)
        while run_ends_at <= now:
            running = [a.id for a in server.actions(api.Run) if a.id in server.policy.table.requests]
            server.at(now, *(api.RunEnded(id, RunOutcome.OK, 900) for id in running))
            run_ends_at += 900
    return server


def test_a_slow_server_lets_callers_try_other_servers() -> None:
    rejections = slow_server(gap_ms=400.0).actions(api.Reject)
    assert any(not rejection.last for rejection in rejections)


def test_a_slow_server_far_above_its_even_share_takes_the_fleet_for_overloaded() -> None:
    rejections = slow_server(gap_ms=60.0).actions(api.Reject)
    assert rejections[-1].last


def test_a_rejected_retry_is_not_sent_to_another_server() -> None:
    server = slow_server(gap_ms=400.0)
    now = server.now + 1
    server.arrive(now, "again", 0, deadline=now + 5000.0)
    server.arrive(now, "fresh", 0, deadline=now + 3500.0)
    assert not server.actions(api.Reject, "fresh")[0].last
    server.at(now + 2000)
    assert server.actions(api.Reject, "again")[0].last
