"""Fakes of the execution engine, the dependency and the service registry, written from the protocol's page.

On the wire and in settings they are called kernel, store and roster.
"""

from __future__ import annotations

import base64
import contextlib
import json
import socket
import threading
import time
from collections import Counter
from typing import Any

from myrtlespar.fakes.tcp_server import WAIT_S, FakeServer

REPORT_LIFETIME_S = 3.0
SLOW_CALL_S = 0.4


class FakeEngine(FakeServer):
    """An execution engine that runs requests as their bodies say: `ms=50 calls=1 end=FAIL`.

    Runs do not slow each other.

    Attributes:
        starts: Runs started, by request id.
        by_body: The same, by the request's body.
        runs: Body, begin and end of every run, in Unix milliseconds; the end is None while it runs.
        commands: All commands that were carried out.
        notices: All notices since its start, numbered from 1.
        replies: The replies to calls, in the order of their arrival.
        waits: By request id, what a run waits for during a call.
        running: The ids of the requests that run.
        longest_wait_ms: The longest time from the reading of a command to its handling.
        link: The present connection of the server.
        born: When this engine started, in Unix seconds.
        deaf: It reads commands and ignores them.
        mute: It runs commands and writes nothing.
        leaves: The number of connections that it still closes right after their greeting.
        up: Unset while the engine accepts connections and does not greet yet.
    """

    def __init__(self) -> None:
        self.lock = threading.RLock()
        self.starts: Counter[str] = Counter()
        self.starts_by_body: Counter[bytes] = Counter()
        self.runs: list[list[Any]] = []
        self.commands: list[dict[str, Any]] = []
        self.notices: list[dict[str, Any]] = []
        self.replies: list[bytes] = []
        self.waits: dict[str, threading.Event] = {}
        self.running: set[str] = set()
        self.longest_wait_ms = 0.0
        self.link: socket.socket | None = None
        self.started_at = time.time()
        self.ignores_commands = False
        self.sends_nothing = False
        self.connections_to_close = 0
        self.up = threading.Event()
        self.up.set()
        super().__init__()

    def serve(self, link: socket.socket) -> None:
        """Carry out commands, one JSON line each."""
        for line in link.makefile("rb"):
            read_at = time.time() * 1000
            command = json.loads(line)
            with self.lock:
                self.longest_wait_ms = max(self.longest_wait_ms, time.time() * 1000 - read_at)
                if self.ignores_commands:
                    continue
                self.commands.append(command)
                getattr(self, command["t"].lower())(link, command)

    def send_line(self, link: socket.socket | None, row: dict[str, Any]) -> None:
        """Write one line, unless there is no connection or the engine is mute."""
        with self.lock, contextlib.suppress(OSError):
            if link is not None and not self.sends_nothing:
                link.sendall(json.dumps(row).encode() + b"\n")

    def is_in_step(self) -> bool:
        """Whether a request for gauges was answered, as the first one is that brings a link into step."""
        with self.lock:  # the answer is written under it
            return any(command["t"] == "SYSINFO" for command in self.commands)

    def open(self, link: socket.socket, command: dict[str, Any]) -> None:
        """Greet a new connection, and repeat the notices that it has not seen. The connection before is closed."""
        if not self.up.is_set():  # the connection is accepted, the engine starts later
            threading.Thread(target=self._open_later, args=(link, command), daemon=True).start()
            return None
        if self.connections_to_close:
            self.connections_to_close -= 1
            return self.cut(link)
        old = self.link
        self.link = link
        if old is not None:
            self.cut(old)
        age = int((time.time() - self.started_at) * 1000)
        self.send_line(link, {"t": "BOOTED", "status": "LOADED", "time_ms": age})
        for row in self.notices[command["no"] :]:
            self.send_line(link, row)
        return None

    def _open_later(self, link: socket.socket, command: dict[str, Any]) -> None:
        if self.up.wait(WAIT_S):
            self.open(link, command)

    def sysinfo(self, link: socket.socket, command: dict[str, Any]) -> None:
        """Answer with the gauges."""
        busy = min(1.0, len(self.running) / 2)
        self.send_line(link, {"t": "INFO", "mark": command["mark"], "v": [busy, len(self.running), 0.1, 3]})

    def sched(self, link: socket.socket, command: dict[str, Any]) -> None:
        """Start a run, unless the request runs already."""
        body = base64.b64decode(command["b64"])
        if body.startswith(b"alien"):  # of no request that came to this server
            self.send_line(link, {"t": "EINVAL", "status": "SCHED", "rid": command["rid"]})
        elif command["rid"] not in self.running:
            self.starts[command["rid"]] += 1
            self.starts_by_body[body] += 1
            self.running.add(command["rid"])
            row = [body, time.time() * 1000, None]
            self.runs.append(row)
            threading.Thread(target=self._run, args=(command, row), daemon=True).start()

    def iodone(self, link: socket.socket, command: dict[str, Any]) -> None:
        """Resume a run with the reply to its call."""
        self.replies.append(base64.b64decode(command["b64"]))
        if (wait := self.waits.pop(command["rid"], None)) is not None:
            wait.set()

    def note(self, **row: Any) -> None:
        """Number a notice, keep it and send it."""
        with self.lock:
            self.notices.append({**row, "no": len(self.notices) + 1})
            self.send_line(self.link, self.notices[-1])

    def _run(self, command: dict[str, Any], row: list[Any]) -> None:
        rid = command["rid"]
        began = time.time()
        body = base64.b64decode(command["b64"])
        words = dict(word.split("=", 1) for word in body.decode("latin-1").split() if "=" in word)
        for n in range(int(words.get("calls", 0))):
            done = self.waits[rid] = threading.Event()
            self.note(t="IOREQ", rid=rid, b64=base64.b64encode(b"call %d of " % n + body).decode())
            if not done.wait(WAIT_S):
                return
        time.sleep(float(words.get("ms", 5)) / 1000)
        with self.lock:
            self.running.discard(rid)
            row[2] = time.time() * 1000
            end = words.get("end", "PASS")
            result = {"b64": base64.b64encode(b"result of " + body).decode()} if end == "PASS" else {}
            self.note(t="REAP", rid=rid, status=end, time_ms=int((time.time() - began) * 1000), **result)


