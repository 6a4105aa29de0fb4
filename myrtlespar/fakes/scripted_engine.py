"""A fake engine that carries out commands and sends notices only when told to, to replay an order of events."""

from __future__ import annotations

import base64
import json
import socket
import time
from typing import Any

from myrtlespar.fakes.tcp_server import until
from myrtlespar.fakes.upstreams import FakeEngine

READ_TIMEOUT_S = 0.4  # limit of the wait for a command, which may never arrive
POLL_S = 0.005
REACTION_S = 0.05  # time for the program to act on a notice


class ScriptedEngine(FakeEngine):
    """An engine that holds commands in an inbox and notices in an outbox until a test or replay lets them through.

    OPEN commands, marks and the answers to marks are let through as soon as they are first in the inbox or outbox. The
    greeting waits in the outbox as notices do. Periodic requests for gauges are not answered: the answers would prove
    that earlier commands arrived, which the script leaves open.

    Attributes:
        inbox: Commands that arrived and were not carried out yet.
        outbox: Lines that were not sent yet.
        links_seen: The number of connections on which the command OPEN was carried out.
        awaited_calls: The number of the call that a run waits for, by request id.
        calls_made: The number of calls made, by request id.
        wrong_replies: The ids of requests that received the reply to another call.
        bodies: The body of each request, by request id.
        passes_everything: Whether commands and notices are handled at once, without waiting in inbox and outbox.
    """

    def __init__(self) -> None:
        self.inbox: list[dict[str, Any]] = []
        self.outbox: list[dict[str, Any]] = []
        self.links_seen = 0
        self.awaited_calls: dict[str, int] = {}
        self.calls_made: dict[str, int] = {}
        self.wrong_replies: list[str] = []
        self.bodies: dict[str, bytes] = {}
        self.passes_everything = False
        super().__init__()

    def serve(self, link: socket.socket) -> None:
        """Put the commands of one connection into the inbox."""
        for line in link.makefile("rb"):
            with self.lock:
                self.inbox.append({**json.loads(line), "link": link})
                self.handle_unscripted()

    def handle_unscripted(self) -> None:
        """Let through OPEN commands, marks and their answers if next in line, or all if `passes_everything` is set."""
        with self.lock:
            while self.inbox and (self.passes_everything or self.inbox[0]["t"] in ("OPEN", "SYSINFO")):
                self.handle_next_command()
            while self.outbox and (self.passes_everything or self.outbox[0]["t"] == "INFO"):
                self.send_line(self.link, self.outbox.pop(0))

    def handle_next_command(self) -> None:
        """Carry out the first command in the inbox."""
        command = self.inbox.pop(0)
        link = command.pop("link")
        if command["t"] == "OPEN":
            self.links_seen += 1
            self.link = link
            age_ms = int((time.time() - self.started_at) * 1000)
            self.outbox = [{"t": "BOOTED", "status": "LOADED", "time_ms": age_ms}]
            self.outbox += self.notices[command["no"] :]
        elif command["t"] == "SYSINFO":
            if not command["mark"].startswith("gauges") or self.passes_everything:
                self.outbox.append({"t": "INFO", "mark": command["mark"], "v": [0.1, len(self.running), 0.1, 3]})
        elif command["t"] == "SCHED":
            rid = command["rid"]
            body = base64.b64decode(command["b64"])
            self.bodies[rid] = body
            if rid not in self.running:
                self.starts[rid] += 1
                self.starts_by_body[body] += 1
                self.running.add(rid)
        elif command["rid"] in self.awaited_calls:
            number = self.awaited_calls.pop(command["rid"])
            if f"call {number} of " not in base64.b64decode(command["b64"]).decode("latin-1"):
                self.wrong_replies.append(command["rid"])

    def note(self, **row: Any) -> None:
        """Number a notice and put it into the outbox."""
        with self.lock:
            self.notices.append({**row, "no": len(self.notices) + 1})
            self.outbox.append(self.notices[-1])
            self.handle_unscripted()

    # The actions of a script.

    def rid(self, body: bytes) -> str:
        """Wait until a start of the request with this body was carried out, and return the request id."""
        found: str = until(
            lambda: next((rid for rid, its in self.bodies.items() if its == body), None), f"start of {body!r}"
        )
        return found

    def read(self) -> bool:
        """Carry out the next start or reply. Return false if none arrives within READ_TIMEOUT_S."""
        end = time.monotonic() + READ_TIMEOUT_S
        while time.monotonic() < end:
            with self.lock:
                if self.inbox:
                    self.handle_next_command()
                    self.handle_unscripted()
                    return True
            time.sleep(POLL_S)
        return False

    def send_next_notice(self) -> bool:
        """Send the next notice. Return false if there is none."""
        with self.lock:
            if not self.outbox:
                return False
            self.send_line(self.link, self.outbox.pop(0))
            self.handle_unscripted()
        time.sleep(REACTION_S)
        return True

    def ask(self, body: bytes) -> None:
        """Make a run request its next call."""
        rid = self.rid(body)
        self.calls_made[rid] = self.awaited_calls[rid] = self.calls_made.get(rid, 0) + 1
        self.note(t="IOREQ", rid=rid, b64=base64.b64encode(b"call %d of " % self.calls_made[rid] + body).decode())

    def end(self, body: bytes, status: str) -> None:
        """End a run with this status."""
        rid = self.rid(body)
        self.running.discard(rid)
        result = {"b64": base64.b64encode(b"result of " + body).decode()} if status == "PASS" else {}
        self.note(t="REAP", rid=rid, status=status, time_ms=5, **result)

    def break_link(self) -> None:
        """Close the connection and discard all commands and notices in transit."""
        with self.lock:
            self.inbox.clear()
            self.outbox.clear()
            link = self.link
            self.link = None
        if link is not None:
            self.cut(link)

    def release_all(self) -> None:
        """End all runs, and handle everything at once from now on."""
        with self.lock:
            self.passes_everything = True
            self.handle_unscripted()
        for rid in list(self.running):
            self.end(self.bodies[rid], "PASS")
