"""The link to the execution engine: breaks, changes of the address, missing answers, restarts of the engine."""

from __future__ import annotations

import json
import signal
import socket
import time
from pathlib import Path
from typing import Any

import pytest

from myrtlespar.fakes import (
    FakeEngine,
    ServerProcess,
    ThriftClient,
    server_process,
    until,
)
from tests.gates import Gate


def test_a_broken_engine_link_loses_no_run_and_starts_no_order_twice(server: ServerProcess) -> None:
    client = ThriftClient(server.ports[0])
    order = client.send("order", b"ms=300 calls=1")
    read = client.send("render", b"ms=300 calls=1")
    until(lambda: len(server.engine.replies) == 2)
    assert server.engine.link is not None
    server.engine.cut(server.engine.link)
    assert client.answer(order)[0] == client.answer(read)[0] == "success"
    assert server.engine.starts_by_body[b"ms=300 calls=1"] == 2
    assert server.engine.commands[0]["no"] == 0
    opens = [row["no"] for row in server.engine.commands if row["t"] == "OPEN"]
    assert len(opens) >= 2
    assert opens[-1] == 2


class LosingEngine(FakeEngine):
    """Ignores every command that it reads while `ignores_commands`, and records its type."""

    def __init__(self) -> None:
        self.lost: list[str] = []
        super().__init__()

    def serve(self, link: socket.socket) -> None:
        for line in link.makefile("rb"):
            command = json.loads(line)
            with self.lock:
                if self.ignores_commands:
                    self.lost.append(command["t"])
                    continue
                self.commands.append(command)
                getattr(self, command["t"].lower())(link, command)


@pytest.mark.parametrize(("method", "kind", "runs"), [("render", "success", 1), ("order", "failed", 0)])
def test_a_start_lost_with_the_link_is_sent_again_only_where_a_second_run_is_harmless(
    tmp_path: Path, method: str, kind: str, runs: int
) -> None:
    engine = LosingEngine()
    with server_process(tmp_path, engine=engine) as server:
        client = ThriftClient(server.ports[0])
        assert client.ask("fetch")[0] == "success"  # the link is synchronized: its first mark was answered
        with engine.lock:  # no command is being handled
            engine.ignores_commands = True
        seq = client.send(method, b"lost")
        until(lambda: "SCHED" in engine.lost)
        with engine.lock:
            engine.ignores_commands = False
            assert engine.link is not None
            engine.cut(engine.link)
        assert client.answer(seq)[0] == kind
        assert engine.starts_by_body[b"lost"] == runs


@pytest.mark.parametrize("body", [b"ms=1", b"ms=500"])
def test_an_order_whose_link_broke_after_its_start_runs_once(server: ServerProcess, body: bytes) -> None:
    client = ThriftClient(server.ports[0])
    server.engine.sends_nothing = True  # reads and runs, but nothing it writes arrives
    seq = client.send("order", body)
    until(lambda: server.engine.starts_by_body[body])
    server.engine.sends_nothing = False
    assert server.engine.link is not None
    server.engine.cut(server.engine.link)
    assert client.answer(seq)[0] == "success"
    time.sleep(0.3)  # longer than the time after which the start would be sent again
    assert server.engine.starts_by_body[body] == 1


def test_a_lost_notice_is_requested_again(server: ServerProcess) -> None:
    client = ThriftClient(server.ports[0])
    server.engine.sends_nothing = True
    lost = client.send("order", b"ms=1")
    until(lambda: server.engine.notices)
    server.engine.sends_nothing = False
    assert client.ask("fetch")[0] == client.answer(lost)[0] == "success"


def test_the_runs_of_a_restarted_engine_fail_at_once(server: ServerProcess) -> None:
    client = ThriftClient(server.ports[0])
    seq = client.send("order", b"calls=1")
    server.dependency.script = ["hang"]
    until(lambda: server.engine.starts)
    server.engine.started_at = time.time() + 5
    server.engine.notices = []
    assert server.engine.link is not None
    server.engine.cut(server.engine.link)
    assert client.answer(seq)[0] == "failed"
    assert client.ask("fetch", b"after")[0] == "success"


def test_the_server_waits_for_an_engine_that_starts_late(tmp_path: Path) -> None:
    with server_process(tmp_path, late_engine=True) as running:
        client = ThriftClient(running.ports[0])
        assert client.answer(client.send_message("ping", full=False))[1].good
        assert not running.registry.reports
        running.engine.up.set()
        until(lambda: running.registry.reports)
        assert client.ask("order")[0] == "success"


def test_a_link_that_ends_before_the_greeting_is_reconnected(tmp_path: Path) -> None:
    engine = FakeEngine()
    engine.connections_to_close = 3
    with server_process(tmp_path, engine=engine) as running:
        client = ThriftClient(running.ports[0])
        assert client.ask("order", b"held meanwhile")[0] == "success"
        assert not engine.connections_to_close
        assert engine.starts_by_body[b"held meanwhile"] == 1
        assert running.stop() == 0


