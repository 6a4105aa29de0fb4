"""While a tile server is replaced, its two processes book more memory than it has, each as if it were alone.

The store is crowded and answers slowly, so that runs wait at their calls and keep their memory. The case books the
memory as the pages say: a request's figure from 0.1 s after it was written until it is answered, 16 times as much while
it runs.
"""

from __future__ import annotations

import base64
import os
import random
import socket
import threading
import time
from collections import Counter
from dataclasses import dataclass
from typing import Any

from myrtlespar.fakes.thrift_client import ThriftClient
from myrtlespar.fakes.upstreams import FakeDependency, FakeEngine
from review.second.harness import BROKEN, HELD, Record, Server, Site, athlone_settings, main, port_of, trouble

MEMORY_KB = 20.0  # of one held request
RUN_FACTOR = 16.0
CORES = 6
RUNS_PER_CORE = 9.5  # the pages: about 9.4 to 23 running requests a core fill the memory
CAPACITY_KB = RUNS_PER_CORE * CORES * RUN_FACTOR * MEMORY_KB
WORK_S = 0.2  # of a run after its call
CALL_S = 0.3  # how long the crowded store takes
RATE_PER_S = 32.0
LENGTH_S = 14.0
REPLACED_AT_S = 7.0
BOOKED_AFTER_S = 0.1
SAMPLE_S = 0.02
PROXIES = 3
MAX_TRIES = 2
MAX_OPEN = 32  # requests of one connection


class Kernel(FakeEngine):
    """A kernel that ends a run at a call once its request is over, as the pages say.

    Attributes:
        over: The ids of the requests that are answered.
    """

    def __init__(self) -> None:
        self.over: set[str] = set()
        super().__init__()

    def _run(self, command: dict[str, Any], row: list[Any]) -> None:
        request_id = command["rid"]
        began_at = time.time()
        done = self.waits[request_id] = threading.Event()
        self.note(t="IOREQ", rid=request_id, b64=base64.b64encode(b"call of " + row[0]).decode())
        while not done.wait(SAMPLE_S):
            if request_id in self.over or time.time() - began_at > LENGTH_S:
                self._end(request_id, "KILLED", began_at)
                return
        time.sleep(WORK_S)
        self._end(request_id, "PASS", began_at, b64=base64.b64encode(b"result of " + row[0]).decode())

    def _end(self, request_id: str, status: str, began_at: float, **result: str) -> None:
        with self.lock:
            self.running.discard(request_id)
            elapsed_ms = int((time.time() - began_at) * 1000)
            self.note(t="REAP", rid=request_id, status=status, time_ms=elapsed_ms, **result)


class CrowdedStore(FakeDependency):
    """A store that answers each call well, and slowly."""

    def serve(self, link: socket.socket) -> None:
        """Answer the calls of one connection, each after `CALL_S`."""
        file = link.makefile("rb")
        lock = threading.Lock()
        while (line := file.readline()).endswith(b"\n"):
            words = line.split()
            if words[0] == b"DROP":
                continue
            body = file.read(int(words[3]) + 2)[:-2]
            threading.Timer(CALL_S, self._answer, (link, lock, words[1], body)).start()

    def _answer(self, link: socket.socket, lock: threading.Lock, request_id: bytes, body: bytes) -> None:
        reply = b"reply to " + body
        try:
            with lock:
                link.sendall(b"%s OK %d\r\n%s\r\n" % (request_id, len(reply), reply))
        except OSError:
            return


@dataclass(slots=True, eq=False)
class Try:
    """One try of a request that is not answered."""

    client: ThriftClient
    number: int
    request_id: str
    sent_at: float
    name: str
    body: bytes
    tries: int


