"""Malformed and unexpected notices of the execution engine: no later request is affected."""

from __future__ import annotations

import base64
import time
from pathlib import Path
from typing import Any

import pytest

from myrtlespar.fakes import ServerProcess, ThriftClient, server_process, settings, until
from myrtlespar.fakes.upstreams import FakeEngine

HUGE = "1" + "0" * 400  # an integer too large for a float


@pytest.mark.parametrize(
    "line",
    [
        b"[" * 200_000,
        b'{"t":"INFO","mark":' + b"[" * 100_000,
        b'{"t":"INFO","mark":"gauges-1","v":[%s]}' % HUGE.encode(),
        b'{"t":"REAP","no":1,"rid":"ab","status":"PASS","time_ms":%s}' % HUGE.encode(),
        b'{"t":"REAP","no":1,"rid":"ab","status":["PASS"],"time_ms":NaN}',
    ],
    ids=["deep", "deep inside", "huge gauge", "huge time", "unhashable"],
)
def test_no_line_of_the_engine_stops_the_link(tmp_path: Path, line: bytes) -> None:
    with server_process(tmp_path) as running:
        client = ThriftClient(running.ports[0])
        assert client.ask("fetch")[0] == "success"
        assert running.engine.link
        running.engine.link.sendall(line + b"\n")
        for _ in range(3):
            assert client.ask("fetch", b"calls=1")[0] == "success"


@pytest.mark.parametrize(
    "gauges",
    ["[NaN, NaN, NaN, NaN]", "[-Infinity, Infinity, 0, 0]", f"[{HUGE}]", "[[]]", "[null]"],
    ids=["no numbers", "endless", "huge", "lists", "null"],
)
def test_invalid_gauges_change_no_decision(tmp_path: Path, gauges: str) -> None:
    class OddGaugesEngine(FakeEngine):
        def sysinfo(self, link: Any, command: dict[str, Any]) -> None:
            if command["mark"].startswith("gauges"):
                link.sendall(b'{"t":"INFO","mark":"%s","v":%s}\n' % (command["mark"].encode(), gauges.encode()))
            else:
                super().sysinfo(link, command)

    with server_process(tmp_path, engine=OddGaugesEngine()) as running:
        client = ThriftClient(running.ports[0])
        until(lambda: sum(row["t"] == "SYSINFO" for row in running.engine.commands) > 3)
        assert [client.ask("order", b"calls=1")[0] for _ in range(5)] == ["success"] * 5


@pytest.mark.parametrize(
    "malformed",
    [{"time_ms": "NaN"}, {"time_ms": HUGE}, {"time_ms": "null"}, {"status": '"ODD"'}, {"b64": '"%%%%"'}, {"b64": "7"}],
    ids=["time is none", "time is huge", "time is null", "status", "not base64", "no text"],
)
def test_a_malformed_end_of_a_run_fails_its_request_at_once(tmp_path: Path, malformed: dict[str, str]) -> None:
    with server_process(tmp_path) as running:
        client = ThriftClient(running.ports[0])
        engine = running.engine
        seq = client.send("render", b"ms=60000")
        until(lambda: engine.running)
        rid = next(iter(engine.running))
        row = {
            "t": '"REAP"',
            "no": str(len(engine.notices) + 1),
            "rid": f'"{rid}"',
            "status": '"PASS"',
            "time_ms": "5",
            "b64": f'"{base64.b64encode(b"x").decode()}"',
            **malformed,
        }
        engine.notices.append({})
        assert engine.link
        engine.link.sendall(b"{%s}\n" % ", ".join(f'"{key}": {value}' for key, value in row.items()).encode())
        sent = time.time()
        assert client.answer(seq)[0] == "failed"
        assert time.time() - sent < 1.5
        assert [client.ask("fetch")[0] for _ in range(3)] == ["success"] * 3


@pytest.mark.parametrize("gauges", [[], ["cpu_busy", "runnable", "mem_used", "sockets"]])
def test_requests_run_although_the_engine_rejects_requests_for_gauges(tmp_path: Path, gauges: list[str]) -> None:
    """A link is synchronized by requests for gauges; as the engine rejected them, no command was ever sent."""

    class GaugesRejectingEngine(FakeEngine):
        def sysinfo(self, link: Any, command: dict[str, Any]) -> None:
            self.send_line(link, {"t": "EINVAL", "status": "SYSINFO", "rid": ""})

    given = settings()
    given["family_info"]["gauges"] = gauges
    with server_process(tmp_path, engine=GaugesRejectingEngine(), given={"settings": given}) as running:
        client = ThriftClient(running.ports[0])
        assert [client.ask("order", b"calls=1")[0] for _ in range(3)] == ["success"] * 3
        assert running.engine.link is not None
        running.engine.cut(running.engine.link)
        assert client.ask("order", b"calls=1")[0] == "success"
        running.move_fakes()
        until(lambda: running.event("reloaded"))
        assert client.ask("order", b"calls=1")[0] == "success"


@pytest.mark.parametrize("malformed", ["BOOTED", "INFO"])
def test_a_malformed_greeting_or_mark_is_requested_again(tmp_path: Path, malformed: str) -> None:
    """Guards against a link that waits forever for a malformed greeting or mark, although the engine is up."""

    class MalformingEngine(FakeEngine):
        left = 2

        def send_line(self, link: Any, row: dict[str, Any]) -> None:
            if row["t"] == malformed and self.left:
                self.left -= 1
                link.sendall(b'{"t":"' + malformed.encode() + b'",}\n{"t":"DMESG","status":"x"}\n')
            else:
                super().send_line(link, row)

    with server_process(tmp_path, engine=MalformingEngine()) as running:
        client = ThriftClient(running.ports[0])
        sent = time.time()
        assert client.ask("order", b"calls=1")[0] == "success"
        assert time.time() - sent < 2.0
        assert [row["t"] for row in running.engine.commands].count("OPEN") == 3


@pytest.mark.parametrize(
    "unexpected", [b"remark\n", b"[1]\n", b'{"t":"DMESG","status":"x"}\n', b'{"t":"INFO","v":7}\n']
)
def test_an_unexpected_line_of_the_engine_changes_nothing(server: ServerProcess, unexpected: bytes) -> None:
    assert server.engine.link
    server.engine.link.sendall(unexpected)
    assert ThriftClient(server.ports[0]).ask("order", b"calls=1")[0] == "success"
    assert len([row for row in server.engine.commands if row["t"] == "OPEN"]) == 1


def test_requests_unknown_to_the_engine_do_not_reject_others(server: ServerProcess) -> None:
    misbehaving = ThriftClient(server.ports[0])
    client = ThriftClient(server.ports[0])
    unknown = [misbehaving.send("fetch", b"alien") for _ in range(30)]
    assert [misbehaving.answer(seq)[0] for seq in unknown] == ["failed"] * 30
    assert [client.ask("fetch")[0] for _ in range(5)] == ["success"] * 5
