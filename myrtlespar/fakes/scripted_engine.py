"""A fake engine that reads, runs and sends only when a script says so, to replay an order of events on sockets."""

from __future__ import annotations

import base64
import json
import socket
import time
from typing import Any

from myrtlespar.fakes.tcp_server import until
from myrtlespar.fakes.upstreams import FakeEngine

READ_TIMEOUT_S = 0.4  # for a command that may never come
POLL_S = 0.005
REACTION_S = 0.05  # for the program to act on a notice


class ScriptedEngine(FakeEngine):
    """An engine whose commands wait in an inbox and whose notices wait in an outbox.

    Greetings and marks pass when it is their turn. Periodic requests for gauges are not answered, as the answers would
    prove that commands before them arrived, which the script leaves in doubt.

    Attributes:
        inbox: Commands that arrived and were not carried out.
        outbox: Lines that were not sent.
        links_seen: The number of connections that were greeted.
        at_call: By request id, the number of the call that its run waits for.
        made: By request id, the number of calls made.
        wrong: The ids of requests that got the reply to another call.
        bodies: By request id, the request's body.
        free: Commands and notices pass at once.
    """

    def __init__(self) -> None:
        self.inbox: list[dict[str, Any]] = []
        self.outbox: list[dict[str, Any]] = []
        self.links_seen = 0
        self.at_call: dict[str, int] = {}
        self.made: dict[str, int] = {}
        self.wrong_replies: list[str] = []
        self.bodies: dict[str, bytes] = {}
        self.passes_everything = False
        super().__init__()

    def serve(self, link: socket.socket) -> None:
        """Put commands into the inbox."""
        for line in link.makefile("rb"):
            with self.lock:
                self.inbox.append({**json.loads(line), "link": link})
                self.pump()

    def pump(self) -> None:
        """Let pass what the script need not name."""
        with self.lock:
            while self.inbox and (self.passes_everything or self.inbox[0]["t"] in ("OPEN", "SYSINFO")):
                self.take()
            while self.outbox and (self.passes_everything or self.outbox[0]["t"] == "INFO"):
                self.send_line(self.link, self.outbox.pop(0))

    def take(self) -> None:
        """Carry out the first command of the inbox."""
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
        elif command["rid"] in self.at_call:
            number = self.at_call.pop(command["rid"])
            if f"call {number} of " not in base64.b64decode(command["b64"]).decode("latin-1"):
                self.wrong_replies.append(command["rid"])

    def note(self, **row: Any) -> None:
        """Put a notice into the outbox."""
        with self.lock:
            self.notices.append({**row, "no": len(self.notices) + 1})
            self.outbox.append(self.notices[-1])
            self.pump()

    # What a script may say.

    def rid(self, body: bytes) -> str:
        """Wait until the start of the request with this body was read, and return its id."""
        found: str = until(lambda: next((rid for rid, its in self.bodies.items() if its == body), None), f"{body!r}")
        return found

    def read(self) -> bool:
        """Carry out the next start or reply, if one arrives within READ_TIMEOUT_S."""
        end = time.monotonic() + READ_TIMEOUT_S
        while time.monotonic() < end:
            with self.lock:
                if self.inbox:
                    self.take()
                    self.pump()
                    return True
            time.sleep(POLL_S)
        return False

    def send_next_notice(self) -> bool:
        """Send the next notice, if there is one."""
        with self.lock:
            if not self.outbox:
                return False
            self.send_line(self.link, self.outbox.pop(0))
            self.pump()
        time.sleep(REACTION_S)
        return True

    def ask(self, body: bytes) -> None:
        """Let a run make its next call."""
        rid = self.rid(body)
        self.made[rid] = self.at_call[rid] = self.made.get(rid, 0) + 1
        self.note(t="IOREQ", rid=rid, b64=base64.b64encode(b"call %d of " % self.made[rid] + body).decode())

    def end(self, body: bytes, status: str) -> None:
        """End a run with this status."""
        rid = self.rid(body)
        self.running.discard(rid)
        result = {"b64": base64.b64encode(b"result of " + body).decode()} if status == "PASS" else {}
        self.note(t="REAP", rid=rid, status=status, time_ms=5, **result)

    def break_link(self) -> None:
        """Close the connection; what was on its way is lost."""
        with self.lock:
            self.inbox.clear()
            self.outbox.clear()
            link = self.link
            self.link = None
        if link is not None:
            self.cut(link)

    def release_all(self) -> None:
        """End all runs, and let everything pass from now on."""
        with self.lock:
            self.passes_everything = True
            self.pump()
        for rid in list(self.running):
            self.end(self.bodies[rid], "PASS")
