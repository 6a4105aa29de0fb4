"""The four rules, one or more tests each."""

from myrtlespar.policy import messages as api
from myrtlespar.policy.messages import RunOutcome
from tests.helpers import Server, answers


def test_held_request_is_refused_once_by_its_due_time() -> None:
    server = Server(cores=1)
    server.arrive(10, "run", 3)
    server.arrive(20, "held", 1)
    server.at(7000)
    assert answers(server.log, "held") == 1
    assert server.said(api.Reject, "held")


def test_running_request_is_failed_at_its_due_time_and_never_refused() -> None:
    server = Server()
    server.arrive(10, "a", 3)
    assert server.said(api.Run, "a")
    server.at(6050)
    assert not server.said(api.Fail, "a") or server.now > 6010
    server.at(6110)
    assert len(server.said(api.Fail, "a")) == 1
    assert not server.said(api.Reject, "a")
    server.at(6200, api.RunEnded("a", RunOutcome.OK, 6100))
    assert answers(server.log, "a") == 1
    assert server.policy.memory == 0


def test_due_time_in_the_past_is_answered_at_once() -> None:
    server = Server()
    server.at(50)
    out = server.arrive(60, "a", 0, deadline=55.0)
    assert any(isinstance(a, api.Reject) for a in out)


def test_gone_caller_is_owed_nothing() -> None:
    server = Server(cores=1)
    server.arrive(10, "run")
    server.arrive(20, "held")
    server.at(30, api.CallerGone("held"))
    server.at(9000)
    assert answers(server.log, "held") == 0


def test_keyed_is_kept_before_it_starts_until_the_window_from_arrival() -> None:
    server = Server()
    out = server.arrive(100, "k", 2, waited_ms=40.0)
    kinds = [type(a) for a in out]
    assert kinds.index(api.Keep) < kinds.index(api.Run)
    assert server.said(api.Keep, "k")[0].for_ms >= 30000 - 40


def test_repeat_joins_the_first_try_and_is_never_run_or_refused() -> None:
    server = Server()
    server.arrive(10, "k", 2)
    server.arrive(20, "again", 2, prior="k")
    server.arrive(30, "old", 2, prior="unknown-try")
    for id in ("again", "old"):
        assert server.said(api.Reuse, id)
        assert not server.said(api.Run, id)
    server.at(8000)
    assert not server.said(api.Reject, "again")
    assert len(server.said(api.Fail, "again")) == 1


def test_key_is_forgotten_only_if_it_never_ran() -> None:
    server = Server(cores=1)
    server.arrive(10, "ran", 2)
    server.arrive(20, "held", 2)
    server.at(7000)
    assert server.said(api.Forget, "held")
    assert not server.said(api.Forget, "ran")


def test_no_room_for_a_key_means_no_run() -> None:
    server = Server(key_kb=1e9)
    server.arrive(10, "k", 2)
    assert server.said(api.Reject, "k")
    assert not server.said(api.Run, "k")


def test_unsafe_call_is_repeated_only_when_it_never_ran() -> None:
    for outcome, repeated in (
        (RunOutcome.REJECTED, True),
        (RunOutcome.UNREACHABLE, True),
        (RunOutcome.TIMED_OUT, False),
        (RunOutcome.CUT_OFF, False),
        (RunOutcome.ERROR, False),
    ):
        server = Server()
        server.arrive(10, "u", 3)
        server.at(50, api.CallNeeded("u"))
        assert len(server.said(api.Call, "u")) == 1
        server.at(90, api.CallEnded("u", outcome, 40))
        server.at(800)
        assert (len(server.said(api.Call, "u")) == 2) == repeated
        assert bool(server.said(api.Fail, "u")) != repeated
        assert not server.said(api.Reject, "u")


def test_drain_runs_nothing_that_came_past_the_grace() -> None:
    server = Server()
    server.at(100, api.Drain(5000))
    assert api.SetHealth(False, True) in server.log
    server.arrive(900, "early")
    server.arrive(1200, "late")
    server.arrive(1210, "queued", waited_ms=400.0)
    assert server.said(api.Run, "early")
    assert server.said(api.Run, "queued")
    assert server.said(api.Reject, "late")
    assert not server.said(api.Run, "late")


