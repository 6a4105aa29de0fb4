"""Calls to the dependency: when they are made, retried, skipped or failed."""

import pytest

from myrtlespar.policy import messages as api
from myrtlespar.policy.messages import RunOutcome
from tests.policy.policy_server import PolicyServer, count_final_answers


def test_call_is_skipped_after_a_failure_where_a_degraded_result_has_weight() -> None:
    server = PolicyServer()
    server.arrive(10, "a", 0)
    server.at(40, api.CallNeeded("a"))
    server.at(60, api.CallEnded("a", RunOutcome.TIMED_OUT, 20))
    assert server.actions(api.SkipCall, "a")


@pytest.mark.parametrize(("latency_objective_ms", "backoff_ms"), [(2000.0, 100.0), (275.0, 25.0)])
def test_a_call_that_never_ran_is_retried_sooner_for_short_objectives(
    latency_objective_ms: float, backoff_ms: float
) -> None:
    server = PolicyServer(
        classes=[api.RequestClass(latency_objective_ms=latency_objective_ms, client_timeout_ms=6000, calls=True)]
    )
    server.arrive(10, "a")
    server.at(20, api.CallNeeded("a"))
    server.at(30, api.CallEnded("a", RunOutcome.REJECTED, 5))
    server.at(29 + backoff_ms, api.Tick(1))
    assert len(server.actions(api.Call, "a")) == 1
    server.at(31 + backoff_ms, api.Tick(1))
    assert len(server.actions(api.Call, "a")) == 2


def test_run_whose_call_cannot_be_retried_in_time_is_failed_once() -> None:
    server = PolicyServer()
    server.arrive(10, "a", 3)
    server.at(100, api.CallNeeded("a"))
    server.at(200, api.CallEnded("a", RunOutcome.UNREACHABLE, 100))
    server.at(2100)
    assert len(server.actions(api.Fail, "a")) == 1


def test_call_limit_shrinks_as_more_calls_fail() -> None:
    server = PolicyServer()
    for n in range(12):
        server.arrive(10 + 400 * n, f"a{n}", 0)
        server.at(60 + 400 * n, api.CallNeeded(f"a{n}"))
        hangs = n in (8, 10)
        outcome = RunOutcome.TIMED_OUT if hangs else RunOutcome.OK
        server.at(160 + 400 * n, api.CallEnded(f"a{n}", outcome, 100.0))
        server.at(200 + 400 * n, api.RunEnded(f"a{n}", RunOutcome.OK, 190.0))
    limits = [call.limit_ms for call in server.actions(api.Call)]
    assert limits[5] > 1000.0
    assert 100.0 <= limits[11] < 600.0


def test_an_abandoned_call_counts_towards_the_share_for_its_linger_time() -> None:
    server = PolicyServer(shared_dependency=True, calls_share=2.0, linger_ms=1000.0, calls_over_ms=60000.0)
    for n, id in enumerate("abc"):
        server.arrive(10.0 * n, id, 3)
    server.at(40.0, api.CallNeeded("a"), api.CallNeeded("b"))
    assert {call.id for call in server.actions(api.Call)} == {"a", "b"}
    # The dependency may still process the call of request a.
    server.at(50.0, api.CallerGone("a"), api.RunEnded("a", RunOutcome.STOPPED, 50.0))
    server.at(60.0, api.CallNeeded("c"))
    assert not server.actions(api.Call, "c")
    server.at(1000.0)
    assert not server.actions(api.Call, "c")
    server.at(1100.0)  # the linger time of that call has passed
    assert server.actions(api.Call, "c")


def test_unsafe_call_is_repeated_only_when_it_never_ran() -> None:
    for outcome, repeated in (
        (RunOutcome.REJECTED, True),
        (RunOutcome.UNREACHABLE, True),
        (RunOutcome.TIMED_OUT, False),
        (RunOutcome.CUT_OFF, False),
        (RunOutcome.ERROR, False),
    ):
        server = PolicyServer()
        server.arrive(10, "u", 3)
        server.at(50, api.CallNeeded("u"))
        assert len(server.actions(api.Call, "u")) == 1
        server.at(90, api.CallEnded("u", outcome, 40))
        server.at(800)
        assert (len(server.actions(api.Call, "u")) == 2) == repeated
        assert bool(server.actions(api.Fail, "u")) != repeated
        assert not server.actions(api.Reject, "u")


def test_calls_stay_within_the_share_of_what_the_dependency_survives() -> None:
    server = PolicyServer(
        classes=[api.RequestClass(2000, 6000, calls=True, effect=api.Effect.UNSAFE)],
        shared_dependency=True,
        calls_share=2.0,
        calls_over_ms=5000,
    )
    for n in range(8):
        server.arrive(10 + n, f"r{n}")
        server.at(10 + n, *[api.CallNeeded(a.id) for a in server.actions(api.Run)])
    assert len(server.actions(api.Call)) == 2


def test_mean_of_calls_in_flight_stays_well_below_the_share() -> None:
    server = PolicyServer(classes=[api.RequestClass(20000, 60000, calls=True)], shared_dependency=True, calls_share=2.0)
    server.policy.dependency.mean_in_flight = 1.3
    server.arrive(10, "a")
    server.at(20, api.CallNeeded("a"))
    assert not server.actions(api.Call)
    server.at(9000)
    assert server.actions(api.Call)


def test_a_share_below_one_still_lets_each_core_call_but_bounds_the_mean_and_the_limit() -> None:
    server = PolicyServer(cores=2, shared_dependency=True, calls_share=0.6, calls_over_ms=5000.0)
    for n in range(2):
        server.arrive(10, f"r{n}", 0)
    server.at(20, api.CallNeeded("r0"), api.CallNeeded("r1"))
    calls = server.actions(api.Call)
    assert len(calls) == 2
    assert all(call.limit_ms <= 0.6 * 0.6 * 5000 / 2 for call in calls)
    server.at(900, *(api.CallEnded(f"r{n}", RunOutcome.OK, 880) for n in range(2)))
    server.at(901, api.CallNeeded("r0"))
    assert server.actions(api.SkipCall, "r0")


def test_run_that_reaches_its_call_past_its_objective_is_failed_and_never_calls() -> None:
    server = PolicyServer()
    server.arrive(10, "a", 3)
    server.at(2100)
    assert not server.actions(api.Fail, "a")  # it runs and may still end by itself
    out = server.at(2110, api.CallNeeded("a"))
    assert api.Fail("a") in out
    assert not server.actions(api.Call, "a")
    server.at(2120, api.RunEnded("a", RunOutcome.STOPPED, 2110))
    assert count_final_answers(server.log, "a") == 1
    assert server.policy.memory.used_kb == 0
