"""Early closing of idle connections."""

from myrtlespar.policy import messages as api
from tests.policy.policy_server import PolicyServer


def test_idle_connections_are_closed_early_only_where_callers_seldom_return() -> None:
    for senders, early in ((3, False), (1000, True)):
        server = PolicyServer(senders=senders, caller_idle_ms=30000.0)
        for n in range(30):
            server.arrive(10 + 100 * n, f"r{n}", 0, sender=n)
        assert [action.after_ms > 0 for action in server.actions(api.CloseIdle)] == ([True] if early else [])


def test_in_a_retry_storm_idle_connections_stay_open() -> None:
    server = PolicyServer(cores=1, senders=1000, caller_idle_ms=30000.0)
    for n in range(200):
        server.arrive(10 + 100 * n, f"r{n}", 0, sender=n)
    assert server.policy.connections.is_retry_storm
    assert [action.after_ms > 0 for action in server.actions(api.CloseIdle)] == [True, False]
