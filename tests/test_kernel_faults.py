"""Unusual bytes from the kernel, and a kernel that starts anew unnoticed: no later request pays for either."""

from __future__ import annotations

import base64
import contextlib
import json
import threading
import time
from pathlib import Path
from typing import Any

import pytest

from myrtlespar.fakes import ServerProcess, ThriftClient, server_process, settings, until
from myrtlespar.fakes.upstreams import FakeEngine
from myrtlespar.state_machines.engine_link import NEXT, OLD, RENUMBERED, Command, CommandLog

HUGE = "1" + "0" * 400  # a whole number that no float holds


def restart(kernel: FakeEngine, born: float) -> None:
    """The kernel is gone with its runs, and another one is there: its notices begin with 1."""
    with kernel.lock:
        kernel.notices, kernel.waits, kernel.born = [], {}, born
        kernel.running.clear()
        kernel.commands.clear()
        assert kernel.link is not None
        kernel.cut(kernel.link)


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
def test_no_line_of_the_kernel_stops_the_link(tmp_path: Path, line: bytes) -> None:
    with server_process(tmp_path) as running:
        client = ThriftClient(running.ports[0])
        assert client.ask("fetch")[0] == "success"
        assert running.kernel.link
        running.kernel.link.sendall(line + b"\n")
        for _ in range(3):
            assert client.ask("fetch", b"calls=1")[0] == "success"


@pytest.mark.parametrize(
    "gauges",
    ["[NaN, NaN, NaN, NaN]", "[-Infinity, Infinity, 0, 0]", f"[{HUGE}]", "[[]]", "[null]"],
    ids=["no numbers", "endless", "huge", "lists", "null"],
)
def test_gauges_that_are_no_numbers_change_no_decision(tmp_path: Path, gauges: str) -> None:
    class Odd(FakeEngine):
        def sysinfo(self, link: Any, command: dict[str, Any]) -> None:
            if command["mark"].startswith("gauges"):
                link.sendall(b'{"t":"INFO","mark":"%s","v":%s}\n' % (command["mark"].encode(), gauges.encode()))
            else:
                super().sysinfo(link, command)

    with server_process(tmp_path, kernel=Odd()) as running:
        client = ThriftClient(running.ports[0])
        until(lambda: sum(row["t"] == "SYSINFO" for row in running.kernel.commands) > 3)
        assert [client.ask("order", b"calls=1")[0] for _ in range(5)] == ["success"] * 5


@pytest.mark.parametrize(
    "spoilt",
    [{"time_ms": "NaN"}, {"time_ms": HUGE}, {"time_ms": "null"}, {"status": '"ODD"'}, {"b64": '"%%%%"'}, {"b64": "7"}],
    ids=["time is none", "time is huge", "time is null", "status", "not base64", "no text"],
)
def test_an_end_that_cannot_be_read_fails_its_request_at_once(tmp_path: Path, spoilt: dict[str, str]) -> None:
    with server_process(tmp_path) as running:
        client, kernel = ThriftClient(running.ports[0]), running.kernel
        seq = client.send("render", b"ms=60000")
        until(lambda: kernel.running)
        rid = next(iter(kernel.running))
        row = {
            "t": '"REAP"',
            "no": str(len(kernel.notices) + 1),
            "rid": f'"{rid}"',
            "status": '"PASS"',
            "time_ms": "5",
            "b64": f'"{base64.b64encode(b"x").decode()}"',
            **spoilt,
        }
        kernel.notices.append({})
        assert kernel.link
        kernel.link.sendall(b"{%s}\n" % ", ".join(f'"{key}": {value}' for key, value in row.items()).encode())
        sent = time.time()
        assert client.answer(seq)[0] == "failed"
        assert time.time() - sent < 1.5
        assert [client.ask("fetch")[0] for _ in range(3)] == ["success"] * 3


@pytest.mark.parametrize("born_s", [0.0, -3600.0], ids=["soon after its first start", "by a clock that was set back"])
def test_a_kernel_that_starts_anew_unseen_by_its_age_is_known_by_its_numbers(tmp_path: Path, born_s: float) -> None:
    with server_process(tmp_path) as running:
        client = ThriftClient(running.ports[0])
        assert [client.ask("fetch")[0] for _ in range(3)] == ["success"] * 3  # notices 1 to 3
        lost = client.send("order", b"ms=60000")
        until(lambda: len(running.kernel.starts) == 4)
        restarted_ms = time.time() * 1000
        restart(running.kernel, running.kernel.born + born_s)
        until(lambda: any(row["t"] == "OPEN" for row in running.kernel.commands))
        for _ in range(3):
            assert client.ask("fetch", b"calls=1")[0] == "success"
        assert client.answer(lost)[0] == "failed"
        assert client.times[lost] - restarted_ms < 2000
        assert running.counters()["kernel.renumbered"] == 1


def test_a_reply_that_waits_for_a_link_is_not_told_to_another_kernel(tmp_path: Path) -> None:
    """The run that it is for died with the old one; its request is failed at once."""
    with server_process(tmp_path) as running:
        client, kernel = ThriftClient(running.ports[0]), running.kernel
        running.store.script = ["slow"]
        seq = client.send("order", b"calls=1")
        until(lambda: running.store.calls)
        kernel.up.clear()  # the link is accepted, the kernel is not up
        restart(kernel, time.time() + 60)
        until(lambda: running.counters().get("store.ok"))
        kernel.up.set()
        assert client.answer(seq)[0] == "failed"
        assert client.ask("fetch", b"calls=1")[0] == "success"
        rids = {row["rid"] for row in kernel.commands if row["t"] == "IODONE"}
        assert len(rids) == 1 and not kernel.replies[0].endswith(b"order"), "a reply for a run of the old kernel"


