"""Calls to the dependency: when they are repeated, how they are cancelled, and malformed replies."""

from __future__ import annotations

from pathlib import Path

import pytest

from myrtlespar.fakes import (
    FakeDependency,
    ServerProcess,
    ThriftClient,
    server_process,
    until,
)


@pytest.mark.parametrize(
    ("script", "kind", "calls"),
    [
        (["BUSY"], "success", 2),
        (["VOID"], "success", 2),
        (["ERR"], "failed", 1),
        (["LATE"], "failed", 1),
        (["cut"], "failed", 1),
    ],
)
def test_a_call_of_an_order_is_repeated_only_if_it_certainly_never_ran(
    server: ServerProcess, script: list[str], kind: str, calls: int
) -> None:
    server.dependency.script = script
    assert ThriftClient(server.ports[0]).ask("order", b"calls=1")[0] == kind
    assert len(server.dependency.calls) == calls


@pytest.mark.parametrize("malformed", ["noise", "endless", "short", "huge", "cut"])
def test_a_malformed_reply_ends_its_own_call_only(server: ServerProcess, malformed: str) -> None:
    client = ThriftClient(server.ports[0])
    server.dependency.script = ["slow"]
    slow = client.send("order", b"calls=1 slow")
    until(lambda: server.dependency.calls)
    server.dependency.script = [malformed, malformed]
    assert client.ask("order", b"calls=1")[0] == "failed"  # the call may have had its effect
    assert client.ask("render", b"calls=1")[0] == "success"  # a call of a read-only request is repeated
    assert client.answer(slow)[0] == "success"
    assert client.ask("order", b"calls=2")[0] == "success"


@pytest.mark.parametrize("extra_reply", ["copy", "stray"])
def test_duplicate_and_unknown_replies_are_ignored(server: ServerProcess, extra_reply: str) -> None:
    server.dependency.script = [extra_reply] * 4
    assert ThriftClient(server.ports[0]).ask("order", b"calls=4")[0] == "success"
    assert server.engine.replies == [b"reply\r\nto call %d of calls=4" % n for n in range(4)]


def test_a_dependency_that_is_down_proves_that_no_call_ran(server: ServerProcess) -> None:
    port = server.dependency.port
    server.dependency.down()
    client = ThriftClient(server.ports[0])
    seq = client.send("order", b"calls=1")
    until(lambda: server.counters().get("store.unreachable"))
    server.dependency = FakeDependency(port)
    assert client.answer(seq)[0] == "success"


def test_the_call_of_a_cancelled_request_is_cancelled(server: ServerProcess) -> None:
    server.dependency.script = ["hang"]
    client = ThriftClient(server.ports[0])
    seq = client.send("order", b"calls=1")
    until(lambda: server.dependency.calls)
    client.send_message("abort", seqid=seq)
    assert until(lambda: server.dependency.drops) == [server.dependency.calls[0][0]]


def test_the_reply_to_a_cancelled_call_does_not_reach_later_calls(tmp_path: Path) -> None:
    with server_process(tmp_path) as running:
        client = ThriftClient(running.ports[0])
        running.dependency.script = ["slow"]  # its reply comes after the request was cancelled
        seq = client.send("render", b"calls=1 dropped")
        until(lambda: running.dependency.calls)
        client.send_message("abort", seqid=seq)
        until(lambda: running.dependency.drops)
        assert [client.ask("render", b"calls=2 later")[0] for _ in range(3)] == ["success"] * 3
        replies = [reply for reply in running.engine.replies if b"dropped" in reply]
        assert not replies
        assert len(running.engine.replies) == 6
