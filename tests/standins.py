"""Stand-ins for all that the real program talks to, and the program itself as a process."""

from __future__ import annotations

import base64
import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from thriftpy2.protocol.binary import TBinaryProtocol
from thriftpy2.thrift import TMessageType
from thriftpy2.transport import TMemoryBuffer

from myrtlespar.net.thriftwire import encode, idl

ROOT = Path(__file__).parent.parent
CLASSES = [("render", "free", 2400.0, 6100.0, 1.0), ("fetch", "free", 1100.0, 2700.0, 2.0),
           ("order", "single_shot", 1700.0, 4400.0, 3.0)]
WAIT_S = 20.0  # until a test gives up; nothing here is expected to take so long


def settings(**changes: Any) -> dict[str, Any]:
    """The settings object of a small server."""
    return {
        "classes": [{"name": name, "effect": effect, "aim_ms": aim, "give_up_ms": due, "worth": worth}
                    for name, effect, aim, due, worth in CLASSES],
        "family_info": {"cores": 2, "memory_kb": 200000.0, "blowup": 16.0, "calls_by_class": [True] * 3,
                        "calls_out": 6.0, "calls_over_ms": 5000.0, "below": "one_for_all", "signal": "weight",
                        "tells_gone": True, "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"]},
        "invariants": {"fall_multiple": 8.0, "fall_ms": 1500.0, "answer_slack_ms": 100.0,
                       "drain_grace_ms": 1000.0},
        "permissions": {"max_retry_after_ms": 1000.0, "retry_after": True}, **changes}


def until(ready: Callable[[], Any], what: str = "") -> Any:
    """Wait for something that must come."""
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        if value := ready():
            return value
        time.sleep(0.005)
    raise AssertionError(f"never came: {what or ready}")


def exactly(sock: socket.socket, size: int) -> bytes:
    """So many bytes, or EOFError."""
    out = b""
    while len(out) < size:
        if not (data := sock.recv(size - len(out))):
            raise EOFError
        out += data
    return out


