"""An engine that was replaced by a new one, and what tells the two apart."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import pytest

from myrtlespar.fakes import ThriftClient, server_process, until
from myrtlespar.fakes.upstreams import FakeEngine
from myrtlespar.state_machines.command_log import NEXT, OLD, RENUMBERED, Command, CommandLog


def restart(engine: FakeEngine, started_at: float) -> None:
    """The engine is gone with its runs, and another one is there: its notices begin with 1."""
    with engine.lock:
        engine.notices = []
        engine.waits = {}
        engine.started_at = started_at
        engine.running.clear()
        engine.commands.clear()
        assert engine.link is not None
        engine.cut(engine.link)


@pytest.mark.parametrize("born_s", [0.0, -3600.0], ids=["soon after its first start", "by a clock that was set back"])
def test_an_engine_that_starts_anew_unseen_by_its_age_is_known_by_its_numbers(tmp_path: Path, born_s: float) -> None:
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


def test_a_reply_that_waits_for_a_link_is_not_sent_to_another_engine(tmp_path: Path) -> None:
    """The run that it is for died with the old one; its request is failed at once."""
    with server_process(tmp_path) as running:
        client = ThriftClient(running.ports[0])
        engine = running.engine
        running.dependency.script = ["slow"]
        seq = client.send("order", b"calls=1")
        until(lambda: running.dependency.calls)
        engine.up.clear()  # the link is accepted, the engine is not up
        restart(engine, time.time() + 60)
        until(lambda: running.counters().get("store.ok"))
        engine.up.set()
        assert client.answer(seq)[0] == "failed"
        assert client.ask("fetch", b"calls=1")[0] == "success"
        rids = {row["rid"] for row in engine.commands if row["t"] == "IODONE"}
        assert len(rids) == 1, "a reply for a run of the old engine"
        assert not engine.replies[0].endswith(b"order"), "a reply for a run of the old engine"


def test_a_greeting_that_is_slow_on_its_way_is_no_new_engine(tmp_path: Path) -> None:
    """An engine that started just before its link broke: its age, taken at the end of the way, made it look newer."""

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


def test_numbers_prove_another_engine_on_the_first_notice_of_a_link_only() -> None:
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
