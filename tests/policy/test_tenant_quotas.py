"""Requests within and over a tenant's quota."""

from myrtlespar.policy import messages as api
from myrtlespar.policy.messages import RunOutcome
from tests.policy.policy_server import PolicyServer


def test_work_over_a_tenants_quota_counts_as_costly() -> None:
    server = PolicyServer(tenant_quotas=[0.5, 100.0], over_quota_weight=0.05, servers=1, cores=1)
    for n in range(7):
        server.arrive(10 + n, f"flood{n}", 0, tenant=0)
    server.arrive(20, "fair", 0, tenant=1)
    assert server.policy.table.requests["flood6"].is_over_quota
    assert not server.policy.table.requests["fair"].is_over_quota


def test_chance_arrivals_within_a_small_quota_are_no_overrun() -> None:
    server = PolicyServer(cores=2, servers=300, tenant_quotas=[90.0])
    for n in range(3):
        server.arrive(10 + n, f"r{n}", 0)
    assert not any(server.policy.table.requests[f"r{n}"].is_over_quota for n in range(3))
    for n in range(40):
        server.arrive(20 + n, f"flood{n}", 0)
    assert server.policy.table.requests["flood39"].is_over_quota


def test_tenant_quota_follows_what_the_server_can_run() -> None:
    server = PolicyServer(tenant_quotas=[1.0, 1.0], over_quota_weight=0.05, servers=100)
    for n in range(12):
        server.arrive(10 * n, f"r{n}", 0, tenant=0)
        server.at(10 * n + 5, api.RunEnded(f"r{n}", RunOutcome.OK, 5))
    server.arrive(3000, "a", 0, tenant=0)
    server.arrive(3001, "b", 0, tenant=0)
    assert not server.policy.table.requests["b"].is_over_quota
