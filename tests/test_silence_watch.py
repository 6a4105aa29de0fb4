"""When a peer that owes an answer counts as silent."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlespar.state_machines.silence_watch import SilenceWatch

TIMEOUT_MS = 900.0
PERIOD_MS = 300.0


def test_a_peer_that_owes_an_answer_is_reported_after_the_timeout() -> None:
    watch = SilenceWatch(TIMEOUT_MS, PERIOD_MS)
    reported = [watch.check(number * PERIOD_MS, "first", 0.0) for number in range(1, 6)]
    assert reported == [False, False, False, True, True]


def test_a_peer_that_was_asked_nothing_until_now_is_not_reported() -> None:
    watch = SilenceWatch(TIMEOUT_MS, PERIOD_MS)
    assert not any(watch.check(number * PERIOD_MS, None, 0.0) for number in range(1, 50))
    assert not watch.check(50 * PERIOD_MS, "first", 0.0)


def test_a_peer_that_answers_one_request_after_another_is_not_reported() -> None:
    watch = SilenceWatch(TIMEOUT_MS, PERIOD_MS)
    assert not any(watch.check(number * PERIOD_MS, f"request {number}", 0.0) for number in range(1, 50))


def test_anything_that_was_heard_begins_the_silence_anew() -> None:
    watch = SilenceWatch(TIMEOUT_MS, PERIOD_MS)
    for number in range(1, 4):
        assert not watch.check(number * PERIOD_MS, "first", 0.0)
    assert not watch.check(4 * PERIOD_MS, "first", 3.5 * PERIOD_MS)
    reported = [watch.check(number * PERIOD_MS, "first", 3.5 * PERIOD_MS) for number in range(5, 8)]
    assert reported == [False, False, True]


@pytest.mark.parametrize("standstill_ms", [PERIOD_MS, TIMEOUT_MS, 1e9])
def test_a_standstill_counts_as_one_period(standstill_ms: float) -> None:
    watch = SilenceWatch(TIMEOUT_MS, PERIOD_MS)
    assert not watch.check(PERIOD_MS, "first", 0.0)
    assert not watch.check(PERIOD_MS + standstill_ms, "first", 0.0)
    assert not watch.check(2 * PERIOD_MS + standstill_ms, "first", 0.0)
    assert watch.check(3 * PERIOD_MS + standstill_ms, "first", 0.0)


@given(st.lists(st.floats(min_value=0.0, max_value=5000.0), min_size=1, max_size=40))
def test_however_late_the_checks_are_silence_needs_as_many_of_them_as_fit_the_timeout(gaps_ms: list[float]) -> None:
    watch = SilenceWatch(TIMEOUT_MS, PERIOD_MS)
    watch.check(0.0, "first", -1.0)
    now = 0.0
    for count, gap_ms in enumerate(gaps_ms, 1):
        now += gap_ms
        if watch.check(now, "first", -1.0):
            assert count >= TIMEOUT_MS / PERIOD_MS
            assert now >= TIMEOUT_MS - 1e-6