class Server:
    """Accepts on a port picked by the system; a thread a connection."""

    def __init__(self, port: int = 0) -> None:
        self.links: list[socket.socket] = []
        self.listener = socket.create_server(("127.0.0.1", port))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """host:port."""
        return f"127.0.0.1:{self.port}"

    def relisten(self) -> None:
        """Accept at a new address only."""
        old, self.listener = self.listener, socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()
        old.shutdown(socket.SHUT_RDWR)
        old.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                link, _ = self.listener.accept()
                self.links.append(link)
                threading.Thread(target=self._serve, args=(link,), daemon=True).start()

    def _serve(self, link: socket.socket) -> None:
        with contextlib.suppress(OSError, EOFError):
            self.serve(link)
        self.cut(link)

    def serve(self, link: socket.socket) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def cut(self, *links: socket.socket) -> None:
        """End these connections, or all."""
        for link in links or tuple(self.links):
            with contextlib.suppress(OSError):
                link.shutdown(socket.SHUT_RDWR)
            link.close()

    def down(self) -> None:
        """Listen no more, end all connections."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.cut()


class Kernel(Server):
    """Runs requests as their bodies say: `ms=50 calls=1 end=FAIL`; runs do not slow each other."""

    def __init__(self) -> None:
        self.lock = threading.RLock()
        self.starts: Counter[str] = Counter()
        self.by_body: Counter[bytes] = Counter()
        self.commands: list[dict[str, Any]] = []
        self.notices: list[dict[str, Any]] = []
        self.replies: list[bytes] = []
        self.waits: dict[str, threading.Event] = {}
        self.running: set[str] = set()
        self.link: socket.socket | None = None
        self.born, self.deaf, self.mute = time.time(), False, False
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
            threading.Thread(target=lambda: self.up.wait() and self.open(link, command), daemon=True).start()
            return
        old, self.link = self.link, link
        if old is not None:
            self.cut(old)
        age = int((time.time() - self.born) * 1000)
        self.tell(link, {"t": "BOOTED", "status": "LOADED", "time_ms": age})
        for row in self.notices[command["no"]:]:
            self.tell(link, row)

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
            threading.Thread(target=self._run, args=(command,), daemon=True).start()

    def iodone(self, link: socket.socket, command: dict[str, Any]) -> None:
        self.replies.append(base64.b64decode(command["b64"]))
        if (wait := self.waits.pop(command["rid"], None)) is not None:
            wait.set()

    def note(self, **row: Any) -> None:
        with self.lock:
            self.notices.append({**row, "no": len(self.notices) + 1})
            self.tell(self.link, self.notices[-1])

    def _run(self, command: dict[str, Any]) -> None:
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
            end = words.get("end", "PASS")
            result = {"b64": base64.b64encode(b"result of " + body).decode()} if end == "PASS" else {}
            self.note(t="REAP", rid=rid, status=end, time_ms=int((time.time() - began) * 1000), **result)


class Store(Server):
    """Ends calls in the order of `script` (`hang` never), then with OK."""

    def __init__(self, port: int = 0) -> None:
        self.script: list[str] = []
        self.calls: list[tuple[str, bytes]] = []
        self.drops: list[str] = []
        super().__init__(port)

    def serve(self, link: socket.socket) -> None:
        file = link.makefile("rb")
        while words := file.readline().split():
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
            odd = {"OK": good, "noise": b"\0\xff noise\r\n", "endless": b"x" * 5000, "copy": good * 2,
                   "stray": b"ffff OK 3\r\nabc\r\n" + good,
                   "short": b"%s OK %d\r\n%s\r\n" % (words[1], len(reply) - 3, reply),
                   "huge": b"%s OK 3000000000\r\n%s" % (words[1], reply)}
            if end == "slow":
                time.sleep(0.4)
                link.sendall(good)
            elif end in odd:
                link.sendall(odd[end])
            elif end != "hang":
                link.sendall(f"{id} {end}\r\n".encode())


class Roster(Server):
    """Takes reports."""

    def __init__(self) -> None:
        self.reports: list[tuple[str, Any]] = []
        super().__init__()

    def serve(self, link: socket.socket) -> None:
        file = link.makefile("rb")
        while line := file.readline():
            size = 0
            while (header := file.readline().strip()) != b"":
                if header.lower().startswith(b"content-length:"):
                    size = int(header.split(b":")[1])
            self.reports.append((line.decode().split()[1], json.loads(file.read(size))))
            link.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")


class Tile:
    """The program, with a stand-in for each neighbour."""

    def __init__(self, tmp: Path, operator: str = "", late_kernel: bool = False, sockets: int = 1024) -> None:
        self.kernel, self.store, self.roster = Kernel(), Store(), Roster()
        self.config = {
            "name": "n3", "listen": "127.0.0.1:0", "kernel": self.kernel.address, "store": self.store.address,
            "roster": self.roster.address, "seed": "8c1f30d27a5be964", "stop_ms": 2500,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "settings": settings()}
        self.path = tmp / "config.json"
        self.path.write_text(json.dumps(self.config))
        env = {**os.environ, "BALANCER_CONFIG": str(tmp / "config.json")}
        if operator:
            (tmp / "operator.toml").write_text(operator)
            env["MYRTLESPAR_OPERATOR"] = str(tmp / "operator.toml")
        if late_kernel:
            self.kernel.up.clear()
        self.process = subprocess.Popen([sys.executable, "-m", "myrtlespar"], cwd=ROOT, env=env, text=True,
                                        stdout=subprocess.PIPE)
        self.log: list[dict[str, Any]] = []
        threading.Thread(target=self._read, daemon=True).start()
        self.ports = until(lambda: self.event("serving"), "start")["ports"]
        if not late_kernel:
            until(lambda: self.event("kernel up"), "kernel link")

    def _read(self) -> None:
        assert self.process.stdout
        for line in self.process.stdout:
            self.log.append(json.loads(line))

    def event(self, name: str) -> dict[str, Any] | None:
        """The last log line of this kind."""
        return next((row for row in reversed(self.log) if row["event"] == name), None)

    def move(self) -> None:
        """A new address for each neighbour, told by a reload. Open connections go on for a while."""
        for name, part in (("kernel", self.kernel), ("store", self.store), ("roster", self.roster)):
            part.relisten()
            self.config[name] = part.address
        self.path.write_text(json.dumps(self.config))
        self.process.send_signal(signal.SIGHUP)

    def counters(self) -> dict[str, int]:
        """Ask for the counters."""
        seen = sum(row["event"] == "counters" for row in self.log)
        self.process.send_signal(signal.SIGUSR1)
        until(lambda: sum(row["event"] == "counters" for row in self.log) > seen, "counters")
        return self.event("counters") or {}

    def stop(self) -> int:
        """Notice to drain, then the exit status."""
        self.process.terminate()
        return self.process.wait(WAIT_S)

    def close(self) -> None:
        """End everything."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait(WAIT_S)
        for server in (self.kernel, self.store, self.roster):
            server.down()


