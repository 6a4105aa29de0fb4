"""Attempts of one request are linked over both fronts, by the operator's key and by the platform's token."""

from __future__ import annotations

import itertools
import socket
import struct
from pathlib import Path
from typing import Any

import pytest

from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.fakes import FakeGateway, ServerProcess, ThriftClient, server_process, until
from myrtlespar.net.operator_keys import MAX_KEY_CHARS, operator_key
from myrtlespar.policy.messages import RunOutcome
from myrtlespar.state_machines.attempts import AttemptAction
from myrtlespar.state_machines.request_tracker import RequestTracker
from tests.ajp_operator_file import AJP_OPERATOR_FILE
from tests.request_classes import class_settings
from tests.test_request_tracker import effectful_attempt, new_tracker

BODY = b"ms=600 order"
RESET = struct.pack("ii", 1, 0)  # SO_LINGER with no time: the close resets the connection


def class_settings_with(effect: str) -> dict[str, Any]:
    """Return settings in which orders have this effect."""
    rows = (("render", "free", 4000.0), ("fetch", "free", 4000.0), ("order", effect, 4000.0))
    return {"settings": class_settings(*rows)}


GUARDED = class_settings_with("guarded")


def leave(sock: socket.socket, reset: bool) -> None:
    """Close a connection by FIN or by RST."""
    if reset:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


def wait_for_run(server: ServerProcess) -> None:
    until(lambda: server.engine.starts_by_body[BODY], "the run")


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("again", [{}, {"again": "1"}])
@pytest.mark.parametrize("token", [{}, {"token": "t"}])
def test_a_guarded_order_whose_gateway_broke_is_not_run_again_over_thrift(
    tmp_path: Path, reset: bool, again: dict[str, str], token: dict[str, str]
) -> None:
    """Guards against a guarded class that ignores the operator's key over Thrift and goes by the token alone."""
    with server_process(tmp_path, operator=AJP_OPERATOR_FILE, given=GUARDED) as server:
        gateway = FakeGateway(server.ports[1])
        gateway.forward("/order", BODY, Idempotency_Key="k-1")
        wait_for_run(server)
        leave(gateway.sock, reset)
        client = ThriftClient(server.ports[0])
        for _ in range(2):  # during the run, and after it
            kind, answer = client.ask("order", BODY, idem="k-1", **token, **again)
            assert (kind, answer.body) == ("success", b"result of " + BODY)
        assert client.ask("order", BODY, idem="k-2", token="t-2")[0] == "success"
        assert server.engine.starts_by_body[BODY] == 2


@pytest.mark.parametrize("reset", [False, True])
def test_a_guarded_order_whose_client_proxy_left_is_not_run_again_over_ajp(tmp_path: Path, reset: bool) -> None:
    with server_process(tmp_path, operator=AJP_OPERATOR_FILE, given=GUARDED) as server:
        client = ThriftClient(server.ports[0])
        client.send("order", BODY, idem="k-1", token="t")
        wait_for_run(server)
        leave(client.sock, reset)
        assert FakeGateway(server.ports[1]).ask("/order", BODY, Idempotency_Key="k-1")[2] == b"result of " + BODY
        # A further try that carries only the token, and one whose token is new, are the same order too.
        second = ThriftClient(server.ports[0])
        assert second.ask("order", BODY, token="t", again="1")[0] == "success"
        assert second.ask("order", BODY, idem="k-1", token="t-2", again="1")[0] == "success"
        assert server.engine.starts_by_body[BODY] == 1


