"""The bound of the retry budget."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from myrtlespar.quota.retry_budget import RetryBudget, RetryBudgetSettings


@given(st.lists(st.sampled_from(["first", "retry", "rejected"]), max_size=400), st.floats(0, 2), st.integers(1, 9))
def test_accepted_retries_stay_within_the_budget(events: list[str], share: float, burst: int) -> None:
    settings = RetryBudgetSettings(share, burst)
    budget = RetryBudget(settings)
    first_attempts = 0
    accepted_retries = 0
    for number, event in enumerate(events):
        if event == "rejected":
            budget.may_retry(number * 10.0)
            continue
        is_retry = event == "retry"
        first_attempts += not is_retry
        is_accepted = budget.record_attempt(is_retry)
        accepted_retries += is_accepted and is_retry
        assert accepted_retries <= settings.max_retries(first_attempts, 1) + 1e-6
