"""Repeats of requests with a key that reach a replacement before the old process has handed over its keys."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from myrtlespar.exchange import Answer, AnswerKind
from myrtlespar.fakes import FakeGateway, ServerProcess, ThriftClient, server_process, until
from myrtlespar.policy.messages import RunOutcome
from myrtlespar.state_machines.attempts import AttemptAction, AttemptState
from myrtlespar.state_machines.request_effects import RequestEffect
from myrtlespar.state_machines.request_tracker import RequestTracker
from tests.ajp_operator_file import AJP_OPERATOR_FILE
from tests.conftest import HandoverFolders
from tests.request_classes import KEYED_SETTINGS, KEYS_ENABLED, MARKED_SETTINGS
from tests.test_request_tracker import effectful_attempt, new_tracker

SLOW = b"ms=1500 slow"
KEY_ID = (1, "k")
SERVED = Answer(AnswerKind.SERVED, b"done")


@contextmanager
def replacement(folders: HandoverFolders, **more: Any) -> Iterator[tuple[ServerProcess, ServerProcess]]:
    """An old process and its replacement, which don't share their address, so that a test chooses between them."""
    shared = {"mgmt": True, "shared": folders.shared, **more}
    with server_process(folders.old, **shared) as old, server_process(folders.new, **shared) as new:
        yield old, new


@pytest.mark.parametrize(
    ("given", "operator", "first", "again"),
    [
        (MARKED_SETTINGS, "", {"token": "t"}, {"token": "t", "again": "1"}),
        (KEYED_SETTINGS, "", {"token": "t"}, {"token": "t", "again": "1"}),
        (KEYED_SETTINGS, KEYS_ENABLED, {"key": "t", "token": "t"}, {"key": "t", "token": "t", "again": "1"}),
    ],
)
@pytest.mark.parametrize(("end", "expected"), [("PASS", "success"), ("FAIL", "failed")])
def test_a_repeat_of_an_order_that_the_old_process_runs_gets_its_outcome(
    handover_folders: HandoverFolders,
    given: dict[str, Any],
    operator: str,
    first: dict[str, str],
    again: dict[str, str],
    end: str,
    expected: str,
) -> None:
    """Guards against a repeat that the replacement rejects: its client runs the order again on another server."""
    body = SLOW + b" end=" + end.encode()
    with replacement(handover_folders, given=given, operator=operator) as (old, new):
        old_client = ThriftClient(old.ports[0])
        number = old_client.send("booking", body, **first)
        until(lambda: old.engine.starts_by_body[body], "the run")
        old_client.send("tide", b"ms=2500")  # the old process stays until the order has ended
        old_client.send_message("abort", seqid=number)
        repeats = [ThriftClient(new.ports[0]) for _ in range(3)]
        numbers = [client.send("booking", body, **again) for client in repeats]
        old.process.terminate()
        for client, number in zip(repeats, numbers, strict=True):
            assert client.answer(number)[0] == expected
        assert not new.engine.starts_by_body[body]


def test_a_repeat_without_a_mark_waits_too_if_the_fronts_share_their_keys(handover_folders: HandoverFolders) -> None:
    """Guards against the same over AJP, whose gateways mark no repeats, and over Thrift beside it."""
    with replacement(handover_folders, operator=AJP_OPERATOR_FILE) as (old, new):
        gateway = FakeGateway(old.ports[1])
        gateway.forward("/order", SLOW, Idempotency_Key="k-1")
        until(lambda: old.engine.starts_by_body[SLOW], "the run")
        gateway.sock.close()
        ThriftClient(old.ports[0]).send("fetch", b"ms=2500")  # the old process stays until the order has ended
        over_ajp = FakeGateway(new.ports[1])
        over_ajp.forward("/order", SLOW, Idempotency_Key="k-1")
        over_thrift = ThriftClient(new.ports[0])
        number = over_thrift.send("order", SLOW, idem="k-1")
        old.process.terminate()
        assert over_ajp.answer()[0] == 200
        assert over_thrift.answer(number)[0] == "success"
        assert not new.engine.starts_by_body[SLOW]


def test_a_repeat_of_an_order_that_never_ran_runs_once_the_keys_have_arrived(handover_folders: HandoverFolders) -> None:
    with replacement(handover_folders, given=MARKED_SETTINGS) as (old, new):
        client = ThriftClient(new.ports[0])
        assert client.ask("booking", b"seat 1", token="t")[0] == "refused"  # a first attempt has certainly not run
        number = client.send("booking", b"seat 1", token="t", again="1")
        assert client.ask("tide")[0] == "success"
        assert number not in client.answers
        old.process.terminate()
        assert client.answer(number)[0] == "success"
        assert new.engine.starts_by_body[b"seat 1"] == 1