class Client:
    """A Thrift client proxy on one connection."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.settimeout(WAIT_S)
        self.seq = 0
        self.count: Counter[int] = Counter()  # answers by sequence number
        self.answers: dict[int, tuple[str, Any]] = {}
        self.times: dict[int, float] = {}
        self.told: list[str] = []
        self.ended = threading.Event()
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        with contextlib.suppress(OSError, EOFError):
            while True:
                frame = exactly(self.sock, struct.unpack(">I", exactly(self.sock, 4))[0])
                protocol = TBinaryProtocol(TMemoryBuffer(frame), strict_read=True)
                name, kind, seq = protocol.read_message_begin()
                if kind == TMessageType.ONEWAY:
                    self.told.append(name)
                    continue
                if kind == TMessageType.EXCEPTION:
                    answer: tuple[str, Any] = ("exception", None)
                else:
                    result = getattr(idl.Front, f"{name}_result")()
                    protocol.read_struct(result)
                    answer = next((kind, value) for kind in ("success", "refused", "failed")
                                  if (value := getattr(result, kind, None)) is not None)
                self.count[seq] += 1
                self.times[seq] = time.time() * 1000
                self.answers[seq] = answer
        self.ended.set()

    def send(self, method: str, body: bytes = b"", **fields: str) -> int:
        """A request; returns its sequence number."""
        self.seq += 1
        given = {"method": method, "rid": os.urandom(8).hex(), "t0": str(int(time.time() * 1000)),
                 "peer": "1", "mem": "20.0", "prio": "0.5", **fields}
        args = idl.Front.invoke_args(fields=given, body=body)
        self.sock.sendall(encode("invoke", TMessageType.CALL, self.seq, args))
        return self.seq

    def say(self, name: str, **args: Any) -> int:
        """Any other message."""
        self.seq += 1
        kind = TMessageType.ONEWAY if name == "abort" else TMessageType.CALL
        self.sock.sendall(encode(name, kind, self.seq, getattr(idl.Front, f"{name}_args")(**args)))
        return self.seq

    def answer(self, seq: int) -> tuple[str, Any]:
        """The answer to that request, once there."""
        found: tuple[str, Any] = until(lambda: self.answers.get(seq), f"answer {seq}")
        return found

    def ask(self, method: str, body: bytes = b"", **fields: str) -> tuple[str, Any]:
        """A request and its answer."""
        return self.answer(self.send(method, body, **fields))


@contextlib.contextmanager
def tile(tmp: Path, **more: Any) -> Iterator[Tile]:
    """A program for one test."""
    server = Tile(tmp, **more)
    try:
        yield server
    finally:
        server.close()


def text(value: str) -> bytes:
    """A text of AJP13."""
    return struct.pack(">H", len(value)) + value.encode() + b"\0"


class Gateway:
    """A web server that speaks AJP13 to the program, written from the protocol's page."""

    def __init__(self, port: int, secret: str = "s3") -> None:
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.settimeout(WAIT_S)
        self.secret = secret

    def packet(self, payload: bytes) -> None:
        """One packet."""
        self.sock.sendall(b"\x12\x34" + struct.pack(">H", len(payload)) + payload)

    def forward(self, uri: str, body: bytes = b"", chunked: bool = False, method: int = 4,
                **headers: str) -> None:
        """A Forward Request; the first part of a body whose length is told follows unasked."""
        rows = [(text(name.replace("_", "-")), value) for name, value in headers.items()]
        if chunked:
            rows.append((text("Transfer-Encoding"), "chunked"))
        elif body:
            rows.append((b"\xa0\x08", str(len(body))))
        uri, _, query = uri.partition("?")
        out = bytes([2, method]) + text("HTTP/1.1") + text(uri) + text("127.0.0.1") + b"\xff\xff"
        out += text("host")
        out += struct.pack(">HBH", 80, 0, len(rows)) + b"".join(name + text(value) for name, value in rows)
        out += (b"\x05" + text(query) if query else b"") + b"\x06" + text("n3") + b"\x0c" + text(self.secret)
        self.packet(out + b"\xff")
        self.rest = body
        if body and not chunked:
            self.part(len(body))

    def part(self, most: int) -> None:
        """The next part of the body, or its end."""
        part, self.rest = self.rest[:min(most, 700)], self.rest[min(most, 700):]
        self.packet(struct.pack(">H", len(part)) + part if part else b"")

    def next(self) -> bytes:
        """The payload of the next packet."""
        magic, size = struct.unpack(">2sH", exactly(self.sock, 4))
        assert magic == b"AB" and size <= 8188
        return exactly(self.sock, size)

    def answer(self) -> tuple[int, dict[str, str], bytes, bool]:
        """Status, headers, body and whether the connection may be used again."""
        status, headers, body = 0, {}, b""
        while True:
            payload = self.next()
            if payload[0] == 6:
                self.part(struct.unpack(">H", payload[1:3])[0])
            elif payload[0] == 4:
                status, at = struct.unpack(">H", payload[1:3])[0], 3
                at += 3 + struct.unpack(">H", payload[at:at + 2])[0]
                count, at = struct.unpack(">H", payload[at:at + 2])[0], at + 2
                for _ in range(count):
                    row = []
                    for _ in range(2):
                        size = struct.unpack(">H", payload[at:at + 2])[0]
                        coded = size >> 8 == 0xA0
                        row.append(hex(size) if coded else payload[at + 2:at + 2 + size].decode())
                        at += 2 if coded else 3 + size
                    headers[row[0].lower()] = row[1]
                assert at == len(payload)
            elif payload[0] == 3:
                size = struct.unpack(">H", payload[1:3])[0]
                assert len(payload) == size + 4 and payload[-1] == 0
                body += payload[3:3 + size]
            else:
                assert payload[0] == 5 and len(payload) == 2
                return status, headers, body, payload[1] == 1

    def ask(self, uri: str, body: bytes = b"", **more: Any) -> tuple[int, dict[str, str], bytes, bool]:
        """A request and its answer."""
        self.forward(uri, body, **more)
        return self.answer()