class Proxy:
    """A client proxy: it opens a new connection when its present one is full, or when the tile server shuts it."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.client = ThriftClient(port_of(server.listen))
        self.open: list[Try] = []
        self.kinds: Counter[str] = Counter()

    def send(self, name: str, body: bytes, tries: int = 1) -> None:
        """Send a try of a request on a connection that the tile server has not shut."""
        crowded = sum(row.client is self.client for row in self.open) >= MAX_OPEN
        if crowded or self.client.one_way_messages or self.client.ended.is_set():
            self.client = ThriftClient(port_of(self.server.listen))
        request_id = os.urandom(8).hex()
        sent_at = time.time()
        fields = {"again": "1"} if tries > 1 else {}
        number = self.client.send(name, body, rid=request_id, mem=str(MEMORY_KB), **fields)
        self.open.append(Try(self.client, number, request_id, sent_at, name, body, tries))

    def read_answers(self) -> None:
        """Take the answers that have come, and try again once what may be sent again."""
        answered = [row for row in self.open if row.number in row.client.answers]
        self.open = [row for row in self.open if row.number not in row.client.answers]
        for row in answered:
            for engine in self.server.engines:
                engine.over.add(row.request_id)
            kind = row.client.answers[row.number][0]
            self.kinds[kind] += 1
            may_repeat = kind == "refused" or (kind == "failed" and row.name != "order")
            if may_repeat and row.tries < MAX_TRIES:
                self.send(row.name, row.body, row.tries + 1)

    def held_ids(self, now: float) -> set[str]:
        """Return the requests whose memory is booked because they are not answered."""
        return {row.request_id for row in self.open if now - row.sent_at > BOOKED_AFTER_S}


class Books:
    """The platform's books of the memory in the settings."""

    def __init__(self, server: Server, proxies: list[Proxy], record: Record) -> None:
        self.server = server
        self.proxies = proxies
        self.record = record
        self.highest_kb = 0.0
        self.over_samples = 0
        self._next_line_at = 0.0

    def sample(self) -> None:
        """Book what is held and run now."""
        now = time.time()
        by_process = []
        running: set[str] = set()
        for engine in self.server.engines:
            with engine.lock:
                ids = set(engine.running)
            by_process.append(len(ids))
            running |= ids
        held = set().union(*(proxy.held_ids(now) for proxy in self.proxies)) - running
        booked_kb = MEMORY_KB * len(held) + RUN_FACTOR * MEMORY_KB * len(running)
        self.over_samples += booked_kb > CAPACITY_KB
        if booked_kb > self.highest_kb or now >= self._next_line_at:
            self._next_line_at = now + 0.5
            self.record.add(
                f"books: {booked_kb:.0f} KB of {CAPACITY_KB:.0f}: {len(held)} held, running by process {by_process}"
            )
        self.highest_kb = max(self.highest_kb, booked_kb)


def case(site: Site) -> int:
    """Play the case."""
    record = site.record
    store: Any = site.add(CrowdedStore())
    settings = athlone_settings(memory_kb=CAPACITY_KB, blowup=RUN_FACTOR, cores=CORES)
    server = site.server("n1", settings, store=store, make_engine=Kernel)
    server.start()
    proxies = [Proxy(server) for _ in range(PROXIES)]
    books = Books(server, proxies, record)
    draws = random.Random(52)
    began_at = time.monotonic()
    replacement: threading.Thread | None = None
    sent = 0
    while (elapsed := time.monotonic() - began_at) < LENGTH_S:
        if sent < elapsed * RATE_PER_S:
            name = draws.choices(("render", "fetch", "order"), (47, 36, 17))[0]
            proxies[sent % PROXIES].send(name, b"request=%d" % sent)
            sent += 1
        if trouble() and replacement is None and elapsed > REPLACED_AT_S:
            replacement = threading.Thread(target=lambda: server.begin_replacement()(), daemon=True)
            replacement.start()
        for proxy in proxies:
            proxy.read_answers()
        books.sample()
        time.sleep(SAMPLE_S)
    kinds = sum((proxy.kinds for proxy in proxies), Counter())
    record.add(f"{sent} requests sent; answers to their tries: {dict(kinds)}")
    record.add(f"highest booking {books.highest_kb:.0f} KB of {CAPACITY_KB:.0f}, {books.over_samples} samples over it")
    return BROKEN if books.highest_kb > CAPACITY_KB else HELD


if __name__ == "__main__":
    main(__file__, case)
