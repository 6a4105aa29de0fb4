"""When the next batch of the request coordinator is due, and what happens when the policy raises an exception."""

from __future__ import annotations

import time

import pytest

from myrtlespar.coordinator.tick_schedule import TickSchedule
from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.fakes import settings
from myrtlespar.policy.messages import RunOutcome
from myrtlespar.policy.settings_reader import read_settings
from myrtlespar.request_coordinator import RequestCoordinator
from myrtlespar.resource_limits import ResourceLimits
from myrtlespar.runtime.counters import Counters
from myrtlespar.state_machines.attempts import AttemptState


@pytest.mark.parametrize(
    ("gauges_requested", "tick_at", "next_batch_at"),
    [(False, 1040.0, 1000.0), (False, 1003.0, 999.0), (True, 1003.0, 1000.0), (True, 990.0, 990.0)],
)
def test_the_next_batch_is_no_earlier_than_something_is_due(
    gauges_requested: bool, tick_at: float, next_batch_at: float
) -> None:
    coordinator = RequestCoordinator(read_settings(settings()), 1, ResourceLimits(), Counters())
    coordinator._next_overdue_check_at = 1000.0
    coordinator._ticks = TickSchedule(tick_at, coordinator.limits.gauge_lead_ms)
    coordinator._ticks.gauges_requested = gauges_requested
    assert coordinator._next_batch_at() == next_batch_at


def test_requests_are_answered_when_the_policy_raises_an_exception(monkeypatch: pytest.MonkeyPatch) -> None:
    coordinator = RequestCoordinator(read_settings(settings()), 1, ResourceLimits(), Counters())
    answers = []

    def failing_handle(now: float, events: object) -> None:
        raise ValueError("raised by the test")

    monkeypatch.setattr(coordinator.policy, "handle", failing_handle)
    arrived = time.time() * 1000 - 4500
    late = Exchange("a", "thrift", 2, b"", arrived, lambda _, answer: answers.append(answer.kind))
    assert coordinator.submit(late)
    coordinator._process_batch()
    assert answers == [AnswerKind.FAILED]
    assert coordinator.tracker.unanswered == 0
    assert coordinator.counters.report()["core.fault"] == 1
    coordinator.run_ended("a", RunOutcome.OK, 1.0, Answer(AnswerKind.SERVED))
    assert len(answers) == 1
    assert late.state == AttemptState.OVER
