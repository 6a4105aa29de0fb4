"""Attempts of one request with an idempotency key: it runs once, however the first attempt ends."""

from __future__ import annotations

import pytest

from myrtlespar.fakes import ServerProcess, ThriftClient, until
from myrtlespar.fakes.scripted_engine import ScriptedEngine


def runs_of(engine: ScriptedEngine, body: bytes) -> int:
    return engine.starts_by_body[body]


@pytest.mark.parametrize("when", ["running", "at a call", "ended", "gone", "failed"])
def test_a_retry_with_the_same_key_never_runs_again(
    scripted: tuple[ServerProcess, ScriptedEngine, ThriftClient], when: str
) -> None:
    server, engine, client = scripted
    first = client.send("booking", b"seat 1", token="aa")
    until(engine.read)  # reads the start command
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
        assert client.answer(client.send_message("ping", full=False))  # answered, so the abort before it has been read
    other = ThriftClient(server.ports[0])
    repeat = other.send("booking", b"seat 1", token="aa", again="1")
    assert other.answer(other.send_message("ping", full=False))
    if when not in ("ended", "failed"):
        assert repeat not in other.answers  # it waits for the run of the first attempt
        server.dependency.cut()
        engine.end(b"seat 1", "PASS")
        until(engine.send_next_notice)
    kind, answer = other.answer(repeat)
    assert kind == ("failed" if when == "failed" else "success")
    assert when == "failed" or answer.body == b"result of seat 1"
    assert runs_of(engine, b"seat 1") == 1
    assert not engine.read()


def test_a_retry_may_run_if_the_first_attempt_never_began_and_its_token_is_valid(
    scripted: tuple[ServerProcess, ScriptedEngine, ThriftClient],
) -> None:
    server, engine, client = scripted
    first = client.send("booking", b"seat 2", token="bb")
    until(engine.read)
    client.send_message("abort", seqid=first)
    engine.end(b"seat 2", "NOOP")  # the engine learned first that the client had gone: nothing was started
    until(engine.send_next_notice)
    repeat = client.send("booking", b"seat 2", token="bb", again="1")
    until(engine.read)
    engine.bodies.pop(next(iter(engine.bodies)))  # forget the first attempt, as `end` finds a run by its body
    engine.end(b"seat 2", "PASS")
    until(engine.send_next_notice)
    assert client.answer(repeat)[0] == "success"
    # Another request with the same token: it neither gets the result of the first one nor is kept from running.
    other = client.send("booking", b"another request", token="bb")
    until(engine.read)
    assert other not in client.answers
    assert client.ask("booking", b"seat 3", again="1")[0] == "exception"
    assert client.ask("booking", b"seat 3", token="c" * 201)[0] == "exception"
    assert not runs_of(engine, b"seat 3")
    assert server.counters()["in.no_token.thrift"] == 1
