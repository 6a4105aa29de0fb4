"""The checks of fleet limits report each violation and nothing else."""

from __future__ import annotations

from myrtlespar.fleet_tests.limit_invariants import check_limits
from myrtlespar.quota.settings import GrantSettings, Limit

DAY_MS = 86_400_000.0
SETTINGS = GrantSettings()


def test_one_start_too_many_is_reported_and_nothing_else() -> None:
    limits = {"x": Limit(per_s=3.0, cls="order")}
    starts_ms = (0, 10, 20, 1000, 1010, 1020)
    runs = [(b"order n=%d" % n, 1000.0 + at, 1010.0 + at) for n, at in enumerate(starts_ms)]
    broken, figures = check_limits(limits, runs, SETTINGS, 0.0, 3000.0, 0.0, {})
    assert broken == []
    assert figures["x"]["most"] == 3
    assert figures["x"]["started"] == 6
    broken, _ = check_limits(limits, [*runs, (b"order n=9", 1005.0, 1006.0)], SETTINGS, 0.0, 3000.0, 0.0, {})
    assert len(broken) == 1
    assert "4 of x" in broken[0]
    assert check_limits(limits, [(b"render", 1000.0, 1.0)] * 9, SETTINGS, 0.0, 3000.0, 0.0, {})[0] == []


def test_one_run_too_many_at_once_is_reported() -> None:
    limits = {"y": Limit(at_once=2)}
    runs = [(b"render a", 0.0, 50.0), (b"render b", 10.0, 50.0), (b"render c", 50.0, 60.0)]
    assert check_limits(limits, runs, SETTINGS, 0.0, 100.0, 0.0, {})[0] == []
    assert check_limits(limits, [*runs, (b"render d", 20.0, 30.0)], SETTINGS, 0.0, 100.0, 0.0, {})[0] != []


def test_a_budget_that_is_spent_twice_is_reported() -> None:
    limits = {"x": Limit(per_day=3, cls="order")}
    runs = [(b"order n=%d" % n, 5 * DAY_MS + 1000.0 * n, 5 * DAY_MS + 1000.0 * n + 5) for n in range(1, 4)]
    assert check_limits(limits, runs, SETTINGS, 5 * DAY_MS, 6 * DAY_MS, 250.0, {})[0] == []
    for at, is_broken in ((5 * DAY_MS + 9e6, True), (6 * DAY_MS + 9e6, False)):
        more_runs = [*runs, (b"order n=9", at, at + 5)]
        broken, _ = check_limits(limits, more_runs, SETTINGS, 5 * DAY_MS, 7 * DAY_MS, 250.0, {})
        assert bool(broken) is is_broken