def test_drain_answers_everything_before_the_kill() -> None:
    server = Server(cores=1)
    server.arrive(10, "runs", 3)
    server.arrive(20, "held", 1)
    server.at(100, api.Drain(1500))
    server.at(1499)
    assert answers(server.log, "runs") == 1
    assert answers(server.log, "held") == 1


def test_memory_is_never_exceeded() -> None:
    server = Server(memory_kb=400.0, cores=4)
    for n in range(60):
        server.arrive(10 + n, f"r{n}")
        assert server.policy.memory <= 400.0
    assert len(server.said(api.Run)) <= 400 / 80


def test_crowd_stays_survivable_even_if_all_calls_return_at_once() -> None:
    server = Server(
        classes=[api.RequestClass(2000, 6000, calls=True)], cores=2, cold=True, cold_from=0.2, warm_up_ms=1e9
    )
    for n in range(100):
        server.at(10 + n, api.Arrival(f"r{n}", 0, 1.0), *[api.CallNeeded(a.id) for a in server.said(api.Run)])
    assert len(server.said(api.Run)) <= 2 * (1 + 4 * 0.2)


def test_calls_stay_within_the_share_of_what_the_dependency_survives() -> None:
    server = Server(
        classes=[api.RequestClass(2000, 6000, calls=True, effect=api.Effect.UNSAFE)],
        shared_dependency=True,
        calls_share=2.0,
        calls_over_ms=5000,
    )
    for n in range(8):
        server.arrive(10 + n, f"r{n}")
        server.at(10 + n, *[api.CallNeeded(a.id) for a in server.said(api.Run)])
    assert len(server.said(api.Call)) == 2


def test_mean_of_calls_in_hand_leaves_room_below_the_share() -> None:
    server = Server(classes=[api.RequestClass(20000, 60000, calls=True)], shared_dependency=True, calls_share=2.0)
    server.policy.calls_mean = 1.3
    server.arrive(10, "a")
    server.at(20, api.CallNeeded("a"))
    assert not server.said(api.Call)
    server.at(9000)
    assert server.said(api.Call)


def test_no_run_starts_without_room_for_its_memory() -> None:
    server = Server(memory_kb=200.0, cores=4)
    for n in range(3):
        server.arrive(10 + n, f"r{n}")
    assert len(server.said(api.Run)) == 2
    assert server.policy.memory <= 200.0


def test_a_share_below_one_still_lets_each_core_call_but_bounds_the_mean_and_the_limit() -> None:
    server = Server(cores=2, shared_dependency=True, calls_share=0.6, calls_over_ms=5000.0)
    for n in range(2):
        server.arrive(10, f"r{n}", 0)
    server.at(20, api.CallNeeded("r0"), api.CallNeeded("r1"))
    calls = server.said(api.Call)
    assert len(calls) == 2
    assert all(call.limit_ms <= 0.6 * 0.6 * 5000 / 2 for call in calls)
    server.at(900, *(api.CallEnded(f"r{n}", RunOutcome.OK, 880) for n in range(2)))
    server.at(901, api.CallNeeded("r0"))
    assert server.said(api.SkipCall, "r0")


