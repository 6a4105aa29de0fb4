"""Fakes of the execution engine, the dependency and the service registry, which implement the published protocols.

On the wire and in settings these are called kernel, store and roster.
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

REPORT_LIFETIME_S = 3.0  # the registry lists a server for this time after its report
SLOW_CALL_S = 0.4  # delay of the reply to a call with the script entry `slow`


class FakeEngine(FakeServer):
    """An execution engine whose runs do what the body of the request says, such as `ms=50 calls=1 end=FAIL`.

    Runs do not slow each other down.

    Attributes:
        starts: The number of runs started by request id.
        starts_by_body: The number of runs started by body of the request.
        runs: Body, start and end of every run, in Unix ms; the end is None while the run is in progress.
        commands: All commands that were carried out.
        notices: All notices since the engine started, numbered from 1.
        replies: The replies to calls in the order of arrival.
        waits: The event that a run waits for during a call, by request id.
        running: The ids of the requests with a run in progress.
        longest_wait_ms: The longest wait of a command for the lock, after it was read.
        link: The present connection from the server.
        started_at: The start time that the engine reports, in Unix seconds.
        ignores_commands: Commands are read and have no effect.
        sends_nothing: Commands are carried out, and nothing is sent to the server.
        connections_to_close: The number of next connections to close in place of greeting them.
        up: Connections are accepted, but greeted only while this is set.
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
        """Carry out the commands of one connection, one JSON line each."""
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
        """Send one line, unless there is no connection or `sends_nothing` is set."""
        with self.lock, contextlib.suppress(OSError):
            if link is not None and not self.sends_nothing:
                link.sendall(json.dumps(row).encode() + b"\n")

    def has_answered_mark(self) -> bool:
        """Return whether a mark (SYSINFO) was answered; the first one on a connection completes its setup."""
        with self.lock:  # held until the answer is sent
            return any(command["t"] == "SYSINFO" for command in self.commands)

    def open(self, link: socket.socket, command: dict[str, Any]) -> None:
        """Greet a new connection, send the notices that the server lacks, and close the previous connection."""
        if not self.up.is_set():  # the connection was accepted, but the engine is not up yet
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
        """Answer a mark with the gauges."""
        busy = min(1.0, len(self.running) / 2)
        self.send_line(link, {"t": "INFO", "mark": command["mark"], "v": [busy, len(self.running), 0.1, 3]})

    def sched(self, link: socket.socket, command: dict[str, Any]) -> None:
        """Start a run, unless the request has one in progress."""
        body = base64.b64decode(command["b64"])
        if body.startswith(b"alien"):  # rejected as a request that never came to this server
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
        """Number a notice, store it for later connections, and send it."""
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
    """A dependency that answers calls as `script` says, one entry per call, and OK after the last entry.

    Attributes:
        script: For each of the next calls a status, a key of `replies`, `cut` (close the connection), `slow` or `hang`.
        calls: Request id and body of every call.
        drops: The request ids of calls that the server cancelled (DROP).
    """

    def __init__(self, port: int = 0) -> None:
        self.script: list[str] = []
        self.calls: list[tuple[str, bytes]] = []
        self.drops: list[str] = []
        super().__init__(port)

    def serve(self, link: socket.socket) -> None:
        """Answer calls until the connection ends."""
        file = link.makefile("rb")
        while (line := file.readline()).endswith(b"\n"):  # a partial line was cut off with the connection
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
        """Return the possible replies to a call with this id: the correct one under OK, and malformed ones."""
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
    """A service registry that accepts reports and lists the servers with a recent report.

    All times are seconds of the monotonic clock.

    Attributes:
        reports: Path and content of every report.
        latest: The time of the latest report by server name.
        times: The time of arrival of every report.
        answered_times: The time of arrival of every answered report.
        hang: The number of next reports to leave unanswered.
        mode: `silent`: reports are read and not answered; `down`: connections are closed; `cut inside`: connections are
            closed within the answer; `upgrade`: the answer requests another protocol; empty: reports are answered.
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
        """Return the names of the servers with a report in the last REPORT_LIFETIME_S."""
        now = time.monotonic()
        return [name for name, at in self.latest.copy().items() if now - at < REPORT_LIFETIME_S]

    def serve(self, link: socket.socket) -> None:
        """Answer reports until the connection ends."""
        file = link.makefile("rb")
        while (line := file.readline()).endswith(b"\n"):  # a partial line was cut off with the connection
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
