"""The mechanism of the design, part by part."""

import pytest

from myrtlespar.policy import messages as api
from myrtlespar.policy.messages import RunOutcome
from tests.helpers import Server, answers


def overloaded(**changes: object) -> Server:
    """A server with all cores taken and the flag up."""
    server = Server(cores=2, **changes)
    for n in range(30):
        server.arrive(10, f"fill{n}", 0)
    assert server.policy.flag
    return server


def test_flag_rises_past_o_and_falls_only_below_a() -> None:
    server = Server(cores=2)
    server.arrive(10, "a")
    assert not server.policy.flag
    server = overloaded()
    heights = []
    now = 20.0
    while server.policy.flag:
        run = next(a.id for a in server.said(api.Run) if a.id in server.policy.jobs)
        heights.append(server.policy._wait())
        now += 10
        server.at(now, api.RunEnded(run, RunOutcome.OK, 150))
    assert server.policy._wait() < 0.5 * server.policy._overload_mark() < max(heights)


def test_costly_arrival_is_set_aside_and_refused_only_after_t1_with_advice() -> None:
    server = overloaded()
    server.arrive(20, "costly", 1)
    assert sum(server.policy.put_aside) >= 1
    assert not answers(server.log, "costly")
    server.at(300)
    assert not answers(server.log, "costly")
    server.at(1900)
    refusals = server.said(api.Reject, "costly")
    assert len(refusals) == 1
    assert refusals[0].retry_after_ms > 0


def test_t1_is_cut_to_fit_the_callers_wait() -> None:
    server = overloaded()
    server.arrive(20, "hasty", 1, deadline=700.0)
    server.at(699)
    assert server.said(api.Reject, "hasty")


def test_cheap_work_runs_first_and_set_aside_work_gets_a_forced_turn() -> None:
    server = overloaded()
    server.arrive(20, "costly", 1)
    order = []
    now = 20.0
    for n in range(12):
        run = next(a.id for a in server.said(api.Run) if a.id in server.policy.jobs)
        now += 1
        server.at(now, api.RunEnded(run, RunOutcome.OK, 150), api.Arrival(f"cheap{n}", 0, 1.0))
        order = [a.id for a in server.said(api.Run)]
    assert "costly" in order
    assert order.index("costly") > 5


def test_limit_starts_at_the_cores_and_grows_while_they_idle() -> None:
    server = Server()
    for n in range(12):
        server.arrive(10, f"r{n}")
    assert len(server.said(api.Run)) == 4
    for step in range(6):
        server.policy.handle(60.0 + 50 * step, [api.Tick(0, [0.4, 2.0, 0.0, 0.0])])
    assert 4 < server.policy.limit <= 10


def test_sojourn_bound_refuses_what_can_no_longer_meet_its_aim() -> None:
    server = Server(cores=1)
    server.arrive(10, "run", 0)
    server.arrive(11, "held", 0)
    server.at(2011)
    assert server.said(api.Reject, "held")


def test_call_waiters_do_not_count_in_the_limit() -> None:
    server = Server(cores=1)
    server.arrive(10, "a", 0)
    server.arrive(11, "b", 0)
    assert not server.said(api.Run, "b")
    server.at(40, api.CallNeeded("a"))
    assert server.said(api.Run, "b")


def test_failing_dependency_is_skipped_where_that_has_worth() -> None:
    server = Server()
    server.arrive(10, "a", 0)
    server.at(40, api.CallNeeded("a"))
    server.at(60, api.CallEnded("a", RunOutcome.TIMED_OUT, 20))
    assert server.said(api.SkipCall, "a")


def test_work_beyond_a_tenants_share_counts_as_costly() -> None:
    server = Server(tenant_quotas=[0.5, 100.0], over_quota_weight=0.05, servers=1, cores=1)
    for n in range(7):
        server.arrive(10 + n, f"flood{n}", 0, tenant=0)
    server.arrive(20, "fair", 0, tenant=1)
    assert server.policy.jobs["flood6"].over
    assert not server.policy.jobs["fair"].over


