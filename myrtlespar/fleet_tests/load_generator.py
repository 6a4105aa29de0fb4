"""Client proxies: they find members on the roster's list, a second late, send requests at their times, try refused
ones again elsewhere, heed back-offs, and record what became of each request.
"""

from __future__ import annotations

import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random

from myrtlespar.fakes.server_process import CLASSES
from myrtlespar.fakes.thrift_client import ThriftClient
from myrtlespar.fleet_tests.process_launcher import FleetRun
from myrtlespar.fleet_tests.script import LoadSettings

LIST_S = 1.0  # between looks at the roster's list
STEP_S = 0.005
DUE_MS = {name: due for name, _, _, due, _ in CLASSES}
SLACK_MS = 1000.0  # for the machine that plays all sides


@dataclass(slots=True)
class LoadRequest:
    """One request over all its tries."""

    cls: str
    body: bytes
    born: float  # Unix ms
    tries: int = 0
    member: str = ""
    client: ThriftClient | None = None
    seq: int = 0
    retry_at: float = 0.0  # monotonic s
    outcome: str = ""  # served, refused, failed, lost (its connection ended), none (no answer by the due time)
    ended: float = 0.0
    refused_by: list[str] = field(default_factory=list)
    refused_at: list[float] = field(default_factory=list)  # Unix ms, as heard
    crossed: bool = False  # sent once more, as it crossed the end of a connection that was told to shut down


class ClientProxy:
    """One client proxy, a thread."""

    def __init__(self, number: int, load: LoadSettings, run: FleetRun, stop: threading.Event, begin: float) -> None:
        self.number, self.load, self.run, self.stop = number, load, run, stop
        self.dice = Random(f"proxy {run.seed} {number}")
        self.clients: dict[str, ThriftClient] = {}
        self.listed: list[str] = list(run.members)
        self.away: dict[str, float] = {}  # members that asked to be left alone, until when
        self.open: list[LoadRequest] = []
        self.done: list[LoadRequest] = []
        self.twice = 0
        self._list_at = 0.0
        self._next = begin + self.dice.expovariate(load.rate / load.proxies) if load.rate else float("inf")
        self._count = 0
        self.thread = threading.Thread(target=self._serve, daemon=True)

    def _serve(self) -> None:
        while not self.stop.is_set() or self.open:
            now = time.monotonic()
            if now >= self._list_at:
                self._list_at = now + LIST_S
                self.listed = self.run.registry.listed() or self.listed
            while not self.stop.is_set() and now >= self._next:
                self._next += self.dice.expovariate(self.load.rate / self.load.proxies)
                self._new()
            for request in self.open[:]:
                self._look(request, now)
            time.sleep(STEP_S)
        for client in self.clients.values():
            client.sock.close()

    def _new(self) -> None:
        self._count += 1
        cls = self.dice.choices(list(self.load.mix), list(self.load.mix.values()))[0]
        body = f"{cls} p={self.number} n={self._count} ms={self.dice.randrange(5, 60)} calls={self.dice.randrange(2)}"
        request = LoadRequest(cls, body.encode(), time.time() * 1000)
        self.open.append(request)
        self._try(request)

    def _try(self, request: LoadRequest) -> None:
        """Send it to a member that is listed and does not ask to be left alone."""
        now = time.monotonic()
        fresh = [name for name in self.listed if self.away.get(name, 0) <= now and name not in request.refused_by]
        order = self.dice.sample(fresh, len(fresh)) or self.dice.sample(self.listed, len(self.listed))
        request.tries += 1
        for name in order[:3]:  # a refused connection proves that nothing ran
            client = self._client(name)
            if client is None:
                continue
            try:
                more = {"again": "1"} if request.tries > 1 else {}
                request.seq = client.send(
                    request.cls, request.body, t0=str(int(request.born)), peer=str(self.number + 1), **more
                )
                request.client, request.member = client, name
                return None
            except OSError:  # it may have read it
                self.clients.pop(name, None)
                return self._end(request, "lost")
        self._again(request, self.load.after_ms, "refused")
        return None

    def _client(self, name: str) -> ThriftClient | None:
        client = self.clients.get(name)
        if client is not None and (client.ended.is_set() or "shutdown" in client.told):
            self.clients.pop(name)
            client = None
        if client is None:
            host, port = self.run.client_address(name)
            try:
                client = self.clients[name] = ThriftClient(port, host, 0.3)
            except OSError:
                self.away[name] = time.monotonic() + 1.0
                return None
        return client

    def _look(self, request: LoadRequest, now: float) -> None:
        client = request.client
        if client is None:
            if now >= request.retry_at:
                self._try(request)
            return None
        found = client.answers.get(request.seq)
        late = time.time() * 1000 > request.born + DUE_MS[request.cls] + SLACK_MS
        if found is None:
            if client.ended.is_set() and request.seq not in client.answers:
                if "shutdown" in client.told and not request.crossed:
                    request.crossed, request.client, request.tries = True, None, request.tries - 1
                else:
                    self._end(request, "lost")
            elif late:
                self._end(request, "none")
            return None
        self.twice += client.count[request.seq] > 1
        kind, answer = found
        if kind != "refused":
            return self._end(request, {"success": "served"}.get(kind, "failed"))
        request.refused_by.append(request.member)
        request.refused_at.append(time.time() * 1000)
        fields = answer.fields or {}
        back_ms = float(fields.get("backoff", 0) or 0)
        self.away[request.member] = now + back_ms / 1000
        if fields.get("final") == "1":
            return self._end(request, "refused")
        self._again(request, max(self.load.after_ms, 0.0), "refused")
        return None

    def _again(self, request: LoadRequest, after_ms: float, outcome: str) -> None:
        over = time.time() * 1000 + after_ms > request.born + DUE_MS[request.cls]
        if self.stop.is_set() or over or request.tries > self.load.max_retries:
            return self._end(request, outcome)
        request.client, request.retry_at = None, time.monotonic() + after_ms / 1000
        return None

    def _end(self, request: LoadRequest, outcome: str) -> None:
        request.outcome, request.ended = outcome, time.time() * 1000
        self.open.remove(request)
        self.done.append(request)


