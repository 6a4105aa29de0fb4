"""The reported health of a server that reads its arrivals too late."""

from myrtlespar.policy import messages as api
from tests.policy.policy_server import PolicyServer


def reports(waited_ms: float, gap_ms: float, follows: bool) -> list[bool]:
    """Return the health that a server reports during 120 arrivals, each read `waited_ms` late, and for 20 s after them.

    True stands for good health. `follows` is the setting `discovery_follows_health`.
    """
    server = PolicyServer(cores=2, servers=10, tenant_quotas=[50.0], discovery_follows_health=follows)
    for n in range(120):
        server.arrive(10 + gap_ms * n, f"r{n}", 0, waited_ms=waited_ms)
    server.at(server.now + 20000)
    return [action.good for action in server.actions(api.SetHealth)]


def test_a_server_that_reads_too_late_reports_bad_health_until_it_recovers() -> None:
    assert reports(waited_ms=3000.0, gap_ms=200.0, follows=True) == [True, False, True]
    assert reports(waited_ms=50.0, gap_ms=200.0, follows=True) == [True]
    assert reports(waited_ms=3000.0, gap_ms=200.0, follows=False) == [True]


def test_a_flooded_server_stays_healthy() -> None:
    server = PolicyServer(cores=2, servers=10, tenant_quotas=[50.0], discovery_follows_health=True)
    for n in range(120):
        server.arrive(10 + 20 * n, f"calm{n}", 0, waited_ms=1.0)
    for n in range(120):
        server.arrive(3000 + 20 * n, f"late{n}", 0, waited_ms=3000.0)
    assert [action.good for action in server.actions(api.SetHealth)] == [True]