def test_nothing_told_and_a_leaping_clock_get_ordinary_decisions() -> None:
    server = Server(
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
    owed = [id for id, job in server.policy.jobs.items() if not job.answered]
    assert set(owed) <= {"back"}
    assert len(server.policy.open_by) <= 1


def test_a_fleet_size_wrong_by_four_changes_no_rule() -> None:
    for servers in (25, 400):
        server = Server(cores=2, servers=servers, tenant_quotas=[400.0], senders=200)
        for n in range(80):
            server.arrive(10 + 25 * n, f"r{n}", 0)
        server.at(30000)
        assert all(answers(server.log, f"r{n}") == 1 for n in range(80))


def test_notice_read_after_a_stillness_counts_from_the_last_moment_awake() -> None:
    server = Server(drain_grace_ms=2000.0)
    server.at(1000)
    server.policy.handle(1460.0, [api.Drain(9000.0)])  # it may have come right after 1000
    out = server.policy.handle(3300.0, [api.Arrival("late", 0, 20.0, waited_ms=200.0)])
    assert not any(isinstance(a, api.Run) for a in out)
    assert any(isinstance(a, api.Reject) and a.id == "late" for a in out)


def test_answers_come_before_a_stillness_that_could_cover_the_kill() -> None:
    server = Server(cores=1)
    server.arrive(10, "run", 3)
    server.policy.handle(500.0, [])  # stood still for nearly half a second
    server.at(510, api.Drain(3000.0))
    server.at(3000.0 - 500.0)
    assert answers(server.log, "run") == 1


def test_second_notice_moves_nothing_later() -> None:
    server = Server(drain_grace_ms=1000.0)
    server.at(1000)
    server.at(1010, api.Drain(4000.0))
    server.at(3000, api.Drain(9000.0))
    assert server.policy.drain_at <= 1010
    assert server.policy.kill_line < 4000.0


def test_run_past_its_aim_is_failed_at_once_and_stopped() -> None:
    server = Server(can_stop=True)
    server.arrive(10, "a", 3)
    out = server.at(2015)
    assert out.index(api.Fail("a")) < out.index(api.Stop("a"))
    server.at(2020, api.RunEnded("a", RunOutcome.STOPPED, 2010))
    server.at(9000)
    assert answers(server.log, "a") == 1
    assert not server.said(api.Reject, "a")
    assert len(server.said(api.Run, "a")) == 1
    assert server.policy.memory == 0
    assert server.policy.on_core == 0


def test_run_is_never_stopped_where_that_is_not_allowed() -> None:
    server = Server()
    server.arrive(10, "a", 3)
    server.at(9000)
    assert not server.said(api.Stop)


def test_run_of_a_caller_that_left_is_stopped_and_owed_nothing() -> None:
    server = Server(can_stop=True)
    server.arrive(10, "a", 3)
    server.at(100, api.CallerGone("a"))
    server.at(110, api.RunEnded("a", RunOutcome.STOPPED, 95))
    server.at(9000)
    assert server.said(api.Stop, "a")
    assert answers(server.log, "a") == 0
    assert server.policy.elapsed[3] > 95  # a run cut short says nothing of how long runs take


def test_endings_of_what_is_held_or_over_break_nothing() -> None:
    server = Server(cores=1, can_stop=True)
    server.arrive(10, "run", 3)
    server.arrive(20, "held", 0)
    for outcome in RunOutcome:
        server.at(server.now + 1, api.RunEnded("held", outcome, 5.0))
    server.at(100, api.RunEnded("run", RunOutcome.OK, 90.0))
    for outcome in RunOutcome:
        server.at(server.now + 1, api.RunEnded("run", outcome, 5.0), api.CallEnded("run", outcome, 5.0))
    server.at(150, api.RunEnded("held", RunOutcome.OK, 40.0))
    server.at(200, api.Drain(-50.0))
    server.at(9000)
    assert answers(server.log, "held") <= 1
    assert answers(server.log, "run") == 0
    assert server.policy.memory == 0
    assert not server.policy.jobs


def test_run_that_reaches_its_call_past_its_aim_is_failed_and_never_calls() -> None:
    server = Server()
    server.arrive(10, "a", 3)
    server.at(2100)
    assert not server.said(api.Fail, "a")  # it runs, and may yet end by itself
    out = server.at(2110, api.CallNeeded("a"))
    assert api.Fail("a") in out
    assert not server.said(api.Call, "a")
    server.at(2120, api.RunEnded("a", RunOutcome.STOPPED, 2110))
    assert answers(server.log, "a") == 1
    assert server.policy.memory == 0
