"""Client proxies that send test load to a fleet.

They look up members in the registry once a second, send requests at random times, retry rejected ones at other members,
respect Retry-After times, and record the outcome of each request.
"""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field
from random import Random
from typing import Any

from myrtlespar.fakes.server_process import CLASSES
from myrtlespar.fakes.thrift_client import ThriftClient
from myrtlespar.fleet_tests.process_launcher import FleetRun
from myrtlespar.fleet_tests.script_model import LoadSettings

LIST_POLL_S = 1.0  # interval at which a proxy reads the list of members from the registry
LOOP_S = 0.005
CONNECT_TIMEOUT_S = 0.3
CONNECT_BACKOFF_S = 1.0  # no connection attempts to a member for this time after one failed
MAX_CONNECTION_ATTEMPTS = 3  # limit of members to try for one attempt of a request
JOIN_TIMEOUT_S = 12
# Client timeouts by class, from the creation of a request to its answer.
TIMEOUT_MS = {name: timeout for name, _, _, timeout, _ in CLASSES}
SLACK_MS = 1000.0  # allowance for the delays of a machine that runs clients, engines and members at once


@dataclass(slots=True)
class LoadRequest:
    """One request with all its attempts."""

    class_name: str
    body: bytes
    created_at: float  # Unix ms
    attempts: int = 0
    member: str = ""
    client: ThriftClient | None = None  # None while the request waits for its next attempt
    sequence_number: int = 0
    retry_at: float = 0.0  # seconds of the monotonic clock
    outcome: str = ""  # served, refused, failed, lost (the connection ended), none (no answer in time)
    rejected_by: list[str] = field(default_factory=list)
    rejected_at: list[float] = field(default_factory=list)  # time of each rejection, Unix ms
    was_resent: bool = False  # sent once more after the connection announced its shutdown and ended

    def is_overdue(self, after_ms: float = 0.0) -> bool:
        """Return whether its client timeout will have passed `after_ms` from now."""
        return time.time() * 1000 + after_ms > self.created_at + TIMEOUT_MS[self.class_name]


