"""Plays a counter-example against the real program on loopback, through the scripted stand-ins."""

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
from myrtlespar.model_checker.world import IDS, Event

CLASSES = {True: "order", False: "render"}


@dataclass(slots=True)
class ReplayResult:
    """What came of it: a line an event, and the rules that fell on sockets."""

    lines: list[str] = field(default_factory=list)
    fell: list[str] = field(default_factory=list)


class ReplayStage:
    """The program and all its neighbours, moved by the events of a counter-example."""

    def __init__(self, s: Scenario, plant: str, tmp: Path) -> None:
        self.s, self.kernel = s, ScriptedEngine()
        program = ("myrtlespar.model_checker.mutants", plant) if plant else ("myrtlespar",)
        self.tile = server_process(tmp, operator=OPERATOR, kernel=self.kernel, program=program)
        self.clients: dict[int, ThriftClient | FakeGateway] = {}
        self.sent: set[int] = set()

    def body(self, word: str | int) -> bytes:
        """What identifies a try on all sockets."""
        return b"try " + (IDS[word] if isinstance(word, int) else word).encode()

    def play(self, ports: list[int], pid: int, event: Event) -> str:
        """Make one event happen; what was done about it."""
        name, *words = event
        kernel = self.kernel
        if name == "send":
            self.clients[words[0]] = (
                FakeGateway(ports[1]) if self.s.tries[words[0]].front == "ajp" else ThriftClient(ports[0])
            )
        elif name == "whole":
            self._whole(words[0])
        elif name in ("give up", "reset", "cut short"):
            client = self.clients[words[0]]
            if name == "give up" and isinstance(client, ThriftClient):
                client.say("abort", seqid=1)
            else:
                client.sock.close()
            time.sleep(0.05)
        elif name == "read":
            return "done" if kernel.read() else "nothing came to be read"
        elif name == "hear":
            return "done" if kernel.hear() else "nothing was on its way"
        elif name == "ask":
            kernel.ask(self.body(words[0]))
        elif name == "end":
            kernel.end(self.body(words[0]), words[1])
        elif name == "break":
            kernel.break_link()
        elif name == "connect":
            seen = kernel.links_seen
            until(lambda: kernel.links_seen > seen or kernel.outbox, "link")
        elif name == "tick":
            time.sleep(1.0)
        elif name == "notice":
            os.kill(pid, signal.SIGTERM)
        elif name in ("run", "call", "reply"):
            return "left to the real policy and store"
        else:
            return "passed over: nothing outside the program can cause it"
        return "done"

    def _whole(self, n: int) -> None:
        spec, client = self.s.tries[n], self.clients[n]
        if isinstance(client, FakeGateway):
            headers: dict[str, Any] = {"Idempotency_Key": spec.key} if spec.key else {}
            client.forward(f"/{CLASSES[spec.effectful]}", self.body(n), **headers)
        else:
            client.send(CLASSES[spec.effectful], self.body(n), **({"idem": spec.key} if spec.key else {}))
        self.sent.add(n)
        time.sleep(0.05)

    def rules(self) -> list[str]:
        """Which rules fell, as seen from outside."""
        starts, out = self.kernel.by_body, []
        orders = [n for n, spec in enumerate(self.s.tries) if spec.effectful]
        if any(starts[self.body(n)] > 1 for n in orders):
            out.append("one start a try")
        keys: Counter[str] = Counter()
        for n in orders:
            keys[self.s.tries[n].key] += min(1, starts[self.body(n)])
        if any(count > 1 for key, count in keys.items() if key):
            out.append("one start a key")
        if self.kernel.wrong:
            out.append("true replies")
        if any(
            count > 1 for one in self.clients.values() if isinstance(one, ThriftClient) for count in one.count.values()
        ):
            out.append("one answer")
        return out


def play(s: Scenario, events: list[Event], plant: str = "") -> ReplayResult:
    """Start the program, play all events, let the rest run out, and look at the rules."""
    seen = ReplayResult()
    with tempfile.TemporaryDirectory() as tmp:
        stage = ReplayStage(s, plant, Path(tmp))
        with stage.tile as running:
            # The first link stands when a world begins.
            until(lambda: stage.kernel.hear() or running.event("kernel up"), "greeting")
            until(lambda: running.event("kernel up"), "kernel link")
            time.sleep(0.1)
            for number, event in enumerate(events, 1):
                done = stage.play(running.ports, running.process.pid, event)
                seen.lines.append(f"{number:3} {show(event):28} {done}")
            stage.kernel.let_go()
            time.sleep(0.5)
            with suppress(ProcessLookupError):
                running.process.send_signal(signal.SIGTERM)
            running.process.wait(10)
            seen.fell = stage.rules()
    return seen
