"""The influence of cost hints on expected costs."""

from myrtlespar.policy import messages as api
from myrtlespar.policy.messages import RunOutcome
from tests.policy.policy_server import PolicyServer


def run_with_hints(server: PolicyServer, hint_of: dict[int, float]) -> None:
    """Perform 60 runs, alternately of 50 ms with the cost hint `hint_of[0]` and of 500 ms with `hint_of[1]`."""
    now = 10.0
    for n in range(60):
        long = n % 2
        server.arrive(now, f"h{n}", 0, cost_hint_ms=hint_of[long])
        now += 500.0 if long else 50.0
        server.at(now, api.RunEnded(f"h{n}", RunOutcome.OK, 500.0 if long else 50.0))


def test_hints_count_only_as_far_as_they_have_predicted_costs() -> None:
    good = PolicyServer()
    none = PolicyServer()
    run_with_hints(good, {0: 40.0, 1: 400.0})
    run_with_hints(none, {0: 40.0, 1: 40.0})
    for server in (good, none):
        server.arrive(server.now + 1, "long", 0, cost_hint_ms=400.0)
    assert good.policy.table.requests["long"].relative_cost > 1.4
    assert none.policy.table.requests["long"].relative_cost <= 1.1


def test_invalid_or_extreme_hints_have_no_effect() -> None:
    server = PolicyServer()
    for n, hint in enumerate((0.0, -5.0, float("inf"), float("nan"), 1e300)):
        server.arrive(10 + n, f"a{n}", 0, cost_hint_ms=hint)
        assert server.policy.table.requests[f"a{n}"].relative_cost == 1.0
