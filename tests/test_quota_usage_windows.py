"""Usage windows: no start expires early."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from myrtlespar.quota.usage_windows import UsageWindow

SPAN_MS = 1000.0


@given(st.lists(st.floats(0, 400), max_size=200), st.integers(1, 20))
def test_no_start_expires_early_from_a_window(gaps_ms: list[float], allowance: int) -> None:
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


@given(st.lists(st.tuples(st.floats(0, 300), st.floats(0, 1500)), max_size=120), st.integers(1, 6))
def test_starts_that_are_counted_when_they_are_sent_exceed_the_allowance_in_no_window(
    starts: list[tuple[float, float]], allowance: int
) -> None:
    """A start is recorded at its admission; when it is sent, the record is replaced by a new one if there is room."""
    window = UsageWindow(SPAN_MS)
    # Time, order of events at the same time, and None for an admission or the time of the admission for a send.
    events: list[tuple[float, int, float | None]] = []
    now = 0.0
    for number, (gap_ms, delay_ms) in enumerate(starts):
        now += gap_ms
        events += [(now, 2 * number, None), (now + delay_ms, 2 * number + 1, now)]
    sent: list[float] = []
    admitted: set[float] = set()
    for at, _, admitted_at in sorted(events, key=lambda event: event[:2]):
        if admitted_at is None:
            if window.in_use(at) < allowance and at not in admitted:
                window.record(at)
                admitted.add(at)
        elif admitted_at in admitted:
            window.in_use(at)
            window.give_back(admitted_at)
            admitted.discard(admitted_at)
            if window.in_use(at) < allowance:
                window.record(at)
                sent.append(at)
    assert all(sum(first <= at < first + SPAN_MS for at in sent) <= allowance for first in sent)
    assert window.count >= 0
