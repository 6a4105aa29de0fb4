"""Replays a counter-example on the real program over loopback, with scripted fakes around it."""

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
from myrtlespar.model_checker.world import ATTEMPT_IDS, TICK_MS, Event

CLASS_BY_EFFECT = {True: "order", False: "render"}  # request class, by whether the attempt is effectful
# How long to wait for the program to react to an event, as the reaction can't be observed from outside.
REACTION_S = 0.1
REMAINDER_S = 0.5  # how long the remaining runs may continue after the last event


@dataclass(slots=True)
class ReplayResult:
    """The result of a replay.

    Attributes:
        lines: One line for each event, with what was done for it.
        violations: The names of the rules whose violation was observed on sockets.
    """

    lines: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)


class ProcessReplay:
    """The program and the fakes around it, driven by the events of a counter-example."""

    def __init__(self, scenario: Scenario, mutation: str, tmp: Path) -> None:
        self.scenario = scenario
        self.engine = ScriptedEngine()
        program = ("myrtlespar.model_checker.mutants", mutation) if mutation else ("myrtlespar",)
        self.server = server_process(tmp, operator=OPERATOR, engine=self.engine, program=program)
        self.clients: dict[int, ThriftClient | FakeGateway] = {}
        self.sent: set[int] = set()

    def body(self, attempt: str | int) -> bytes:
        """Return the request body by which clients and the engine identify an attempt, given by its index or id."""
        return b"try " + (ATTEMPT_IDS[attempt] if isinstance(attempt, int) else attempt).encode()

    def play(self, ports: list[int], pid: int, event: Event) -> str:
        """Cause one event, and return a text on what was done for it."""
        name, *arguments = event
        if name in ("run", "call", "reply"):
            return "skipped: the program's own policy and the fake dependency do this"
        if name == "read":
            return "done" if self.engine.read() else "nothing done: the engine received no command"
        if name == "hear":
            return "done" if self.engine.send_next_notice() else "nothing done: the engine had no line to send"
        if name in ("send", "whole", "give up", "reset", "cut short"):
            self._play_client_event(ports, name, arguments[0])
        elif name in ("ask", "end", "break", "connect"):
            self._play_engine_event(name, arguments)
        elif name == "tick":
            time.sleep(TICK_MS / 1000)
        elif name == "notice":
            os.kill(pid, signal.SIGTERM)
        else:
            return "skipped: the event can't be caused from outside the program"
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

    def _play_engine_event(self, name: str, arguments: list[Any]) -> None:
        engine = self.engine
        if name == "ask":
            engine.ask(self.body(arguments[0]))
        elif name == "end":
            engine.end(self.body(arguments[0]), arguments[1])
        elif name == "break":
            engine.break_link()
        else:
            before = engine.links_seen
            until(lambda: engine.links_seen > before or engine.outbox, "new engine link")

    def _send_request(self, n: int) -> None:
        attempt = self.scenario.attempts[n]
        client = self.clients[n]
        if isinstance(client, FakeGateway):
            headers: dict[str, Any] = {"Idempotency_Key": attempt.key} if attempt.key else {}
            client.forward(f"/{CLASS_BY_EFFECT[attempt.effectful]}", self.body(n), **headers)
        else:
            client.send(
                CLASS_BY_EFFECT[attempt.effectful], self.body(n), **({"idem": attempt.key} if attempt.key else {})
            )
        self.sent.add(n)
        time.sleep(REACTION_S)

    def broken_rules(self) -> list[str]:
        """Return the names of the rules whose violation was observed from outside."""
        starts = self.engine.starts_by_body
        broken: list[str] = []
        orders = [n for n, attempt in enumerate(self.scenario.attempts) if attempt.effectful]
        if any(starts[self.body(n)] > 1 for n in orders):
            broken.append("one start a try")
        keys: Counter[str] = Counter()
        for n in orders:
            keys[self.scenario.attempts[n].key] += min(1, starts[self.body(n)])
        if any(count > 1 for key, count in keys.items() if key):
            broken.append("one start a key")
        if self.engine.wrong_replies:
            broken.append("true replies")
        if any(
            count > 1
            for client in self.clients.values()
            if isinstance(client, ThriftClient)
            for count in client.count.values()
        ):
            broken.append("one answer")
        return broken


def play(scenario: Scenario, events: list[Event], mutation: str = "") -> ReplayResult:
    """Start the program, replay all events, let the remaining runs end, and check the rules."""
    result = ReplayResult()
    with tempfile.TemporaryDirectory() as tmp:
        replay = ProcessReplay(scenario, mutation, Path(tmp))
        with replay.server as running:
            # The initial world of a scenario has an established engine link.
            until(lambda: replay.engine.send_next_notice() or running.event("kernel up"), "engine greeting")
            until(lambda: running.event("kernel up"), "log event 'kernel up'")
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
