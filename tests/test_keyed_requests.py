"""Attempts of one request with an idempotency key: one run, whatever becomes of the first attempt."""

from __future__ import annotations

import pytest

from myrtlespar.fakes import ServerProcess, ThriftClient, until
from myrtlespar.fakes.scripted_engine import ScriptedEngine


def runs_of(engine: ScriptedEngine, body: bytes) -> int:
    return engine.starts_by_body[body]


@pytest.mark.parametrize("when", ["running", "at a call", "ended", "gone", "failed"])
def test_a_guarded_attempt_that_returns_never_runs_again(
    scripted: tuple[ServerProcess, ScriptedEngine, ThriftClient], when: str
) -> None:
    server, engine, client = scripted
    first = client.send("booking", b"seat 1", token="aa")
    until(engine.read)  # its start
    if when == "at a call":
        server.dependency.script = ["hang"]
        engine.ask(b"seat 1")
        until(engine.send_next_notice)
        until(lambda: server.dependency.calls)
    if when in ("ended", "failed"):
        engine.end(b"seat 1", "PASS" if when == "ended" else "FAIL")
        until(engine.send_next_notice)
        client.answer(first)
    if when == "gone":
        client.send_message("abort", seqid=first)
        assert client.answer(client.send_message("ping", full=False))  # read behind it, so it was taken
    other = ThriftClient(server.ports[0])
    repeat = other.send("booking", b"seat 1", token="aa", again="1")
    assert other.answer(other.send_message("ping", full=False))
    if when not in ("ended", "failed"):
        assert repeat not in other.answers  # it waits for the one run
        server.dependency.cut()
        engine.end(b"seat 1", "PASS")
        until(engine.send_next_notice)
    kind, answer = other.answer(repeat)
    assert kind == ("failed" if when == "failed" else "success")
    assert when == "failed" or answer.body == b"result of seat 1"
    assert runs_of(engine, b"seat 1") == 1
    assert not engine.read()


def test_a_guarded_attempt_that_never_began_may_run_and_one_without_its_token_may_not(
    scripted: tuple[ServerProcess, ScriptedEngine, ThriftClient],
) -> None:
    server, engine, client = scripted
    first = client.send("booking", b"seat 2", token="bb")
    until(engine.read)
    client.send_message("abort", seqid=first)
    engine.end(b"seat 2", "NOOP")  # the engine heard of the departure first: nothing was started
    until(engine.send_next_notice)
    repeat = client.send("booking", b"seat 2", token="bb", again="1")
    until(engine.read)
    engine.bodies.pop(next(iter(engine.bodies)))  # the first try's
    engine.end(b"seat 2", "PASS")
    until(engine.send_next_notice)
    assert client.answer(repeat)[0] == "success"
    # Somebody else with that token: neither is served the other's result, nor kept from its own run.
    alien = client.send("booking", b"alien", token="bb")
    until(engine.read)
    assert alien not in client.answers
    assert client.ask("booking", b"seat 3", again="1")[0] == "exception"
    assert client.ask("booking", b"seat 3", token="c" * 201)[0] == "exception"
    assert not runs_of(engine, b"seat 3")
    assert server.counters()["in.no_token.thrift"] == 1
