"""The reported health of a server that reads its arrivals too late."""

from myrtlespar.policy import messages as api
from tests.policy.policy_server import PolicyServer


def reports(waited: float, gap: float, follows: bool) -> list[bool]:
    """Return what a server reports while arrivals are read late by `waited` ms, and after they no longer are."""
    server = PolicyServer(cores=2, servers=10, tenant_quotas=[50.0], discovery_follows_health=follows)
    for n in range(120):
        server.arrive(10 + gap * n, f"r{n}", 0, waited_ms=waited)
    server.at(server.now + 20000)
    return [action.good for action in server.actions(api.SetHealth)]


def test_a_server_that_reads_too_late_reports_bad_health_until_it_recovers() -> None:
    assert reports(waited=3000.0, gap=200.0, follows=True) == [True, False, True]
    assert reports(waited=50.0, gap=200.0, follows=True) == [True]
    assert reports(waited=3000.0, gap=200.0, follows=False) == [True]


def test_a_flooded_server_stays_healthy() -> None:
    server = PolicyServer(cores=2, servers=10, tenant_quotas=[50.0], discovery_follows_health=True)
    for n in range(120):
        server.arrive(10 + 20 * n, f"calm{n}", 0, waited_ms=1.0)
    for n in range(120):
        server.arrive(3000 + 20 * n, f"late{n}", 0, waited_ms=3000.0)
    assert [action.good for action in server.actions(api.SetHealth)] == [True]
