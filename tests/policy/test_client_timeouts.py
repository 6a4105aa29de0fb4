"""Learning of callers' timeouts, and detection of retries."""

from myrtlespar.policy import messages as api
from tests.policy.policy_server import PolicyServer


def test_retry_age_is_derived_from_an_unusual_time_to_the_deadline() -> None:
    server = PolicyServer(cores=1, passes_deadline=True)
    for n in range(5):
        server.arrive(10 + n, f"first{n}", 0, deadline=3510.0 + n)
    server.arrive(20, "again", 0, deadline=20.0 + 4800.0)
    fresh = server.policy.table.requests["first4"]
    again = server.policy.table.requests["again"]
    assert fresh.useful_until == 14 + 2000
    assert again.useful_until == 20 - 1200 + 2000


def test_retries_are_detected_from_the_waits_of_all_callers_together() -> None:
    server = PolicyServer(cores=1, passes_deadline=True)
    for n in range(5):
        server.arrive(10 + n, f"first{n}", 0, deadline=3510.0 + n, sender=n)
    server.arrive(20, "again", 0, deadline=20.0 + 4800.0, sender=99)
    assert server.policy.table.requests["again"].useful_until == 20 - 1200 + 2000
    assert len(server.policy.client_timeouts.usual_waits[0]) == 2


def test_many_different_waits_leave_bounded_state() -> None:
    server = PolicyServer(cores=1, passes_deadline=True, reports_cancellation=True)
    for n in range(500):
        server.arrive(10 + n, f"r{n}", 0, deadline=600.0 + 11 * n, sender=n)
        server.at(10.5 + n, api.CallerGone(f"r{n}"))
    policy = server.policy
    assert len(policy.client_timeouts.usual_waits[0]) <= 4
    assert len(policy.client_timeouts.timeouts) <= 200
    assert len(policy.table.open_by_sender) <= 2


def test_client_timeout_is_learned_from_departures_that_agree() -> None:
    server = PolicyServer(cores=1, reports_cancellation=True)
    server.arrive(5, "busy", 3)
    for n in range(12):
        server.arrive(10 + 10 * n, f"left{n}", 0)
    for n in range(12):
        server.at(810 + 10 * n, api.CallerGone(f"left{n}"))
    server.arrive(1000, "next", 0)
    assert abs(server.policy.table.requests["next"].useful_until - 1800) < 5


def test_no_client_timeout_is_learned_from_scattered_departures() -> None:
    server = PolicyServer(cores=1, reports_cancellation=True)
    server.arrive(5, "busy", 3)
    for n in range(12):
        server.arrive(10, f"left{n}", 0)
    for n in range(12):
        server.at(100 + 130 * n, api.CallerGone(f"left{n}"))
    server.arrive(1700, "next", 0)
    assert server.policy.table.requests["next"].useful_until == 3700


def test_inner_tier_takes_its_objective_from_its_callers_deadline() -> None:
    server = PolicyServer(tier=1)
    server.arrive(10, "far", 0, deadline=1900.0)
    assert server.policy.table.requests["far"].useful_until == 1900.0
    assert not server.policy.table.requests["far"].is_retry


def test_retry_marks_override_detection_where_retries_are_marked() -> None:
    server = PolicyServer(marks_retries=True)
    for n in range(40):
        server.arrive(10 + n, f"a{n}", 0, deadline=5010.0 + n)
    server.arrive(60, "odd", 0, deadline=1700.0)
    server.arrive(61, "again", 0, deadline=5561.0, is_retry=True)
    assert not server.policy.table.requests["odd"].is_retry
    assert server.policy.table.requests["again"].is_retry
