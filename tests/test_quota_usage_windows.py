"""Counters of usage: no start leaves a window early."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from myrtlespar.quota.usage_windows import UsageWindow

SPAN_MS = 1000.0


@given(st.lists(st.floats(0, 400), max_size=200), st.integers(1, 20))
def test_a_window_forgets_no_start_early(gaps_ms: list[float], allowance: int) -> None:
    window = UsageWindow(SPAN_MS)
    now = 0.0
    starts: list[float] = []
    for gap_ms in gaps_ms:
        now += gap_ms
        if window.in_use(now) < allowance:
            window.record(now)
            starts.append(now)
            assert sum(at > now - SPAN_MS for at in starts) <= allowance
        else:
            assert window.available_at(now, allowance) > now