def test_a_reload_while_connecting_to_the_old_engine_connects_to_the_new_one(tmp_path: Path) -> None:
    """The old address accepts connections but sends nothing, as an engine that is not up yet."""
    (tmp_path / "held.py").write_text("""import json, os, runpy, sys
sys.path.insert(0, os.getcwd())
import myrtlespar.net.engine_client as engine_client
from gevent.event import Event
moved, connect, move = Event(), engine_client.connect, engine_client.EngineClient.move
def held(*args):
    sock = connect(*args)
    print(json.dumps({"event": "connected"}), flush=True)
    moved.wait()
    return sock
def moved_now(*args):
    move(*args)
    moved.set()
engine_client.connect, engine_client.EngineClient.move = held, moved_now
sys.argv[:] = ["myrtlespar"]
runpy.run_module("myrtlespar", run_name="__main__")
""")
    with server_process(tmp_path, late_engine=True, start=str(tmp_path / "held.py")) as running:
        until(lambda: running.event("connected"))
        old = running.engine
        running.engine = FakeEngine()
        running.config["kernel"] = running.engine.address
        running.path.write_text(json.dumps(running.config))
        running.process.send_signal(signal.SIGHUP)
        assert ThriftClient(running.ports[0]).ask("order", b"at the new address")[0] == "success"
        assert not old.commands
        assert running.stop() == 0
        old.down()


def test_an_engine_whose_answers_came_while_the_process_stood_still_is_not_taken_for_silent(tmp_path: Path) -> None:
    """After a pause of the process the silence check may run before the reader.

    The check then found no answer for the length of the pause and closed a working link, and orders on it failed.
    """
    gate = Gate(
        tmp_path,
        "myrtlespar.net.engine_client:EngineClient.move",
        "False",  # never stops: the gate is only used for its `first` statements
        "import dataclasses, myrtlespar.config.platform_file as c; f = c.size_limits\n"
        "c.size_limits = lambda *args: dataclasses.replace(f(*args), engine_silence_timeout_ms=400.0)",
    )
    with server_process(tmp_path, start=gate.start) as running:
        client = ThriftClient(running.ports[0])
        for _ in range(6):
            assert client.ask("fetch", b"ms=1")[0] == "success"
            running.process.send_signal(signal.SIGSTOP)
            time.sleep(0.7)  # longer than the silence timeout
            running.process.send_signal(signal.SIGCONT)
        assert client.ask("fetch", b"ms=1")[0] == "success"
        until(lambda: running.event("kernel up"))
        assert [row["t"] for row in running.engine.commands].count("OPEN") == 1


def test_a_link_is_kept_while_answers_wait_to_be_read(tmp_path: Path) -> None:
    """The silence check always runs before the reader, as the reader is delayed for longer than the timeout."""
    slow_reader = """import gevent, myrtlespar.net.socket_reader as readers
receive = readers.SocketReader._receive
def late(self):
    if self._max_line_bytes > 100_000:  # the reader of the engine link
        gevent.sleep(0.7)
    return receive(self)
readers.SocketReader._receive = late
import dataclasses, myrtlespar.config.platform_file as c; f = c.size_limits
c.size_limits = lambda *args: dataclasses.replace(f(*args), engine_silence_timeout_ms=400.0)"""
    gate = Gate(tmp_path, "myrtlespar.net.engine_client:EngineClient.move", "False", slow_reader)
    with server_process(tmp_path, start=gate.start) as running:
        client = ThriftClient(running.ports[0])
        assert client.ask("order", b"ms=1")[0] == "success"
        assert client.ask("render", b"ms=1")[0] == "success"
        assert [row["t"] for row in running.engine.commands].count("OPEN") == 1


SET_SILENCE_TIMEOUT = """import dataclasses, myrtlespar.config.platform_file as c; f = c.size_limits
c.size_limits = lambda *args: dataclasses.replace(f(*args), engine_silence_timeout_ms=%s)"""


def test_a_link_is_kept_if_the_gauges_were_requested_only_after_a_pause(tmp_path: Path) -> None:
    """After a pause of the process a working link was closed, and each run on it was in doubt.

    When the process resumed, it requested the gauges, and the silence check ran before the answer could arrive. It
    counted the silence from the last notice, although nothing had been requested until then: at one close the notice
    was 495 ms old and the only unanswered mark 0.4 ms. The fault shows as `kernel.silent` 1 and a second OPEN.
    """
    gate = Gate(
        tmp_path,
        "myrtlespar.net.engine_client:EngineClient.request_gauges",
        "args[0]._commands.is_synchronized and not args[0]._commands.pending_marks and args[0]._started_on_link",
        SET_SILENCE_TIMEOUT % 400.0,
    )
    with server_process(tmp_path, start=gate.start) as running:
        client = ThriftClient(running.ports[0])
        order = client.send("order", b"ms=1500")
        gate.wait_until_reached(running)
        time.sleep(0.7)  # longer than the silence timeout
        with running.engine.lock:  # the answer arrives only after the silence check has run
            gate.open()
            running.counters()
            counters = running.counters()  # each takes a turn of the event loop, so the silence check has run
        assert counters.get("kernel.silent", 0) == 0
        assert client.answer(order)[0] == "success"
        assert [row["t"] for row in running.engine.commands].count("OPEN") == 1
        assert running.engine.starts_by_body[b"ms=1500"] == 1


