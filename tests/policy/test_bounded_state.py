"""State stays bounded and every rule holds under extreme settings, clock jumps and many callers."""

import pytest

from myrtlespar.policy import messages as api
from myrtlespar.policy.messages import RunOutcome
from tests.policy.policy_server import PolicyServer, count_final_answers


def test_state_by_sender_and_request_stays_bounded() -> None:
    server = PolicyServer(reports_cancellation=True)
    for n in range(3000):
        server.arrive(10.0 * n, f"r{n}", 3, sender=n)
        server.at(10.0 * n + 5, api.CallerGone(f"r{n}"))
        server.at(10.0 * n + 6, api.RunEnded(f"r{n}", RunOutcome.OK, 6))
    policy = server.policy
    server.at(10.0 * 3000 + 7000, api.Tick(1))
    assert len(policy.client_timeouts.timeouts) <= 200
    assert not policy.table.requests
    assert not policy.table.open_by_sender
    assert not policy.answers.answer_deadlines.entries
    assert not policy.answers.usefulness_deadlines.entries
    assert not policy.scheduler.start_deadlines.entries
    assert len(policy.dependency.waiting) == 0
    assert policy.memory.used_kb == pytest.approx(0.0)


def test_extreme_settings_are_handled() -> None:
    for signal in api.LoadSignal:
        server = PolicyServer(
            classes=[api.RequestClass(0.0, 0.0, priority_weight=0.0, effect=api.Effect.KEYED)],
            cores=0,
            tenant_quotas=[0.0],
            over_quota_weight=0.0,
            servers=0,
            senders=0,
            signal=signal,
        )
        for n in range(50):
            server.arrive(10 + 20 * n, f"r{n}", 0, waited_ms=5.0)
        server.at(3000)
        assert all(
            count_final_answers(server.log, f"r{n}") == 1 for n in range(50) if not server.actions(api.Run, f"r{n}")
        )


def test_missing_settings_and_clock_jumps_are_handled() -> None:
    server = PolicyServer(
        cores=0,
        servers=0,
        senders=0,
        tenant_quotas=[0.0],
        calls_share=0.0,
        calls_over_ms=0.0,
        shared_dependency=True,
        caller_idle_ms=0.0,
        cold=True,
        warm_up_ms=0.0,
        discovery_follows_health=True,
    )
    for n in range(60):
        server.arrive(10, f"still{n}", 0, tenant=7, sender=90 + n)
    server.at(10, api.RunEnded("unknown", RunOutcome.OK, 5), api.CallerGone("unknown"), api.Tick(0, []))
    server.policy.handle(1e7, [api.Tick(3, [9.0])])
    server.policy.handle(5.0, [api.Tick(3, []), api.Arrival("back", 0, 20.0)])
    unanswered = [id for id, request in server.policy.table.requests.items() if not request.answered]
    assert set(unanswered) <= {"back"}
    assert len(server.policy.table.open_by_sender) <= 1


def test_a_fleet_size_wrong_by_a_factor_of_four_breaks_no_rule() -> None:
    for servers in (25, 400):
        server = PolicyServer(cores=2, servers=servers, tenant_quotas=[400.0], senders=200)
        for n in range(80):
            server.arrive(10 + 25 * n, f"r{n}", 0)
        server.at(30000)
        assert all(count_final_answers(server.log, f"r{n}") == 1 for n in range(80))
