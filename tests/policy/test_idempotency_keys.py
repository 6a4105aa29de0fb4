"""How long idempotency keys are remembered, and how repeats are answered."""

from myrtlespar.policy import messages as api
from tests.policy.policy_server import PolicyServer


def test_key_is_kept_before_its_request_starts_until_the_window_from_arrival() -> None:
    server = PolicyServer()
    out = server.arrive(100, "k", 2, waited_ms=40.0)
    kinds = [type(a) for a in out]
    assert kinds.index(api.KeepKey) < kinds.index(api.Run)
    assert server.actions(api.KeepKey, "k")[0].for_ms >= 30000 - 40


def test_repeat_joins_the_first_attempt_and_is_never_run_or_rejected() -> None:
    server = PolicyServer()
    server.arrive(10, "k", 2)
    server.arrive(20, "again", 2, prior="k")
    server.arrive(30, "old", 2, prior="unknown-try")
    for id in ("again", "old"):
        assert server.actions(api.ReuseResult, id)
        assert not server.actions(api.Run, id)
    server.at(8000)
    assert not server.actions(api.Reject, "again")
    assert len(server.actions(api.Fail, "again")) == 1


def test_key_is_forgotten_only_if_its_request_never_ran() -> None:
    server = PolicyServer(cores=1)
    server.arrive(10, "ran", 2)
    server.arrive(20, "held", 2)
    server.at(7000)
    assert server.actions(api.ForgetKey, "held")
    assert not server.actions(api.ForgetKey, "ran")


def test_request_is_rejected_without_memory_for_its_key() -> None:
    server = PolicyServer(key_kb=1e9)
    server.arrive(10, "k", 2)
    assert server.actions(api.Reject, "k")
    assert not server.actions(api.Run, "k")
