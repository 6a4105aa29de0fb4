"""Scripted kernel, store and roster, written from the protocol's page."""

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


class FakeEngine(FakeServer):
    """Runs requests as their bodies say: `ms=50 calls=1 end=FAIL`; runs do not slow each other."""

    def __init__(self) -> None:
        self.lock = threading.RLock()
        self.starts: Counter[str] = Counter()
        self.by_body: Counter[bytes] = Counter()
        self.runs: list[list[Any]] = []  # body, begin and end in Unix ms (None: it still runs)
        self.commands: list[dict[str, Any]] = []
        self.notices: list[dict[str, Any]] = []
        self.replies: list[bytes] = []
        self.waits: dict[str, threading.Event] = {}
        self.running: set[str] = set()
        self.link: socket.socket | None = None
        self.born, self.deaf, self.mute = time.time(), False, False
        self.leaves = 0  # so many links are ended behind their greeting
        self.up = threading.Event()
        self.up.set()
        super().__init__()

    def serve(self, link: socket.socket) -> None:
        for line in link.makefile("rb"):
            command = json.loads(line)
            with self.lock:
                if self.deaf:
                    continue
                self.commands.append(command)
                getattr(self, command["t"].lower())(link, command)

    def tell(self, link: socket.socket | None, row: dict[str, Any]) -> None:
        with self.lock, contextlib.suppress(OSError):
            if link is not None and not self.mute:
                link.sendall(json.dumps(row).encode() + b"\n")

    def open(self, link: socket.socket, command: dict[str, Any]) -> None:
        if not self.up.is_set():  # the link is accepted, the kernel starts later
            threading.Thread(target=self._open_later, args=(link, command), daemon=True).start()
            return None
        if self.leaves:
            self.leaves -= 1
            return self.cut(link)
        old, self.link = self.link, link
        if old is not None:
            self.cut(old)
        age = int((time.time() - self.born) * 1000)
        self.tell(link, {"t": "BOOTED", "status": "LOADED", "time_ms": age})
        for row in self.notices[command["no"] :]:
            self.tell(link, row)
        return None

    def _open_later(self, link: socket.socket, command: dict[str, Any]) -> None:
        if self.up.wait(WAIT_S):
            self.open(link, command)

    def sysinfo(self, link: socket.socket, command: dict[str, Any]) -> None:
        busy = min(1.0, len(self.running) / 2)
        self.tell(link, {"t": "INFO", "mark": command["mark"], "v": [busy, len(self.running), 0.1, 3]})

    def sched(self, link: socket.socket, command: dict[str, Any]) -> None:
        if base64.b64decode(command["b64"]).startswith(b"alien"):  # of no request that came to this server
            self.tell(link, {"t": "EINVAL", "status": "SCHED", "rid": command["rid"]})
        elif command["rid"] not in self.running:
            self.starts[command["rid"]] += 1
            self.by_body[base64.b64decode(command["b64"])] += 1
            self.running.add(command["rid"])
            row = [base64.b64decode(command["b64"]), time.time() * 1000, None]
            self.runs.append(row)
            threading.Thread(target=self._run, args=(command, row), daemon=True).start()

    def iodone(self, link: socket.socket, command: dict[str, Any]) -> None:
        self.replies.append(base64.b64decode(command["b64"]))
        if (wait := self.waits.pop(command["rid"], None)) is not None:
            wait.set()

    def note(self, **row: Any) -> None:
        with self.lock:
            self.notices.append({**row, "no": len(self.notices) + 1})
            self.tell(self.link, self.notices[-1])

    def _run(self, command: dict[str, Any], row: list[Any]) -> None:
        rid, began, body = command["rid"], time.time(), base64.b64decode(command["b64"])
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
    """Ends calls in the order of `script` (`hang` never), then with OK."""

    def __init__(self, port: int = 0) -> None:
        self.script: list[str] = []
        self.calls: list[tuple[str, bytes]] = []
        self.drops: list[str] = []
        super().__init__(port)

    def serve(self, link: socket.socket) -> None:
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
            reply = b"reply\r\nto " + body
            good = b"%s OK %d\r\n%s\r\n" % (words[1], len(reply), reply)
            odd = {
                "OK": good,
                "noise": b"\0\xff noise\r\n",
                "endless": b"x" * 5000,
                "copy": good * 2,
                "stray": b"ffff OK 3\r\nabc\r\n" + good,
                "short": b"%s OK %d\r\n%s\r\n" % (words[1], len(reply) - 3, reply),
                "huge": b"%s OK 3000000000\r\n%s" % (words[1], reply),
            }
            if end == "slow":
                time.sleep(0.4)
                link.sendall(good)
            elif end in odd:
                link.sendall(odd[end])
            elif end != "hang":
                link.sendall(f"{id} {end}\r\n".encode())


class FakeRegistry(FakeServer):
    """Takes reports, and tells who reported in the last 3 s."""

    def __init__(self) -> None:
        self.reports: list[tuple[str, Any]] = []
        self.latest: dict[str, float] = {}  # by name, by the monotonic clock
        self.times: list[float] = []  # of all reports
        self.taken: list[float] = []  # of those that were answered
        self.hang = 0  # so many reports are not answered
        self.mode = ""  # "silent": reads and never answers; "down": ends each link; "cut inside": within its answer;
        # "upgrade": asks for another protocol
        super().__init__()

    def listed(self) -> list[str]:
        """The names on the list now."""
        now = time.monotonic()
        return [name for name, at in self.latest.copy().items() if now - at < 3.0]

    def serve(self, link: socket.socket) -> None:
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
                self.taken.append(self.times[-1])
                link.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
