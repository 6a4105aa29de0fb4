"""What the policy learns of costs, callers and further tries."""

from myrtlespar.policy import messages as api
from myrtlespar.policy.messages import RunOutcome
from tests.helpers import Server


def test_age_of_a_further_try_is_told_from_an_unusual_wait() -> None:
    server = Server(cores=1, passes_deadline=True)
    for n in range(5):
        server.arrive(10 + n, f"first{n}", 0, deadline=3510.0 + n)
    server.arrive(20, "again", 0, deadline=20.0 + 4800.0)
    fresh, again = server.policy.jobs["first4"], server.policy.jobs["again"]
    assert fresh.aim_at == 14 + 2000
    assert again.aim_at == 20 - 1200 + 2000


def test_waits_of_all_callers_together_tell_a_further_try() -> None:
    server = Server(cores=1, passes_deadline=True)
    for n in range(5):
        server.arrive(10 + n, f"first{n}", 0, deadline=3510.0 + n, sender=n)
    server.arrive(20, "again", 0, deadline=20.0 + 4800.0, sender=99)
    assert server.policy.jobs["again"].aim_at == 20 - 1200 + 2000
    assert len(server.policy.first_waits[0]) == 2


def test_many_different_waits_leave_bounded_state() -> None:
    server = Server(cores=1, passes_deadline=True, reports_cancellation=True)
    for n in range(500):
        server.arrive(10 + n, f"r{n}", 0, deadline=600.0 + 11 * n, sender=n)
        server.at(10.5 + n, api.CallerGone(f"r{n}"))
    policy = server.policy
    assert len(policy.first_waits[0]) <= 4
    assert len(policy.patience) <= 200
    assert len(policy.open_by) <= 2


def test_patience_is_learned_from_departures_that_agree() -> None:
    server = Server(cores=1, reports_cancellation=True)
    server.arrive(5, "busy", 3)
    for n in range(12):
        server.arrive(10 + 10 * n, f"left{n}", 0)
    for n in range(12):
        server.at(810 + 10 * n, api.CallerGone(f"left{n}"))
    server.arrive(1000, "next", 0)
    assert abs(server.policy.jobs["next"].aim_at - 1800) < 5


def test_scattered_departures_teach_no_patience() -> None:
    server = Server(cores=1, reports_cancellation=True)
    server.arrive(5, "busy", 3)
    for n in range(12):
        server.arrive(10, f"left{n}", 0)
    for n in range(12):
        server.at(100 + 130 * n, api.CallerGone(f"left{n}"))
    server.arrive(1700, "next", 0)
    assert server.policy.jobs["next"].aim_at == 3700


def test_inner_tier_aims_for_what_its_caller_passes() -> None:
    server = Server(tier=1)
    server.arrive(10, "far", 0, deadline=1900.0)
    assert server.policy.jobs["far"].aim_at == 1900.0
    assert not server.policy.jobs["far"].walked


def run_with_hints(server: Server, hint_of: dict[int, float]) -> None:
    """Sixty runs, every second one ten times as long as the others."""
    now = 10.0
    for n in range(60):
        long = n % 2
        server.arrive(now, f"h{n}", 0, cost_hint_ms=hint_of[long])
        now += 500.0 if long else 50.0
        server.at(now, api.RunEnded(f"h{n}", RunOutcome.OK, 500.0 if long else 50.0))


def test_hints_are_trusted_as_far_as_they_told_costs_apart() -> None:
    good, none = Server(), Server()
    run_with_hints(good, {0: 40.0, 1: 400.0})
    run_with_hints(none, {0: 40.0, 1: 40.0})
    for server in (good, none):
        server.arrive(server.now + 1, "long", 0, cost_hint_ms=400.0)
    assert good.policy.jobs["long"].size > 1.4
    assert none.policy.jobs["long"].size <= 1.1


def test_absurd_hints_change_nothing() -> None:
    server = Server()
    for n, hint in enumerate((0.0, -5.0, float("inf"), float("nan"), 1e300)):
        server.arrive(10 + n, f"a{n}", 0, cost_hint_ms=hint)
        assert server.policy.jobs[f"a{n}"].size == 1.0


def test_mark_beats_the_guess_where_further_tries_are_marked() -> None:
    server = Server(marks_retries=True)
    for n in range(40):
        server.arrive(10 + n, f"a{n}", 0, deadline=5010.0 + n)
    server.arrive(60, "odd", 0, deadline=1700.0)
    server.arrive(61, "again", 0, deadline=5561.0, is_retry=True)
    assert not server.policy.jobs["odd"].walked
    assert server.policy.jobs["again"].walked
