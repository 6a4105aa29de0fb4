"""The request tracker: late, rejected and followed attempts get the right answer and free their keys."""

from __future__ import annotations

from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.policy.messages import RunOutcome
from myrtlespar.state_machines.attempts import AttemptAction
from myrtlespar.state_machines.idempotency_keys import IdempotencyKeyTable
from myrtlespar.state_machines.process import ProcessLifecycle
from myrtlespar.state_machines.request_effects import RequestTrackerSettings
from myrtlespar.state_machines.request_tracker import RequestTracker

REFUSED = Answer(AnswerKind.REFUSED)


def new_tracker() -> RequestTracker:
    """Return a tracker of two request classes, of which the second is effectful."""
    return RequestTracker(
        RequestTrackerSettings((6000.0, 4000.0), (False, True), 60.0, 500.0),
        IdempotencyKeyTable(4, 60000.0, 8, 4096),
        ProcessLifecycle(3000.0, 1000.0, 50.0, 300.0, 50.0),
    )


def effectful_attempt(id: str = "a", key: str = "", arrived_at: float = 0.0) -> Exchange:
    """Return an attempt of the effectful request class."""
    exchange = Exchange(id, "thrift", 1, b"", arrived_at, lambda exchange, answer: None)
    exchange.key = key
    return exchange


def test_an_attempt_that_the_policy_never_decides_on_fails_and_can_not_start_later() -> None:
    tracker = new_tracker()
    tracker.submit(effectful_attempt(key="k"))
    assert [effect.action for effect in tracker.fail_overdue(4060.0)] == [
        AttemptAction.DELIVER,
        AttemptAction.TELL_GONE,
    ]
    assert tracker.start("a", 4061.0) == []
    assert not tracker.requests
    assert not tracker.keys.entries
    assert tracker.unanswered == 0


def test_a_started_attempt_that_the_policy_rejects_fails() -> None:
    tracker = new_tracker()
    tracker.submit(effectful_attempt())
    tracker.start("a", 1.0)
    answer = tracker.reject("a", REFUSED, 2.0)[0].answer
    assert answer is not None
    assert answer.kind is AnswerKind.FAILED


def test_a_start_after_the_grace_period_is_rejected() -> None:
    tracker = new_tracker()
    tracker.process.begin_graceful_shutdown(0.0)
    for id, arrived_at, action in (("a", 1000.0, AttemptAction.START_RUN), ("b", 1001.0, AttemptAction.DELIVER)):
        tracker.submit(effectful_attempt(id, arrived_at=arrived_at))
        assert tracker.start(id, arrived_at)[0].action is action


def test_a_follower_becomes_the_owner_and_the_others_share_its_outcome() -> None:
    tracker = new_tracker()
    attempts = [effectful_attempt(id, "k") for id in "abc"]
    for attempt in attempts:
        tracker.submit(attempt)
    assert [effect.action for effect in tracker.caller_gone(attempts[0])] == [
        AttemptAction.TELL_ARRIVAL,
        AttemptAction.TELL_GONE,
    ]
    tracker.start("b", 1.0)
    effects = tracker.run_ended("b", RunOutcome.OK, 5.0, Answer(AnswerKind.SERVED, b"done"), 6.0)
    assert [
        (effect.exchange.id, effect.answer.body)
        for effect in effects
        if effect.answer and effect.action is AttemptAction.DELIVER
    ] == [("b", b"done"), ("c", b"done")]
