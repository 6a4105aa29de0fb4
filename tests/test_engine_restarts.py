"""Restarts of the engine, and how they are detected."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import pytest

from myrtlespar.fakes import ThriftClient, server_process, until
from myrtlespar.fakes.upstreams import FakeEngine
from myrtlespar.state_machines.command_log import NEXT, OLD, RENUMBERED, Command, CommandLog


def restart(engine: FakeEngine, started_at: float) -> None:
    """Replace the engine by a new one without runs, started at `started_at` (Unix seconds); its notices start at 1."""
    with engine.lock:
        engine.notices = []
        engine.waits = {}
        engine.started_at = started_at
        engine.running.clear()
        engine.commands.clear()
        assert engine.link is not None
        engine.cut(engine.link)


@pytest.mark.parametrize("born_s", [0.0, -3600.0], ids=["soon after its first start", "by a clock that was set back"])
def test_a_restart_that_the_age_does_not_show_is_detected_by_notice_numbers(tmp_path: Path, born_s: float) -> None:
    with server_process(tmp_path) as running:
        client = ThriftClient(running.ports[0])
        assert [client.ask("fetch")[0] for _ in range(3)] == ["success"] * 3  # notices 1 to 3
        lost = client.send("order", b"ms=60000")
        until(lambda: len(running.engine.starts) == 4)
        restarted_ms = time.time() * 1000
        restart(running.engine, running.engine.started_at + born_s)
        until(lambda: any(row["t"] == "OPEN" for row in running.engine.commands))
        for _ in range(3):
            assert client.ask("fetch", b"calls=1")[0] == "success"
        assert client.answer(lost)[0] == "failed"
        assert client.times[lost] - restarted_ms < 2000
        assert running.counters()["kernel.renumbered"] == 1


def test_a_reply_that_waits_for_a_link_is_not_sent_to_a_restarted_engine(tmp_path: Path) -> None:
    """The run was lost with the old engine, so its request fails at once."""
    with server_process(tmp_path) as running:
        client = ThriftClient(running.ports[0])
        engine = running.engine
        running.dependency.script = ["slow"]
        seq = client.send("order", b"calls=1")
        until(lambda: running.dependency.calls)
        engine.up.clear()  # the engine accepts the link, but is not up
        restart(engine, time.time() + 60)
        until(lambda: running.counters().get("store.ok"))
        engine.up.set()
        assert client.answer(seq)[0] == "failed"
        assert client.ask("fetch", b"calls=1")[0] == "success"
        rids = {row["rid"] for row in engine.commands if row["t"] == "IODONE"}
        assert len(rids) == 1, "the new engine got a reply for a run of the old one"
        assert not engine.replies[0].endswith(b"order"), "the new engine got a reply for a run of the old one"


def test_a_delayed_greeting_is_not_taken_for_a_restart(tmp_path: Path) -> None:
    """The start was computed from the arrival of the greeting, so a delayed greeting looked like a restart.

    This happened with an engine that had started shortly before its link broke.
    """

    class SlowGreetingEngine(FakeEngine):
        delay_s = 0.0

        def send_line(self, link: Any, row: dict[str, Any]) -> None:
            if row["t"] == "BOOTED" and self.delay_s:
                time.sleep(self.delay_s)
            super().send_line(link, row)

    engine = SlowGreetingEngine()
    with server_process(tmp_path, engine=engine) as running:
        until(lambda: running.event("kernel up"))
        client = ThriftClient(running.ports[0])
        seq = client.send("order", b"ms=2500")
        until(lambda: engine.starts)
        engine.delay_s = 1.6
        assert engine.link is not None
        engine.cut(engine.link)
        assert client.answer(seq)[0] == "success"
        assert running.event("the kernel started anew") is None


def test_only_the_first_notice_of_a_link_can_prove_another_engine() -> None:
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