class FakeDependency(FakeServer):
    """A dependency that ends calls as `script` says, one entry per call, then with OK.

    Attributes:
        script: The status of the next calls, or one of the faults that `replies` names, `cut`, `slow` or `hang`.
        calls: Request id and body of every call.
        drops: The request ids of calls that the server gave up.
    """

    def __init__(self, port: int = 0) -> None:
        self.script: list[str] = []
        self.calls: list[tuple[str, bytes]] = []
        self.drops: list[str] = []
        super().__init__(port)

    def serve(self, link: socket.socket) -> None:
        """Answer calls until the connection ends."""
        file = link.makefile("rb")
        while (line := file.readline()).endswith(b"\n"):  # without its end it was cut with the link
            words = line.split()
            id = words[1].decode()
            if words[0] == b"DROP":
                self.drops.append(id)
                continue
            body = file.read(int(words[3]) + 2)[:-2]
            self.calls.append((id, body))
            end = self.script.pop(0) if self.script else "OK"
            if end == "cut":
                return
            replies = self.replies(words[1], b"reply\r\nto " + body)
            if end == "slow":
                time.sleep(SLOW_CALL_S)
                link.sendall(replies["OK"])
            elif end in replies:
                link.sendall(replies[end])
            elif end != "hang":
                link.sendall(f"{id} {end}\r\n".encode())

    @staticmethod
    def replies(id: bytes, reply: bytes) -> dict[str, bytes]:
        """What goes out for a call with this id: the good reply under OK, and faulty ones."""
        good = b"%s OK %d\r\n%s\r\n" % (id, len(reply), reply)
        return {
            "OK": good,
            "noise": b"\0\xff noise\r\n",
            "endless": b"x" * 5000,
            "copy": good * 2,
            "stray": b"ffff OK 3\r\nabc\r\n" + good,
            "short": b"%s OK %d\r\n%s\r\n" % (id, len(reply) - 3, reply),
            "huge": b"%s OK 3000000000\r\n%s" % (id, reply),
        }


class FakeRegistry(FakeServer):
    """A service registry that accepts reports and lists the servers that reported lately.

    Attributes:
        reports: Path and content of every report.
        latest: The time of the newest report by name. All times are seconds of the monotonic clock.
        times: When each report arrived.
        taken: When those arrived that were answered.
        hang: The number of reports that it still leaves unanswered.
        mode: `silent` reads and never answers; `down` ends each connection; `cut inside` ends it within the answer;
            `upgrade` asks for another protocol; empty: it answers.
    """

    def __init__(self) -> None:
        self.reports: list[tuple[str, Any]] = []
        self.latest: dict[str, float] = {}
        self.times: list[float] = []
        self.answered_times: list[float] = []
        self.hang = 0
        self.mode = ""
        super().__init__()

    def listed(self) -> list[str]:
        """The names on the registry's list now."""
        now = time.monotonic()
        return [name for name, at in self.latest.copy().items() if now - at < REPORT_LIFETIME_S]

    def serve(self, link: socket.socket) -> None:
        """Answer reports until the connection ends."""
        file = link.makefile("rb")
        while (line := file.readline()).endswith(b"\n"):  # without its end it was cut with the link
            size = 0
            while (header := file.readline().strip()) != b"":
                if header.lower().startswith(b"content-length:"):
                    size = int(header.split(b":")[1])
            if self.mode == "down":
                return
            self.times.append(time.monotonic())
            self.reports.append((line.decode().split()[1], json.loads(file.read(size))))
            self.latest[self.reports[-1][0].rpartition("/")[2]] = time.monotonic()
            if self.mode == "cut inside":
                link.sendall(b"HTTP/1.1 2")
                return
            if self.mode == "upgrade":
                link.sendall(b"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n")
                return
            if self.hang:
                self.hang -= 1
            elif self.mode != "silent":
                self.answered_times.append(self.times[-1])
                link.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