def test_a_greeting_that_is_slow_on_its_way_is_no_new_kernel(tmp_path: Path) -> None:
    """A kernel that started just before its link broke: its age, taken at the end of the way, made it look newer."""

    class Slow(FakeEngine):
        delay_s = 0.0

        def tell(self, link: Any, row: dict[str, Any]) -> None:
            if row["t"] == "BOOTED" and self.delay_s:
                time.sleep(self.delay_s)  # the slow way of the greeting is the fault
            super().tell(link, row)

    kernel = Slow()
    with server_process(tmp_path, kernel=kernel) as running:
        until(lambda: running.event("kernel up"))
        client = ThriftClient(running.ports[0])
        seq = client.send("order", b"ms=2500")
        until(lambda: kernel.starts)
        kernel.delay_s = 1.6
        assert kernel.link is not None
        kernel.cut(kernel.link)
        assert client.answer(seq)[0] == "success"
        assert running.event("the kernel started anew") is None


@pytest.mark.parametrize("gauges", [[], ["cpu_busy", "runnable", "mem_used", "sockets"]])
def test_a_site_that_does_not_allow_gauges_is_served(tmp_path: Path, gauges: list[str]) -> None:
    """The marks that prove a link to be in step are requests for gauges: refused, nothing was ever sent on it."""

    class Closed(FakeEngine):
        def sysinfo(self, link: Any, command: dict[str, Any]) -> None:
            self.tell(link, {"t": "EINVAL", "status": "SYSINFO", "rid": ""})

    given = settings()
    given["family_info"]["gauges"] = gauges
    with server_process(tmp_path, kernel=Closed(), given={"settings": given}) as running:
        client = ThriftClient(running.ports[0])
        assert [client.ask("order", b"calls=1")[0] for _ in range(3)] == ["success"] * 3
        assert running.kernel.link is not None
        running.kernel.cut(running.kernel.link)
        assert client.ask("order", b"calls=1")[0] == "success"
        running.move()
        until(lambda: running.event("reloaded"))
        assert client.ask("order", b"calls=1")[0] == "success"


@pytest.mark.parametrize("spoilt", ["BOOTED", "INFO"])
def test_a_greeting_or_mark_that_cannot_be_read_is_asked_for_again(tmp_path: Path, spoilt: str) -> None:
    """The link waited for it for good, with the kernel well and telling other things."""

    class Spoiling(FakeEngine):
        left = 2

        def tell(self, link: Any, row: dict[str, Any]) -> None:
            if row["t"] == spoilt and self.left:
                self.left -= 1
                link.sendall(b'{"t":"' + spoilt.encode() + b'",}\n{"t":"DMESG","status":"x"}\n')
            else:
                super().tell(link, row)

    with server_process(tmp_path, kernel=Spoiling()) as running:
        client, sent = ThriftClient(running.ports[0]), time.time()
        assert client.ask("order", b"calls=1")[0] == "success"
        assert time.time() - sent < 2.0
        assert [row["t"] for row in running.kernel.commands].count("OPEN") == 3


def test_numbers_prove_another_kernel_on_the_first_notice_of_a_link_only() -> None:
    commands = CommandLog(lambda rid: True, 8)
    commands.connected()
    assert [commands.classify_notice(n) for n in (1, 2)] == [NEXT, NEXT]
    commands.send(Command("a", b"", is_start=True))
    commands.send(Command("b", b"", is_start=False))
    commands.broken()
    commands.connected()
    assert commands.classify_notice(2) == RENUMBERED
    assert commands.restarted() == ["b"]
    assert list(commands.unconfirmed) == ["a"]
    assert [commands.classify_notice(n) for n in (1, 1, 2)] == [NEXT, OLD, NEXT]


@pytest.mark.parametrize("who", ["kernel", "store", "roster", "client"])
def test_a_peer_that_sends_without_end_holds_up_nobody_else(tmp_path: Path, who: str) -> None:
    """It sends faster than it is read: a reader that never waits lets nothing else run."""
    with server_process(tmp_path) as running:
        client = ThriftClient(running.ports[0])
        assert client.ask("fetch", b"calls=1")[0] == "success"
        flood(running, who)
        for _ in range(3):
            sent = time.time()
            # What it asks the kernel stands behind the flood in one line: due in 2.7 s, like any other request.
            assert client.ask("fetch")[0] in ("success", "refused")
            assert time.time() - sent < 2.7 + 0.3
        assert running.stop() == 0


def flood(running: ServerProcess, who: str) -> None:
    """Begin to send without end, from a process's thread of its own."""
    remark = json.dumps({"t": "DMESG", "status": "x"}).encode() + b"\n"
    if who == "client":
        sock, data = ThriftClient(running.ports[0]).sock, b"\xff" * 65536
    elif who == "roster":
        running.roster.mode = "silent"
        sock = until(lambda: [link for link in running.roster.links if link.fileno() >= 0])[-1]
        data = b"HTTP/1.1 204 No Content\r\n" + b"X-More: 1\r\n" * 6000
    elif who == "store":
        sock, data = running.store.links[-1], b"ffff BUSY\r\n" * 6000
    else:
        assert running.kernel.link
        sock, data = running.kernel.link, remark * 2000

    lock = running.kernel.lock if who == "kernel" else threading.Lock()

    def send() -> None:
        with contextlib.suppress(OSError):
            while True:
                with lock:  # whole lines, between those that belong there
                    sock.sendall(data)
                time.sleep(0.0001)  # the rate of the flood

    threading.Thread(target=send, daemon=True).start()