def test_a_repeat_beyond_the_open_requests_of_a_connection_is_not_rejected(handover_folders: HandoverFolders) -> None:
    """Guards against a rejection that the front gives without a look at the key."""
    with server_process(handover_folders.old, given=MARKED_SETTINGS) as server:
        client = ThriftClient(server.ports[0])
        assert client.ask("booking", b"seat 1", token="t")[0] == "success"
        for _ in range(32):
            client.send("tide", b"ms=2000")
        assert client.ask("booking", b"seat 1", token="t", again="1")[0] in ("success", "failed")
        assert client.ask("booking", b"seat 2", token="u")[0] == "refused"


def waiting_tracker(attempts: int = 1, key: str = "k") -> RequestTracker:
    """Return the tracker of a replacement with attempts that wait for the keys of the old process."""
    tracker = new_tracker()
    tracker.keys.awaiting_handover = True
    for number in range(attempts):
        exchange = effectful_attempt(f"a{number}", key)
        exchange.may_have_run = True
        tracker.submit(exchange)
    return tracker


def delivered_kinds(effects: list[RequestEffect]) -> list[AnswerKind]:
    return [effect.answer.kind for effect in effects if effect.action is AttemptAction.DELIVER and effect.answer]


def test_waiting_attempts_get_the_imported_outcome() -> None:
    tracker = waiting_tracker(attempts=3)
    assert delivered_kinds(tracker.import_outcome(KEY_ID, SERVED, 5000.0, 1.0)) == [AnswerKind.SERVED] * 3
    assert not tracker.end_wait_for_handover(keys_arrived=True, now=1.0)
    assert not tracker.requests


def test_one_of_the_waiting_attempts_is_admitted_if_the_key_is_not_imported() -> None:
    tracker = waiting_tracker(attempts=3)
    effects = tracker.end_wait_for_handover(keys_arrived=True, now=1.0)
    assert [effect.action for effect in effects] == [AttemptAction.TELL_ARRIVAL]
    assert tracker.requests["a0"].state == AttemptState.HELD
    assert [tracker.requests[id].state for id in ("a1", "a2")] == [AttemptState.FOLLOWING] * 2


def test_waiting_attempts_fail_if_the_keys_are_lost() -> None:
    """Guards against a run of an attempt that arrived while a key was valid whose process was killed."""
    tracker = waiting_tracker(attempts=3)
    effects = tracker.end_wait_for_handover(keys_arrived=False, now=1.0)
    assert delivered_kinds(effects) == [AnswerKind.FAILED] * 3
    assert not tracker.keys.entries


def test_waiting_attempts_fail_at_their_due_time_and_free_their_key() -> None:
    tracker = waiting_tracker(attempts=2)
    assert delivered_kinds(tracker.fail_overdue(4000.0)) == [AnswerKind.FAILED] * 2
    assert not tracker.keys.entries
    assert tracker.unanswered == 0


def test_too_many_awaited_keys_fail_and_are_not_rejected() -> None:
    tracker = waiting_tracker()
    tracker.keys.max_awaited = 1
    exchange = effectful_attempt("b", "other")
    exchange.may_have_run = True
    assert delivered_kinds(tracker.submit(exchange) or []) == [AnswerKind.FAILED]


def test_a_full_file_is_imported_beside_awaited_keys() -> None:
    """Guards against keys that find no place because attempts wait for others."""
    tracker = waiting_tracker(key="awaited")
    for number in range(tracker.keys.capacity):
        tracker.import_outcome((1, f"k{number}"), SERVED, 5000.0 + number, 1.0)
    tracker.end_wait_for_handover(keys_arrived=True, now=1.0)
    for number in range(tracker.keys.capacity):
        attempt = effectful_attempt(f"b{number}", f"k{number}")
        assert delivered_kinds(tracker.submit(attempt) or []) == [AnswerKind.SERVED]


def test_an_attempt_that_arrived_before_its_key_expired_gets_its_outcome() -> None:
    """Guards against keys that expire in the old process, or on their way, while an attempt waits for them."""
    old = new_tracker()
    old.submit(effectful_attempt("a", "k"))
    old.start("a", 0.0)
    old.keys.keeps_expired = True  # as while a replacement waits
    old.run_ended("a", outcome=RunOutcome.OK, elapsed_ms=1.0, answer=SERVED, now=1.0)
    old.fail_overdue(100_000.0)
    [(key_id, answer, expires_at)] = old.keys_to_hand_over(100_000.0)
    assert expires_at < 100_000.0
    new = waiting_tracker()
    assert delivered_kinds(new.import_outcome(key_id, answer, expires_at, 100_000.0)) == [AnswerKind.SERVED]
    old.keys.keeps_expired = False
    old.fail_overdue(100_000.0)
    assert not old.keys.entries
