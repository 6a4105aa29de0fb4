"""The limits on memory."""

from myrtlespar.policy import messages as api
from tests.policy.policy_server import PolicyServer


def test_memory_limit_that_is_reached_is_logged_and_not_too_often() -> None:
    server = PolicyServer(memory_kb=200.0)
    for n in range(40):
        server.arrive(10 + n, f"r{n}")
    lines = [a.text for a in server.actions(api.Log) if "memory bound hit" in a.text]
    assert len(lines) == 1


def test_memory_is_never_exceeded() -> None:
    server = PolicyServer(memory_kb=400.0, cores=4)
    for n in range(60):
        server.arrive(10 + n, f"r{n}")
        assert server.policy.memory.used_kb <= 400.0
    assert len(server.actions(api.Run)) <= 400 / 80


def test_no_run_starts_without_memory_for_it() -> None:
    server = PolicyServer(memory_kb=200.0, cores=4)
    for n in range(3):
        server.arrive(10 + n, f"r{n}")
    assert len(server.actions(api.Run)) == 2
    assert server.policy.memory.used_kb <= 200.0