def test_hang_turns_new_work_away_until_a_run_moves() -> None:
    server = Server(classes=[api.RequestClass(2000, 60000)])
    for n in range(25):
        server.arrive(10 + 10 * n, f"seen{n}", 0)
        server.at(15 + 10 * n, api.RunEnded(f"seen{n}", RunOutcome.OK, 5))
    server.arrive(300, "a", 0)
    server.at(2500)
    assert server.policy.stalled
    server.arrive(2510, "b", 0)
    assert server.said(api.Reject, "b")
    assert not server.said(api.Reject, "b")[0].last
    server.at(2600, api.RunEnded("a", RunOutcome.OK, 2590))
    assert not server.policy.stalled


def test_level_rises_under_overload_and_falls_after_it() -> None:
    server = overloaded(signal=api.Signal.LEVEL)
    server.at(600)
    assert max(a.value for a in server.said(api.Advertise)) > 0
    for step in range(60):
        running = [a.id for a in server.said(api.Run) if a.id in server.policy.jobs]
        server.at(600 + 100 * step, *[api.RunEnded(id, RunOutcome.OK, 100) for id in running])
    assert server.said(api.Advertise)[-1].value < 0.1


def test_callers_are_never_asked_for_less_than_half_their_usual_traffic() -> None:
    server = overloaded(signal=api.Signal.WEIGHT)
    for step in range(40):
        server.at(600 + 100 * step, api.Arrival(f"more {step}", 0, 20.0))
    assert min(a.value for a in server.said(api.Advertise)) == 0.5


@pytest.mark.parametrize(("aim", "again"), [(2000.0, 100.0), (275.0, 25.0)])
def test_a_call_that_never_ran_is_made_again_sooner_for_short_aims(aim: float, again: float) -> None:
    server = Server(classes=[api.RequestClass(latency_objective_ms=aim, client_timeout_ms=6000, calls=True)])
    server.arrive(10, "a")
    server.at(20, api.CallNeeded("a"))
    server.at(30, api.CallEnded("a", RunOutcome.REJECTED, 5))
    server.at(29 + again, api.Tick(1))
    assert len(server.said(api.Call, "a")) == 1
    server.at(31 + again, api.Tick(1))
    assert len(server.said(api.Call, "a")) == 2


def test_what_is_kept_by_sender_and_request_stays_bounded() -> None:
    server = Server(reports_cancellation=True)
    for n in range(3000):
        server.arrive(10.0 * n, f"r{n}", 3, sender=n)
        server.at(10.0 * n + 5, api.CallerGone(f"r{n}"))
        server.at(10.0 * n + 6, api.RunEnded(f"r{n}", RunOutcome.OK, 6))
    policy = server.policy
    server.at(10.0 * 3000 + 7000, api.Tick(1))
    assert len(policy.patience) <= 200
    assert not policy.jobs
    assert not policy.open_by
    assert not policy.due
    assert not policy.useless
    assert not policy.waits
    assert len(policy.at_call) == 0
    assert policy.memory == pytest.approx(0.0)


def test_credit_is_advertised_and_closed_on_drain() -> None:
    server = Server(signal=api.Signal.CREDIT, senders=3)
    server.at(200)
    assert server.said(api.Advertise)[-1].value > 0
    server.at(300, api.Drain(3000))
    assert server.said(api.Advertise)[-1].value == 0


def slow_server(gap: float) -> Server:
    """One core that runs a request in 900 ms and is asked for one each `gap` ms."""
    server = Server(cores=1, servers=10, tenant_quotas=[40.0], passes_deadline=True)
    ends = 900.0
    for n in range(150):
        now = 1 + gap * n
        server.arrive(now, f"r{n}", 0, deadline=now + 3500.0)
        while ends <= now:
            running = [a.id for a in server.said(api.Run) if a.id in server.policy.jobs]
            server.at(now, *(api.RunEnded(id, RunOutcome.OK, 900) for id in running))
            ends += 900
    return server


def test_a_slow_server_lets_callers_try_others() -> None:
    refusals = slow_server(gap=400.0).said(api.Reject)
    assert any(not refusal.last for refusal in refusals)


def test_a_slow_server_that_is_asked_for_far_more_takes_all_for_busy() -> None:
    refusals = slow_server(gap=60.0).said(api.Reject)
    assert refusals[-1].last


def test_a_further_try_is_not_sent_on_again() -> None:
    server = slow_server(gap=400.0)
    now = server.now + 1
    server.arrive(now, "again", 0, deadline=now + 5000.0)
    server.arrive(now, "fresh", 0, deadline=now + 3500.0)
    assert not server.said(api.Reject, "fresh")[0].last
    server.at(now + 2000)
    assert server.said(api.Reject, "again")[0].last


