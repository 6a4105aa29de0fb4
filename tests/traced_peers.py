"""A fake engine and clients that record what they sent and received, for comparison at the end of a trial."""

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

ANSWER_DUE_MS = {"render": 6100.0, "fetch": 2700.0, "order": 4400.0}  # by method: time until the answer is due
CALL_TIMEOUT_S = 20.0


class TracedEngine(FakeEngine):
    """An engine that records all commands across its restarts, and the calls that it requested for each run.

    Attributes:
        history: All commands, in the order of their arrival.
        requested_calls: Bodies of the calls, by request id.
        malformed: Lines that are no command, cut to 200 bytes.
    """

    def __init__(self) -> None:
        self.history: list[dict[str, Any]] = []
        self.requested_calls: dict[str, set[bytes]] = defaultdict(set)
        self.malformed: list[bytes] = []
        super().__init__()

    def serve(self, link: socket.socket) -> None:
        for line in link.makefile("rb"):
            if not line.endswith(b"\n"):
                return  # the connection ended within the line
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
            self.requested_calls[row["rid"]].add(base64.b64decode(row["b64"]))
        super().note(**row)

    def restart(self) -> None:
        """End all runs without a notice, and number notices from 1 again, as a restarted engine does."""
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
    """One run of the traced engine; it sends no notice after a restart of the engine."""

    engine: TracedEngine
    note: Callable[..., None]
    command: dict[str, Any]
    row: list[Any]

    def execute(self) -> None:
        """Request `calls` calls, sleep for `ms` milliseconds and send the final notice, as the body says."""
        engine = self.engine
        rid = self.command["rid"]
        body = base64.b64decode(self.command["b64"])
        words = dict(word.split("=", 1) for word in body.decode("latin-1").split() if "=" in word)
        began = time.time()
        incarnation = engine.started_at
        for n in range(int(words.get("calls", 0))):
            done = engine.waits[rid] = threading.Event()
            self.note(t="IOREQ", rid=rid, b64=base64.b64encode(b"call %d of " % n + body).decode())
            if not done.wait(CALL_TIMEOUT_S):
                return
        time.sleep(float(words.get("ms", 5)) / 1000)
        with engine.lock:
            if engine.started_at == incarnation:
                engine.running.discard(rid)
            end = words.get("end", "PASS")
            result = {"b64": base64.b64encode(b"result of " + body).decode()} if end == "PASS" else {}
            self.note(t="REAP", rid=rid, status=end, time_ms=int((time.time() - began) * 1000), **result)


@dataclass
class Request:
    """A request of a client; `sent_ms` is when it was sent completely, in Unix ms."""

    rid: str
    method: str
    body: bytes
    sent_ms: float


class TracedClient(ThriftClient):
    """A client that records its requests, and how its connection ended.

    Attributes:
        sent: Requests that were sent completely, by sequence number.
        possibly_sent: Requests whose sending failed, which the server may have got or not, by sequence number.
        aborted: Sequence numbers of the requests that the client aborted.
        ended_ms: When reading from the connection ended, in Unix ms; infinity before.
        left: Whether the client closed the connection itself.
        unreadable: Errors in reading answers.
    """

    def __init__(self, port: int) -> None:
        self.sent: dict[int, Request] = {}
        self.possibly_sent: dict[int, Request] = {}
        self.aborted: set[int] = set()
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

    def request(self, method: str, body: bytes, piece_source: random.Random | None = None) -> int:
        """Send a request and return its sequence number; in pieces of random length if `piece_source` is given."""
        rid = os.urandom(8).hex()
        now = time.time() * 1000
        self.seq += 1
        fields = {"method": method, "rid": rid, "t0": str(int(now)), "peer": "1", "mem": "20.0", "prio": "0.5"}
        data = encode("invoke", 1, self.seq, idl.Front.invoke_args(fields=fields, body=body))
        self.sent[self.seq] = Request(rid, method, body, now)
        while data:
            size = piece_source.randrange(1, len(data) + 1) if piece_source else len(data)
            self.sock.sendall(data[:size])
            data = data[size:]
        self.sent[self.seq].sent_ms = time.time() * 1000
        return self.seq

    def leave(self, reset: bool) -> None:
        """Close the connection, by a reset if `reset`; the server need not answer open requests any more."""
        self.left = True
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        else:
            with contextlib.suppress(OSError):  # the server may have closed it already
                self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