class GaugelessEngine(FakeEngine):
    """Ignores and counts requests for gauges while `ignores_gauges`."""

    ignores_gauges = False
    ignored = 0

    def sysinfo(self, link: socket.socket, command: dict[str, Any]) -> None:
        if self.ignores_gauges:
            self.ignored += 1
        else:
            super().sysinfo(link, command)


def test_a_link_is_kept_if_program_and_engine_pause_while_an_answer_is_due(tmp_path: Path) -> None:
    """Program and engine pause together, as when the machine pauses, and the program resumes first.

    The silence check counted the pause as silence of the engine, and closed the link before the answer could arrive.
    The fault shows as `kernel.silent` 1 and a second OPEN.
    """
    gate = Gate(tmp_path, "myrtlespar.net.engine_client:EngineClient.move", "False", SET_SILENCE_TIMEOUT % 3000.0)
    engine = GaugelessEngine()
    with server_process(tmp_path, start=gate.start, engine=engine) as running:
        client = ThriftClient(running.ports[0])
        order = client.send("order", b"ms=500")
        until(lambda: engine.starts_by_body[b"ms=500"])
        engine.ignores_gauges = True
        until(lambda: engine.ignored)
        running.process.send_signal(signal.SIGSTOP)
        engine.sends_nothing = True  # as if the engine were paused as well
        time.sleep(4.0)  # longer than the silence timeout
        running.process.send_signal(signal.SIGCONT)
        running.counters()
        counters = running.counters()  # each takes a turn of the event loop, so the silence check has run
        engine.sends_nothing = engine.ignores_gauges = False
        assert counters.get("kernel.silent", 0) == 0
        assert client.answer(order)[0] in ("success", "failed")
        assert [row["t"] for row in engine.commands].count("OPEN") == 1


def test_a_link_without_answers_is_replaced_after_the_timeout_and_not_before(tmp_path: Path) -> None:
    gate = Gate(tmp_path, "myrtlespar.net.engine_client:EngineClient.move", "False", SET_SILENCE_TIMEOUT % 400.0)
    engine = GaugelessEngine()
    with server_process(tmp_path, start=gate.start, engine=engine) as running:
        client = ThriftClient(running.ports[0])
        order = client.send("order", b"ms=2000")
        until(lambda: engine.starts_by_body[b"ms=2000"])
        began = time.monotonic()
        engine.ignores_gauges = True
        until(lambda: [row["t"] for row in engine.commands].count("OPEN") == 2)
        # Less than the timeout, as an earlier answer may still have been in transit.
        assert time.monotonic() - began > 0.3
        engine.ignores_gauges = False
        engine.cut(*engine.links)  # the first mark of the new link was ignored as well
        assert client.answer(order)[0] == "success"
        assert engine.starts_by_body[b"ms=2000"] == 1
        assert running.counters()["kernel.silent"] >= 1


def test_a_run_that_ends_at_the_old_engine_during_a_pause_is_answered_after_a_reload(tmp_path: Path) -> None:
    """A pause of the process at a reload uses up the time allowed for reading the old link to its end.

    When the process resumes, the old link is closed, but the unread notices in its socket are still read.
    """
    gate = Gate(tmp_path, "myrtlespar.net.registry_client:RegistryClient.move")
    old = GaugelessEngine()
    with server_process(tmp_path, start=gate.start, engine=old) as running:
        client = ThriftClient(running.ports[0])
        order = client.send("order", b"ms=300")
        until(lambda: old.starts_by_body[b"ms=300"])
        old.ignores_gauges = True  # an answer to the last mark would end the link earlier
        running.engine = FakeEngine()
        running.config["kernel"] = running.engine.address
        running.path.write_text(json.dumps(running.config))
        running.process.send_signal(signal.SIGHUP)
        gate.wait_until_reached(running)
        until(lambda: [row["t"] for row in old.notices].count("REAP"))
        time.sleep(0.5)  # longer than the time allowed for reading the old link to its end
        gate.open()
        assert client.answer(order)[0] == "success"
        assert client.ask("order", b"at the new address")[0] == "success"
        assert running.engine.starts_by_body[b"at the new address"] == 1
        old.down()