class LoadGenerator:
    """All proxies of a run."""

    def __init__(self, run: FleetRun) -> None:
        self.run, self.stop = run, threading.Event()
        self.proxies = [
            ClientProxy(n, run.script.load, run, self.stop, time.monotonic()) for n in range(run.script.load.proxies)
        ]

    def begin(self) -> None:
        """Start."""
        for proxy in self.proxies:
            proxy.thread.start()

    def finish(self) -> list[LoadRequest]:
        """Send nothing new, wait for what is open, and give all requests."""
        self.stop.set()
        for proxy in self.proxies:
            proxy.thread.join(12)
        return [request for proxy in self.proxies for request in proxy.done]


def check_orders(run: FleetRun, crowd: LoadGenerator, requests: list[LoadRequest]) -> tuple[list[str], dict[str, int]]:
    """Promises over what kernels and proxies saw: no request is answered twice; an order is started at most once,
    as its callers repeat only what was refused or never sent (bound: 0); what a member's kernel started, that member
    did not refuse (bound: 0); a member that serves all along answers by the due time.
    """
    starts: Counter[bytes] = Counter()
    first: dict[tuple[str, bytes], float] = {}  # member and body: when it was started there
    for member in run.members.values():
        for kernel in member.engines:
            starts.update(kernel.by_body)
            for body, at, _ in kernel.runs:
                first[member.name, body] = min(at, first.get((member.name, body), at))
    broken = [
        f"orders: {body.decode()} was started {count} times"
        for body, count in starts.items()
        if body.startswith(b"order") and count > 1
    ]
    for request in requests:
        for name, heard in zip(request.refused_by, request.refused_at, strict=True):
            if first.get((name, request.body), heard) < heard:
                broken.append(f"orders: {name} ran {request.body.decode()} and refused it")
    touched = {deed.name for deed in run.actions if deed.kind in ("down", "pause", "left")}
    cut = any(
        (rule.cut and rule.second & {"store", "kernel"}) or rule.first & {"store", "kernel"}
        for deed in run.actions
        if (rule := deed.rule) is not None
    )
    for request in requests:
        if request.outcome == "none" and request.member not in touched and not cut:
            broken.append(f"orders: {request.member} gave {request.body.decode()} no answer by its due time")
    if any(proxy.twice for proxy in crowd.proxies):
        broken.append(f"orders: {sum(proxy.twice for proxy in crowd.proxies)} requests were answered twice")
    return broken, dict(Counter(request.outcome for request in requests))
