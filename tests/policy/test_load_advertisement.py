"""The load value that is advertised to callers."""

from myrtlespar.policy import messages as api
from myrtlespar.policy.messages import RunOutcome
from tests.policy.policy_server import PolicyServer, overloaded_server


def test_level_rises_under_overload_and_falls_after_it() -> None:
    server = overloaded_server(signal=api.LoadSignal.LEVEL)
    server.at(600)
    assert max(a.value for a in server.actions(api.Advertise)) > 0
    for step in range(60):
        running = [a.id for a in server.actions(api.Run) if a.id in server.policy.table.requests]
        server.at(600 + 100 * step, *[api.RunEnded(id, RunOutcome.OK, 100) for id in running])
    assert server.actions(api.Advertise)[-1].value < 0.1


def test_callers_are_never_asked_for_less_than_half_their_usual_traffic() -> None:
    server = overloaded_server(signal=api.LoadSignal.WEIGHT)
    for step in range(40):
        server.at(600 + 100 * step, api.Arrival(f"more {step}", 0, 20.0))
    assert min(a.value for a in server.actions(api.Advertise)) == 0.5


def test_credit_is_advertised_and_closed_on_drain() -> None:
    server = PolicyServer(signal=api.LoadSignal.CREDIT, senders=3)
    server.at(200)
    assert server.actions(api.Advertise)[-1].value > 0
    server.at(300, api.Drain(3000))
    assert server.actions(api.Advertise)[-1].value == 0
