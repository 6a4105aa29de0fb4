"""When a peer with an unanswered request is reported as silent."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlespar.state_machines.silence_watch import SilenceWatch

TIMEOUT_MS = 900.0
PERIOD_MS = 300.0


def test_a_silent_peer_with_an_unanswered_request_is_reported_after_the_timeout() -> None:
    watch = SilenceWatch(TIMEOUT_MS, PERIOD_MS)
    reported = [watch.check(number * PERIOD_MS, "first", 0.0) for number in range(1, 6)]
    assert reported == [False, False, False, True, True]


def test_a_peer_without_a_request_until_now_is_not_reported() -> None:
    watch = SilenceWatch(TIMEOUT_MS, PERIOD_MS)
    assert not any(watch.check(number * PERIOD_MS, None, 0.0) for number in range(1, 50))
    assert not watch.check(50 * PERIOD_MS, "first", 0.0)


def test_a_peer_that_answers_one_request_after_another_is_not_reported() -> None:
    watch = SilenceWatch(TIMEOUT_MS, PERIOD_MS)
    assert not any(watch.check(number * PERIOD_MS, f"request {number}", 0.0) for number in range(1, 50))


def test_anything_received_restarts_the_timeout() -> None:
    watch = SilenceWatch(TIMEOUT_MS, PERIOD_MS)
    for number in range(1, 4):
        assert not watch.check(number * PERIOD_MS, "first", 0.0)
    assert not watch.check(4 * PERIOD_MS, "first", 3.5 * PERIOD_MS)
    reported = [watch.check(number * PERIOD_MS, "first", 3.5 * PERIOD_MS) for number in range(5, 8)]
    assert reported == [False, False, True]


@pytest.mark.parametrize("suspended_ms", [PERIOD_MS, TIMEOUT_MS, 1e9])
def test_a_suspension_of_this_process_counts_as_one_period(suspended_ms: float) -> None:
    watch = SilenceWatch(TIMEOUT_MS, PERIOD_MS)
    assert not watch.check(PERIOD_MS, "first", 0.0)
    assert not watch.check(PERIOD_MS + suspended_ms, "first", 0.0)
    assert not watch.check(2 * PERIOD_MS + suspended_ms, "first", 0.0)
    assert watch.check(3 * PERIOD_MS + suspended_ms, "first", 0.0)


@given(st.lists(st.floats(min_value=0.0, max_value=5000.0), min_size=1, max_size=40))
def test_late_checks_report_silence_only_after_as_many_checks_as_fit_into_the_timeout(gaps_ms: list[float]) -> None:
    watch = SilenceWatch(TIMEOUT_MS, PERIOD_MS)
    watch.check(0.0, "first", -1.0)
    now = 0.0
    for count, gap_ms in enumerate(gaps_ms, 1):
        now += gap_ms
        if watch.check(now, "first", -1.0):
            assert count >= TIMEOUT_MS / PERIOD_MS
            assert now >= TIMEOUT_MS - 1e-6