@pytest.mark.parametrize("effect", ["guarded", "single_shot"])
@pytest.mark.parametrize("key", ["käse-µ", " k-1\t", "x" * 500, "k 1"])
def test_a_key_is_the_same_on_both_fronts(tmp_path: Path, effect: str, key: str) -> None:
    """Guards against a key that each front reads in its own way, so that its order runs once for each."""
    with server_process(tmp_path, operator=AJP_OPERATOR_FILE, given=class_settings_with(effect)) as server:
        gateway = FakeGateway(server.ports[1])
        assert gateway.ask("/order", BODY, Idempotency_Key=key)[0] == 200
        client = ThriftClient(server.ports[0])
        assert client.ask("order", BODY, idem=key, token="t")[0] == "success"
        assert server.engine.starts_by_body[BODY] == 1
        assert client.ask("order", BODY, idem=key + "2", token="u")[0] == "success"
        assert server.engine.starts_by_body[BODY] == 2


def test_long_keys_that_differ_only_at_their_end_stay_different() -> None:
    """Guards against keys that are cut: the second order got the result of the first."""
    keys = {operator_key(b"k" * length) for length in range(1, 400)}
    assert len(keys) == 399
    assert max(len(key) for key in keys) == MAX_KEY_CHARS
    assert operator_key(b"k" * 300 + b"1") != operator_key(b"k" * 300 + b"2")


def attempt(number: int, key: str, other_key: str = "") -> Exchange:
    exchange = effectful_attempt(f"a{number}", key)
    exchange.other_key = other_key
    return exchange


def starts(tracker: RequestTracker, exchange: Exchange) -> bool:
    """Submit an attempt, and start it if the policy is told of it. Returns whether it started."""
    effects = tracker.submit(exchange) or []
    is_told = any(effect.action is AttemptAction.TELL_ARRIVAL for effect in effects)
    return is_told and any(effect.action is AttemptAction.START_RUN for effect in tracker.start(exchange.id, 1.0))


# The keys of attempts of one request: the operator's key k, the token t, or both.
ATTEMPTS = (("k", ""), ("t", ""), ("k", "t"))


@pytest.mark.parametrize("later", list(itertools.product(ATTEMPTS, repeat=2)))
@pytest.mark.parametrize("ends", [False, True])
def test_attempts_that_share_a_key_with_a_run_do_not_run(later: list[tuple[str, str]], ends: bool) -> None:
    tracker = new_tracker()
    assert starts(tracker, attempt(0, "k", "t"))
    if ends:
        tracker.run_ended("a0", RunOutcome.OK, 1.0, Answer(AnswerKind.SERVED, b"done"), 2.0)
    for number, keys in enumerate(later, 1):
        assert not starts(tracker, attempt(number, *keys))
    if ends:
        assert {key_id for key_id, _, _ in tracker.keys_to_hand_over(2.0)} == {(1, "k"), (1, "t")}
        tracker.fail_overdue(100_000.0)
        assert not tracker.keys.entries
        assert not tracker.keys.main_ids
        assert starts(tracker, attempt(9, "t"))


@pytest.mark.parametrize("first", ["k", "t"])
def test_a_link_that_a_repeat_brings_is_kept(first: str) -> None:
    """The first attempt has one key, the second one both, and the third one only the other."""
    tracker = new_tracker()
    other = "t" if first == "k" else "k"
    assert starts(tracker, attempt(0, first))
    assert not starts(tracker, attempt(1, "k", "t"))
    assert not starts(tracker, attempt(2, other))


def test_an_attempt_whose_keys_belong_to_two_runs_starts_for_neither() -> None:
    tracker = new_tracker()
    assert starts(tracker, attempt(0, "k"))
    assert starts(tracker, attempt(1, "t"))
    assert not starts(tracker, attempt(2, "k", "t"))
    tracker.run_ended("a0", RunOutcome.MOOT, 1.0, Answer(AnswerKind.REFUSED), 2.0)
    assert "a2" not in tracker.requests  # it does not wait for one of them, which could make it the owner


def test_a_request_is_known_under_few_further_keys() -> None:
    """Guards against a client whose attempts have ever new tokens, and make the table grow."""
    tracker = new_tracker()
    assert starts(tracker, attempt(0, "k", "t"))
    for number in range(1, 200):
        assert not starts(tracker, attempt(number, "k", f"t{number}"))
    assert len(tracker.keys.main_ids) < 10