class ClientProxy:
    """One client proxy, which runs in a thread."""

    def __init__(self, number: int, load: LoadSettings, run: FleetRun, stop: threading.Event, begin: float) -> None:
        """Prepare a proxy; its first request comes a random time after `begin` (seconds of the monotonic clock)."""
        self.number = number
        self.load = load
        self.run = run
        self.stop = stop
        self.random = Random(f"proxy {run.seed} {number}")
        self.open: list[LoadRequest] = []
        self.done: list[LoadRequest] = []
        self.duplicate_answers = 0
        self.thread = threading.Thread(target=self._serve, daemon=True)
        self._clients: dict[str, ThriftClient] = {}
        self._listed: list[str] = list(run.members)
        self._backoff_until: dict[str, float] = {}  # seconds of the monotonic clock, by member
        self._list_at = 0.0
        self._next_at = begin + self._gap_s() if load.rate else float("inf")
        self._count = 0

    def _gap_s(self) -> float:
        """Return a random time to the next request, in seconds."""
        return self.random.expovariate(self.load.rate / self.load.proxies)

    def _serve(self) -> None:
        while not self.stop.is_set() or self.open:
            now = time.monotonic()
            if now >= self._list_at:
                self._list_at = now + LIST_POLL_S
                self._listed = self.run.registry.listed() or self._listed
            while not self.stop.is_set() and now >= self._next_at:
                self._next_at += self._gap_s()
                self._create()
            for request in self.open[:]:
                self._check(request, now)
            time.sleep(LOOP_S)
        for client in self._clients.values():
            client.sock.close()

    def _create(self) -> None:
        self._count += 1
        class_name = self.random.choices(list(self.load.mix), list(self.load.mix.values()))[0]
        run_ms = self.random.randrange(5, 60)
        calls = self.random.randrange(2)
        body = f"{class_name} p={self.number} n={self._count} ms={run_ms} calls={calls}"
        request = LoadRequest(class_name, body.encode(), time.time() * 1000)
        self.open.append(request)
        self._attempt(request)

    def _attempt(self, request: LoadRequest) -> None:
        """Send a request to the first candidate that accepts a connection; if none does, retry later."""
        request.attempts += 1
        for name in self._candidates(request)[:MAX_CONNECTION_ATTEMPTS]:
            client = self._client(name)
            if client is None:  # nothing was sent, so another member may run the request
                continue
            try:
                self._send(request, name, client)
            except OSError:  # the member may have read the request, so it must not be sent again
                self._clients.pop(name, None)
                self._end(request, "lost")
            return
        self._retry(request, self.load.after_ms)

    def _candidates(self, request: LoadRequest) -> list[str]:
        """Return the members to try, in random order.

        These are the members in the registry without those that rejected the request and those whose backoff (after a
        Retry-After or a failed connection) is not over. If that leaves none, all members in the registry.
        """
        now = time.monotonic()
        fresh = [
            name for name in self._listed if self._backoff_until.get(name, 0) <= now and name not in request.rejected_by
        ]
        return self.random.sample(fresh, len(fresh)) or self.random.sample(self._listed, len(self._listed))

    def _send(self, request: LoadRequest, name: str, client: ThriftClient) -> None:
        retry_field = {"again": "1"} if request.attempts > 1 else {}
        request.sequence_number = client.send(
            request.class_name,
            request.body,
            t0=str(int(request.created_at)),
            peer=str(self.number + 1),
            **retry_field,
        )
        request.client = client
        request.member = name

    def _client(self, name: str) -> ThriftClient | None:
        """Return a connection to a member, or None if it accepts none."""
        client = self._clients.get(name)
        if client is not None and (client.ended.is_set() or "shutdown" in client.one_way_messages):
            self._clients.pop(name)
            client = None
        if client is None:
            host, port = self.run.client_address(name)
            try:
                client = ThriftClient(port, host, CONNECT_TIMEOUT_S)
            except OSError:
                self._backoff_until[name] = time.monotonic() + CONNECT_BACKOFF_S
                return None
            self._clients[name] = client
        return client

    def _check(self, request: LoadRequest, now: float) -> None:
        """Advance a request if its answer arrived, its connection ended, or a retry or its timeout is due."""
        client = request.client
        if client is None:
            if now >= request.retry_at:
                self._attempt(request)
            return
        answer = client.answers.get(request.sequence_number)
        if answer is not None:
            self._answered(request, client, answer, now)
        elif client.ended.is_set() and request.sequence_number not in client.answers:
            self._connection_ended(request, client)
        elif request.is_overdue(-SLACK_MS):
            self._end(request, "none")

    def _connection_ended(self, request: LoadRequest, client: ThriftClient) -> None:
        if "shutdown" in client.one_way_messages and not request.was_resent:
            request.was_resent = True
            request.client = None
            request.attempts -= 1
        else:
            self._end(request, "lost")

    def _answered(self, request: LoadRequest, client: ThriftClient, answer: tuple[str, Any], now: float) -> None:
        self.duplicate_answers += client.count[request.sequence_number] > 1
        kind, value = answer
        if kind != "refused":
            self._end(request, "served" if kind == "success" else "failed")
            return
        request.rejected_by.append(request.member)
        request.rejected_at.append(time.time() * 1000)
        fields = value.fields or {}
        backoff_ms = float(fields.get("backoff", 0) or 0)
        self._backoff_until[request.member] = now + backoff_ms / 1000
        if fields.get("final") == "1":
            self._end(request, "refused")
        else:
            self._retry(request, max(self.load.after_ms, 0.0))

    def _retry(self, request: LoadRequest, after_ms: float) -> None:
        """Schedule a retry in `after_ms`, or end the request as refused if that is too late or one retry too many."""
        if self.stop.is_set() or request.is_overdue(after_ms) or request.attempts > self.load.max_retries:
            self._end(request, "refused")
            return
        request.client = None
        request.retry_at = time.monotonic() + after_ms / 1000

    def _end(self, request: LoadRequest, outcome: str) -> None:
        request.outcome = outcome
        self.open.remove(request)
        self.done.append(request)


class LoadGenerator:
    """All client proxies of a run."""

    def __init__(self, run: FleetRun) -> None:
        self.stop = threading.Event()
        load = run.script.load
        self.proxies = [ClientProxy(number, load, run, self.stop, time.monotonic()) for number in range(load.proxies)]

    def start(self) -> None:
        """Start all proxies."""
        for proxy in self.proxies:
            proxy.thread.start()

    def finish(self) -> list[LoadRequest]:
        """Stop creating requests, wait for the open ones, and return all requests."""
        self.stop.set()
        for proxy in self.proxies:
            proxy.thread.join(JOIN_TIMEOUT_S)
        return [request for proxy in self.proxies for request in proxy.done]
