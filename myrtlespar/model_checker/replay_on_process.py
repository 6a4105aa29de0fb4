"""Plays a counter-example against the real program on loopback, with scripted fakes."""

from __future__ import annotations

import os
import signal
import tempfile
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from myrtlespar.fakes.ajp_peers import FakeGateway
from myrtlespar.fakes.scripted_engine import ScriptedEngine
from myrtlespar.fakes.server_process import server_process
from myrtlespar.fakes.smoke_load import OPERATOR
from myrtlespar.fakes.tcp_server import until
from myrtlespar.fakes.thrift_client import ThriftClient
from myrtlespar.model_checker.events import show
from myrtlespar.model_checker.scenarios import Scenario
from myrtlespar.model_checker.world import IDS, TICK_MS, Event

CLASSES = {True: "order", False: "render"}  # by whether the attempt is effectful
# Nothing shows from outside that the program has acted on an event or on none: it gets this time.
REACTION_S = 0.1
REMAINDER_S = 0.5  # for what is left to run at the end


@dataclass(slots=True)
class ReplayResult:
    """A line for each event, and the rules that were broken as seen on sockets."""

    lines: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)


class ProcessReplay:
    """The program and its fakes, driven by the events of a counter-example."""

    def __init__(self, scenario: Scenario, mutation: str, tmp: Path) -> None:
        self.scenario = scenario
        self.engine = ScriptedEngine()
        program = ("myrtlespar.model_checker.mutants", mutation) if mutation else ("myrtlespar",)
        self.server = server_process(tmp, operator=OPERATOR, engine=self.engine, program=program)
        self.clients: dict[int, ThriftClient | FakeGateway] = {}
        self.sent: set[int] = set()

    def body(self, word: str | int) -> bytes:
        """The body that identifies an attempt on all sockets."""
        return b"try " + (IDS[word] if isinstance(word, int) else word).encode()

    def play(self, ports: list[int], pid: int, event: Event) -> str:
        """Make one event happen, and tell what was done about it."""
        name, *words = event
        if name in ("run", "call", "reply"):
            return "left to the real policy and store"
        if name == "read":
            return "done" if self.engine.read() else "nothing came to be read"
        if name == "hear":
            return "done" if self.engine.send_next_notice() else "nothing was on its way"
        if name in ("send", "whole", "give up", "reset", "cut short"):
            self._play_client_event(ports, name, words[0])
        elif name in ("ask", "end", "break", "connect"):
            self._play_engine_event(name, words)
        elif name == "tick":
            time.sleep(TICK_MS / 1000)
        elif name == "notice":
            os.kill(pid, signal.SIGTERM)
        else:
            return "passed over: nothing outside the program can cause it"
        return "done"

    def _play_client_event(self, ports: list[int], name: str, n: int) -> None:
        if name == "send":
            is_ajp = self.scenario.attempts[n].front == "ajp"
            self.clients[n] = FakeGateway(ports[1]) if is_ajp else ThriftClient(ports[0])
        elif name == "whole":
            self._send_request(n)
        else:
            client = self.clients[n]
            if name == "give up" and isinstance(client, ThriftClient):
                client.send_message("abort", seqid=1)
            else:
                client.sock.close()
            time.sleep(REACTION_S)

    def _play_engine_event(self, name: str, words: list[Any]) -> None:
        engine = self.engine
        if name == "ask":
            engine.ask(self.body(words[0]))
        elif name == "end":
            engine.end(self.body(words[0]), words[1])
        elif name == "break":
            engine.break_link()
        else:
            before = engine.links_seen
            until(lambda: engine.links_seen > before or engine.outbox, "link")

    def _send_request(self, n: int) -> None:
        spec = self.scenario.attempts[n]
        client = self.clients[n]
        if isinstance(client, FakeGateway):
            headers: dict[str, Any] = {"Idempotency_Key": spec.key} if spec.key else {}
            client.forward(f"/{CLASSES[spec.effectful]}", self.body(n), **headers)
        else:
            client.send(CLASSES[spec.effectful], self.body(n), **({"idem": spec.key} if spec.key else {}))
        self.sent.add(n)
        time.sleep(REACTION_S)

    def broken_rules(self) -> list[str]:
        """The rules that were broken, as seen from outside."""
        starts = self.engine.starts_by_body
        out: list[str] = []
        orders = [n for n, spec in enumerate(self.scenario.attempts) if spec.effectful]
        if any(starts[self.body(n)] > 1 for n in orders):
            out.append("one start a try")
        keys: Counter[str] = Counter()
        for n in orders:
            keys[self.scenario.attempts[n].key] += min(1, starts[self.body(n)])
        if any(count > 1 for key, count in keys.items() if key):
            out.append("one start a key")
        if self.engine.wrong_replies:
            out.append("true replies")
        if any(
            count > 1 for one in self.clients.values() if isinstance(one, ThriftClient) for count in one.count.values()
        ):
            out.append("one answer")
        return out


def play(scenario: Scenario, events: list[Event], mutation: str = "") -> ReplayResult:
    """Start the program, play all events, let the rest run to its end, and check the rules."""
    result = ReplayResult()
    with tempfile.TemporaryDirectory() as tmp:
        replay = ProcessReplay(scenario, mutation, Path(tmp))
        with replay.server as running:
            # The first link stands when a world begins.
            until(lambda: replay.engine.send_next_notice() or running.event("kernel up"), "greeting")
            until(lambda: running.event("kernel up"), "kernel link")
            time.sleep(REACTION_S)
            for number, event in enumerate(events, 1):
                done = replay.play(running.ports, running.process.pid, event)
                result.lines.append(f"{number:3} {show(event):28} {done}")
            replay.engine.release_all()
            time.sleep(REMAINDER_S)
            with suppress(ProcessLookupError):
                running.process.send_signal(signal.SIGTERM)
            running.process.wait(10)
            result.violations = replay.broken_rules()
    return result