def test_chance_arrivals_within_a_small_share_are_no_overrun() -> None:
    server = Server(cores=2, servers=300, tenant_quotas=[90.0])
    for n in range(3):
        server.arrive(10 + n, f"r{n}", 0)
    assert not any(server.policy.jobs[f"r{n}"].over for n in range(3))
    for n in range(40):
        server.arrive(20 + n, f"flood{n}", 0)
    assert server.policy.jobs["flood39"].over


def test_idle_connections_are_closed_early_only_where_callers_seldom_return() -> None:
    for senders, early in ((3, False), (1000, True)):
        server = Server(senders=senders, caller_idle_ms=30000.0)
        for n in range(30):
            server.arrive(10 + 100 * n, f"r{n}", 0, sender=n)
        assert [action.after_ms > 0 for action in server.said(api.CloseIdle)] == ([True] if early else [])


def test_tenant_share_follows_what_the_server_can_run() -> None:
    server = Server(tenant_quotas=[1.0, 1.0], over_quota_weight=0.05, servers=100)
    for n in range(12):
        server.arrive(10 * n, f"r{n}", 0, tenant=0)
        server.at(10 * n + 5, api.RunEnded(f"r{n}", RunOutcome.OK, 5))
    server.arrive(3000, "a", 0, tenant=0)
    server.arrive(3001, "b", 0, tenant=0)
    assert not server.policy.jobs["b"].over


def test_a_bound_that_is_hit_is_logged_and_not_too_often() -> None:
    server = Server(memory_kb=200.0)
    for n in range(40):
        server.arrive(10 + n, f"r{n}")
    told = [a.text for a in server.said(api.Log) if "memory bound hit" in a.text]
    assert len(told) == 1