class Servlet(Server):
    """An AJP server: answers a request with its name, path and body; `script` holds what else it may do."""

    def __init__(self, name: str) -> None:
        self.name, self.script, self.seen = name, [], []
        super().__init__()

    def serve(self, link: socket.socket) -> None:
        while True:
            magic, size = struct.unpack(">2sH", exactly(link, 4))
            payload = exactly(link, size)
            assert magic == b"\x12\x34"
            if payload[:1] == b"\x0a":
                link.sendall(b"AB\0\x01\x09")
                continue
            self.seen.append(payload)
            body, want = b"", int(payload.split(b"\xa0\x08")[1][2:].split(b"\0")[0])
            while len(body) < want:
                if body:
                    link.sendall(b"AB\0\x03\x06\x1f\xfa")
                body += exactly(link, struct.unpack(">2sHH", exactly(link, 6))[2])
            step = self.script.pop(0) if self.script else "200"
            if step == "cut":
                return
            if step == "hang":
                return time.sleep(WAIT_S)
            out = b"\x04" + struct.pack(">H", int(step)) + text("x") + b"\0\x01"
            out += text("X-By") + text(self.name)
            link.sendall(b"AB" + struct.pack(">H", len(out)) + out)
            part = b"%s got %d" % (self.name.encode(), len(body))
            link.sendall(b"AB" + struct.pack(">HBH", len(part) + 4, 3, len(part)) + part + b"\0")
            link.sendall(b"AB\0\x02\x05\x01")
