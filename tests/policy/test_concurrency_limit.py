"""The limits on concurrent runs."""

from myrtlespar.policy import messages as api
from tests.policy.policy_server import PolicyServer


def test_limit_starts_at_the_cores_and_grows_while_they_idle() -> None:
    server = PolicyServer()
    for n in range(12):
        server.arrive(10, f"r{n}")
    assert len(server.actions(api.Run)) == 4
    for step in range(6):
        server.policy.handle(60.0 + 50 * step, [api.Tick(0, [0.4, 2.0, 0.0, 0.0])])
    assert 4 < server.policy.concurrency.limit <= 10


def test_runs_that_wait_for_a_call_do_not_count_towards_the_limit() -> None:
    server = PolicyServer(cores=1)
    server.arrive(10, "a", 0)
    server.arrive(11, "b", 0)
    assert not server.actions(api.Run, "b")
    server.at(40, api.CallNeeded("a"))
    assert server.actions(api.Run, "b")


def test_fewer_runs_start_while_arrivals_are_read_late() -> None:
    server = PolicyServer(cores=4)
    for n in range(12):
        server.arrive(10, f"late{n}", 0, waited_ms=1000.0)
    assert server.policy.overload.read_delay_ms > server.policy.overload.overload_threshold_ms()
    assert server.policy.concurrency.on_cores < 4


def test_concurrency_stays_survivable_even_if_all_calls_return_at_once() -> None:
    server = PolicyServer(
        classes=[api.RequestClass(2000, 6000, calls=True)], cores=2, cold=True, cold_from=0.2, warm_up_ms=1e9
    )
    for n in range(100):
        server.at(10 + n, api.Arrival(f"r{n}", 0, 1.0), *[api.CallNeeded(a.id) for a in server.actions(api.Run)])
    assert len(server.actions(api.Run)) <= 2 * (1 + 4 * 0.2)


def test_stall_of_the_process_counts_neither_as_core_time_nor_as_read_delay() -> None:
    server = PolicyServer(cores=2)
    server.arrive(10, "run", 0)
    server.at(100)
    core_clock_before_ms = server.policy.concurrency.core_clock_ms
    server.policy.handle(560.0, [api.Arrival("after", 0, 20.0, waited_ms=450.0)])
    assert server.policy.concurrency.core_clock_ms - core_clock_before_ms <= 100.0
    assert server.policy.overload.read_delay_ms < 10.0