def test_absurd_settings_are_handled() -> None:
    for signal in api.Signal:
        server = Server(
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
        assert all(answers(server.log, f"r{n}") == 1 for n in range(50) if not server.said(api.Run, f"r{n}"))


def test_a_storm_of_repeats_is_left_to_a_full_table() -> None:
    server = Server(cores=1, senders=1000, caller_idle_ms=30000.0)
    for n in range(200):
        server.arrive(10 + 100 * n, f"r{n}", 0, sender=n)
    assert server.policy.storm
    assert [action.after_ms > 0 for action in server.said(api.CloseIdle)] == [True, False]


def test_fewer_runs_start_while_arrivals_wait_unread() -> None:
    server = Server(cores=4)
    for n in range(12):
        server.arrive(10, f"late{n}", 0, waited_ms=1000.0)
    assert server.policy.unread_ms > server.policy._overload_mark()
    assert server.policy.on_core < 4


def reports(waited: float, gap: float, follows: bool) -> list[bool]:
    """What a server says of its health while arrivals wait unread, then no longer."""
    server = Server(cores=2, servers=10, tenant_quotas=[50.0], discovery_follows_health=follows)
    for n in range(120):
        server.arrive(10 + gap * n, f"r{n}", 0, waited_ms=waited)
    server.at(server.now + 20000)
    return [action.good for action in server.said(api.SetHealth)]


def test_a_server_that_reads_too_late_leaves_the_list_for_a_time() -> None:
    assert reports(waited=3000.0, gap=200.0, follows=True) == [True, False, True]
    assert reports(waited=50.0, gap=200.0, follows=True) == [True]
    assert reports(waited=3000.0, gap=200.0, follows=False) == [True]


def test_a_flooded_server_stays_on_the_list() -> None:
    server = Server(cores=2, servers=10, tenant_quotas=[50.0], discovery_follows_health=True)
    for n in range(120):
        server.arrive(10 + 20 * n, f"calm{n}", 0, waited_ms=1.0)
    for n in range(120):
        server.arrive(3000 + 20 * n, f"late{n}", 0, waited_ms=3000.0)
    assert [action.good for action in server.said(api.SetHealth)] == [True]


def test_one_long_run_does_not_shut_its_class_out() -> None:
    server = Server(cores=2)
    server.arrive(10, "long", 0)
    server.at(5000, api.RunEnded("long", RunOutcome.OK, 4990))
    for n in range(40):
        server.arrive(5010 + 100 * n, f"next{n}", 0)
    assert server.said(api.Run, "next39") or len(server.said(api.Run)) > 2


def test_two_long_runs_on_two_cores_are_no_hang() -> None:
    server = Server(cores=2)
    for n in range(30):
        server.arrive(10 + 500 * n, f"a{n}", 0)
        server.at(410 + 500 * n, api.RunEnded(f"a{n}", RunOutcome.OK, 400))
    server.policy.runs_seen = [30] * 4
    server.policy.elapsed = [400.0] * 4
    server.arrive(20000, "long1", 0)
    server.arrive(20001, "long2", 0)
    server.at(21500)
    assert not server.policy.stalled
    server.at(23500)
    assert server.policy.stalled


def test_stillness_of_the_process_is_neither_core_time_nor_a_queue() -> None:
    server = Server(cores=2)
    server.arrive(10, "run", 0)
    server.at(100)
    clock = server.policy.clock
    server.policy.handle(560.0, [api.Arrival("after", 0, 20.0, waited_ms=450.0)])
    assert server.policy.clock - clock <= 100.0
    assert server.policy.unread_ms < 10.0


def test_what_is_given_up_behind_a_patient_head_is_answered_at_once() -> None:
    server = Server(cores=1)
    server.arrive(10, "run", 3)
    server.arrive(20, "patient", 0, deadline=6000.0)
    server.arrive(30, "hasty", 0, deadline=700.0)
    server.at(650)
    assert answers(server.log, "hasty") == 1
    assert answers(server.log, "patient") == 0


def test_run_whose_call_cannot_come_back_in_time_is_failed_at_once() -> None:
    server = Server()
    server.arrive(10, "a", 3)
    server.at(100, api.CallNeeded("a"))
    server.at(200, api.CallEnded("a", RunOutcome.UNREACHABLE, 100))
    server.at(2100)
    assert len(server.said(api.Fail, "a")) == 1


def test_the_more_calls_fail_the_less_one_is_waited_for() -> None:
    server = Server()
    for n in range(12):
        server.arrive(10 + 400 * n, f"a{n}", 0)
        server.at(60 + 400 * n, api.CallNeeded(f"a{n}"))
        hangs = n in (8, 10)
        outcome = RunOutcome.TIMED_OUT if hangs else RunOutcome.OK
        server.at(160 + 400 * n, api.CallEnded(f"a{n}", outcome, 100.0))
        server.at(200 + 400 * n, api.RunEnded(f"a{n}", RunOutcome.OK, 190.0))
    limits = [call.limit_ms for call in server.said(api.Call)]
    assert limits[5] > 1000.0
    assert 100.0 <= limits[11] < 600.0


def test_while_most_own_runs_fail_new_work_is_sent_elsewhere_but_for_trials() -> None:
    server = Server()
    for n in range(8):
        server.arrive(10 + 10 * n, f"bad{n}", 3)
        server.at(15 + 10 * n, api.RunEnded(f"bad{n}", RunOutcome.ERROR, 3))
    server.arrive(100, "next", 3)
    refusals = server.said(api.Reject, "next")
    assert len(refusals) == 1
    assert not refusals[0].last
    assert not server.said(api.Run, "next")
    for n in range(6):
        server.arrive(700 + 600 * n, f"trial{n}", 3)
        server.at(720 + 600 * n, api.RunEnded(f"trial{n}", RunOutcome.OK, 18))
    server.arrive(4301, "well", 3)
    server.arrive(4302, "too", 3)
    assert server.said(api.Run, "well")
    assert server.said(api.Run, "too")


def test_an_abandoned_call_is_held_against_the_share_for_as_long_as_it_may_linger() -> None:
    server = Server(shared_dependency=True, calls_share=2.0, linger_ms=1000.0, calls_over_ms=60000.0)
    for n, id in enumerate("abc"):
        server.arrive(10.0 * n, id, 3)
    server.at(40.0, api.CallNeeded("a"), api.CallNeeded("b"))
    assert {call.id for call in server.said(api.Call)} == {"a", "b"}
    server.at(50.0, api.CallerGone("a"), api.RunEnded("a", RunOutcome.STOPPED, 50.0))  # its call stays below
    server.at(60.0, api.CallNeeded("c"))
    assert not server.said(api.Call, "c")
    server.at(1000.0)
    assert not server.said(api.Call, "c")
    server.at(1100.0)  # a's call may have left the dependency's hands by now
    assert server.said(api.Call, "c")
