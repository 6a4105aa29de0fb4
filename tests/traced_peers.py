"""An engine and clients that keep all they sent and received, for comparison at the end of a trial."""

from __future__ import annotations

import base64
import contextlib
import json
import math
import os
import random
import socket
import struct
import threading
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from myrtlespar.fakes import ThriftClient
from myrtlespar.fakes.upstreams import FakeEngine
from myrtlespar.net.codec.thrift import encode, idl

GIVE_UP_MS = {"render": 6100.0, "fetch": 2700.0, "order": 4400.0}  # by method: when an answer is due
CALL_TIMEOUT_S = 20.0


class TracedKernel(FakeEngine):
    """An engine that keeps all commands over its restarts, and the calls that it requested for each run."""

    def __init__(self) -> None:
        self.history: list[dict[str, Any]] = []
        self.asked: dict[str, set[bytes]] = defaultdict(set)
        self.malformed: list[bytes] = []
        super().__init__()

    def serve(self, link: socket.socket) -> None:
        for line in link.makefile("rb"):
            if not line.endswith(b"\n"):
                return  # cut with its link
            with self.lock:
                try:
                    command = json.loads(line)
                    handle = {"OPEN": self.open, "SCHED": self.sched, "IODONE": self.iodone, "SYSINFO": self.sysinfo}[
                        command["t"]
                    ]
                except (ValueError, KeyError, TypeError):
                    self.malformed.append(line[:200])
                    return
                self.history.append(command)
                handle(link, command)

    def note(self, **row: Any) -> None:
        if row["t"] == "IOREQ":
            self.asked[row["rid"]].add(base64.b64decode(row["b64"]))
        super().note(**row)

    def restart(self) -> None:
        """End all runs without a notice, as a restarted engine does; notices begin with 1 again."""
        with self.lock:
            self.notices = []
            self.waits = {}
            self.started_at = time.time()
            self.running.clear()
            if self.link is not None:
                self.cut(self.link)

    def _run(self, command: dict[str, Any], row: list[Any]) -> None:
        incarnation = self.started_at
        note = self.note

        def note_unless_restarted(**notice: Any) -> None:
            with self.lock:
                if self.started_at == incarnation:
                    note(**notice)

        Run(self, note_unless_restarted, command, row).execute()


@dataclass
class Run:
    """One run of the traced engine; it sends no notice once the engine was restarted."""

    kernel: TracedKernel
    note: Callable[..., None]
    command: dict[str, Any]
    row: list[Any]

    def execute(self) -> None:
        """Make the calls that the body asks for, take its time, and send the notice of the end."""
        kernel = self.kernel
        rid = self.command["rid"]
        body = base64.b64decode(self.command["b64"])
        words = dict(word.split("=", 1) for word in body.decode("latin-1").split() if "=" in word)
        began = time.time()
        incarnation = kernel.started_at
        for n in range(int(words.get("calls", 0))):
            done = kernel.waits[rid] = threading.Event()
            self.note(t="IOREQ", rid=rid, b64=base64.b64encode(b"call %d of " % n + body).decode())
            if not done.wait(CALL_TIMEOUT_S):
                return
        # The time that the run takes, as its body says.
        time.sleep(float(words.get("ms", 5)) / 1000)
        with kernel.lock:
            if kernel.started_at == incarnation:
                kernel.running.discard(rid)
            end = words.get("end", "PASS")
            result = {"b64": base64.b64encode(b"result of " + body).decode()} if end == "PASS" else {}
            self.note(t="REAP", rid=rid, status=end, time_ms=int((time.time() - began) * 1000), **result)


@dataclass
class Request:
    """A request that a client sent completely."""

    rid: str
    method: str
    body: bytes
    sent_ms: float


class TracedClient(ThriftClient):
    """A client that keeps every request, and whether it ended its connection itself."""

    def __init__(self, port: int) -> None:
        self.sent: dict[int, Request] = {}
        self.doubtful: dict[int, Request] = {}
        self.gave_up: set[int] = set()
        self.ended_ms = math.inf
        self.left = False
        self.unreadable: list[str] = []
        super().__init__(port)

    def _read(self) -> None:
        try:
            super()._read()
        except Exception as error:
            self.unreadable.append(repr(error))
        self.ended_ms = time.time() * 1000
        self.ended.set()

    def request(self, method: str, body: bytes, pieces: random.Random | None = None) -> int:
        """Send a request, in pieces where a source for their lengths is given."""
        rid = os.urandom(8).hex()
        now = time.time() * 1000
        self.seq += 1
        fields = {"method": method, "rid": rid, "t0": str(int(now)), "peer": "1", "mem": "20.0", "prio": "0.5"}
        data = encode("invoke", 1, self.seq, idl.Front.invoke_args(fields=fields, body=body))
        self.sent[self.seq] = Request(rid, method, body, now)
        while data:
            size = pieces.randrange(1, len(data) + 1) if pieces else len(data)
            self.sock.sendall(data[:size])
            data = data[size:]
        self.sent[self.seq].sent_ms = time.time() * 1000
        return self.seq

    def leave(self, reset: bool) -> None:
        """End the connection: nothing is owed on it any longer."""
        self.left = True
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        else:
            with contextlib.suppress(OSError):  # the program may have ended it
                self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
