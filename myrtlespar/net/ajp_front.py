"""The AJP13 front: gateways (Apache's mod_proxy_ajp, mod_jk) send requests for the core."""

from __future__ import annotations

import math
import random
import re
import zlib
from collections.abc import Callable
from hmac import compare_digest

import gevent
from gevent import socket

from myrtlespar.config import Address, Config, PathRule
from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.net.client_connection import ClientConnection
from myrtlespar.net.codec import ajp as wire
from myrtlespar.net.connections import ConnectionEndedError, ReadingStoppedError
from myrtlespar.net.listener import Listener
from myrtlespar.request_coordinator import RequestCoordinator
from myrtlespar.runtime.clock import unix_ms
from myrtlespar.state_machines.client_connection import ConnectionEvent, ConnectionState

SESSION = re.compile(r"jsessionid=[^;,\s]*?\.([A-Za-z0-9_-]+)(?:$|[;,\s?/])", re.I)
HOP_HEADERS = ("connection", "transfer-encoding", "content-length", "keep-alive")


def session_route(request: wire.ForwardRequest) -> str:
    """The route behind the dot of a session's id, from the path or a cookie."""
    found = SESSION.search(request.uri) or SESSION.search(request.header("cookie"))
    return found.group(1) if found else request.attributes.get("jvm_route", "")


class AjpFront(Listener["AjpConnection"]):
    """Listens for gateways."""

    def __init__(
        self, config: Config, coordinator: RequestCoordinator, listen: Address, give_up: Callable[[], bool]
    ) -> None:
        self.config, self.limits, self.ajp = config, config.limits, config.ajp
        self.rules = sorted(config.ajp.path_rules, key=lambda rule: -len(rule.path))
        self.serial = 0  # of the connections
        self.ids = random.Random(config.seed)
        super().__init__(
            "ajp",
            "ajp.listen",
            listen,
            coordinator,
            self.limits.max_connections // 4,
            lambda sock: AjpConnection(self, sock),
            give_up,
        )

    def drain(self) -> None:
        """Close what carries nothing; the rest closes with its answer."""
        for link in list(self.links):
            link.close()

    def rule(self, uri: str) -> PathRule | None:
        """The rule with the longest path that holds this one; `/a` holds `/a` and `/a/b`, not `/ab`."""
        path = uri.split(";", 1)[0].split("?", 1)[0]
        for rule in self.rules:
            if path == rule.path or path.startswith(rule.path.rstrip("/") + "/"):
                return rule
        return None


class AjpConnection(ClientConnection):
    """One gateway's connection: one request at a time."""

    def __init__(self, front: AjpFront, sock: socket.socket) -> None:
        front.serial += 1
        super().__init__(
            f"ajp-{front.serial}",
            sock,
            front.limits,
            front.limits.max_ajp_outbox_bytes,
            front.limits.max_ajp_packet_bytes,
            front.unsent,
            front.conclude,
        )
        self.front, self.coordinator = front, front.coordinator
        self.exchange: Exchange | None = None
        self.request = wire.ForwardRequest()

    def owes(self) -> bool:
        """Whether its request is not answered yet."""
        return self.conn.state not in (ConnectionState.IDLE, ConnectionState.CLOSED)

    def _abandon(self) -> None:
        if self.exchange is not None:
            self.coordinator.caller_gone(self.exchange)

    def read(self) -> None:
        """Take packets until the connection ends; whoever still waits then is gone."""
        try:
            while self._takes():
                packet, before = self._next(), self.bad
                if not self._takes():  # it came while we closed, and could still be read
                    self.coordinator.counters.add("in.behind_close.ajp")
                    break
                self._packet(packet)
                if self.bad == before:
                    self.bad = 0
                elif self.bad >= self.limits.max_consecutive_rejected:  # guards the core's time against a flood
                    raise wire.MalformedPacketError("too many requests that could not be taken")
                self.reader.breathe()
        except ConnectionEndedError:
            pass
        except (wire.MalformedPacketError, ReadingStoppedError):
            self.coordinator.counters.add("in.bad_message.ajp")
            if self.conn.state == ConnectionState.READING:
                self._reply(400)
            self._be(ConnectionEvent.SPOILT)
            self._conclude(self)
        except gevent.Timeout:  # guards against a gateway that begins a request and never ends it
            self.coordinator.counters.add("in.slow_request.ajp")
        self._leave()

    def _next(self) -> bytes:
        magic = self.reader.exactly(4)
        size = int.from_bytes(magic[2:], "big")
        if magic[:2] != wire.TO_SERVLET or size + 4 > self.limits.max_ajp_packet_bytes:
            raise wire.MalformedPacketError(f"packet starts with {magic.hex()}")
        return self.reader.exactly(size)

    def _packet(self, payload: bytes) -> None:
        kind = payload[0] if payload else 0
        self.used, self.messages = unix_ms(), self.messages + 1
        if kind == wire.CPING and len(payload) == 1:
            return self._ping()
        if kind in (wire.SHUTDOWN, wire.PING) and len(payload) == 1:
            self.coordinator.counters.add("in.ignored.ajp")  # guards against anyone who could stop us from afar
            return None
        if kind != wire.FORWARD or self.conn.state != ConnectionState.IDLE:
            raise wire.MalformedPacketError(f"packet of kind {kind} out of place")
        self._be(ConnectionEvent.BEGIN)
        self.request = wire.ForwardRequest()
        with gevent.Timeout(self.limits.ajp_request_timeout_ms / 1000.0):
            self.request = wire.read_forward(payload)
            if not self._allowed():
                return None
            body = self._body()
        if body is not None and self._takes():
            self._submit(body)
            return None
        return None

    def _ping(self) -> None:
        """Apache's ping, asked before a request: silence and an end send it to another server."""
        self.coordinator.counters.add("in.check.ajp")
        if self.coordinator.healthy and not self.coordinator.draining:
            self.outbox.put(wire.packet(wire.TO_GATEWAY, bytes([wire.CPONG])))
        else:
            self._be(ConnectionEvent.CLOSE)

    def _allowed(self) -> bool:
        secret = self.front.ajp.secret
        if secret and not compare_digest(self.request.attributes.get("secret", "").encode(), secret.encode()):
            self.coordinator.counters.add("in.wrong_secret.ajp")
            self.bad += 1
            self._reply(403)
            return False
        if self.front.rule(self.request.uri) is None:
            self.bad += 1
            self._reply(404)
            return False
        return True

    def _body(self) -> bytes | None:
        """The whole body. Where its length is told, the first part comes unasked, others when asked for."""
        told, most = self.request.header("content-length"), self.limits.max_body_bytes
        chunked = "chunked" in self.request.header("transfer-encoding").lower()
        if told and not (told.isascii() and told.isdigit()):
            raise wire.MalformedPacketError("content-length is no number")
        want = int(told or 0)
        if want > most:
            self._reply(413)
            return None
        body, ask = b"", chunked
        while chunked or len(body) < want:
            if ask:
                self.outbox.put(wire.get_body(wire.body_room(self.limits.max_ajp_packet_bytes)))
            part = wire.read_chunk(self._next())
            if not part:
                break
            body, ask = body + part, True
            if len(body) > most:
                self._reply(413)
                return None
        if len(body) != want and not chunked:
            raise wire.MalformedPacketError(f"body of {len(body)} bytes, {want} were told")
        return body

    def _submit(self, body: bytes) -> None:
        request, front = self.request, self.front
        rule = front.rule(request.uri)
        assert rule
        query = request.attributes.get("query_string", "")
        if not body and not rule.target:  # a kernel gets one body: that of a bodiless request is what it asks for
            body = (request.uri + (f"?{query}" if query else "")).encode("latin-1")
            if len(body) > self.limits.max_body_bytes:
                return self._reply(413)
        id = f"{front.ids.getrandbits(64):016x}"
        exchange = Exchange(id, "ajp", rule.class_index, body, unix_ms(), self._answer)
        exchange.memory_kb, exchange.rank, exchange.target = rule.memory_kb, rule.priority_weight, rule.target
        exchange.sender = zlib.crc32(request.remote_addr.encode())
        exchange.method, exchange.uri, exchange.query = request.method, request.uri, query
        exchange.headers = tuple(row for row in request.headers if row[0] not in HOP_HEADERS)
        exchange.route = session_route(request)
        if front.ajp.key_header:
            exchange.key = request.header(front.ajp.key_header)[:200]
        self.exchange = exchange
        self._be(ConnectionEvent.REQUEST)
        front.coordinator.submit(exchange)
        return None

    def _answer(self, exchange: Exchange, answer: Answer) -> None:
        self.exchange = None
        if answer.status:
            rows = tuple(row for row in answer.headers if row[0].lower() not in HOP_HEADERS)
            self._reply(answer.status, answer.body, rows)
        elif answer.kind is AnswerKind.SERVED:
            self._reply(200, answer.body, (("Content-Type", "application/octet-stream"),))
        elif answer.kind is AnswerKind.REFUSED:
            seconds = max(1, math.ceil(answer.retry_after_ms / 1000.0))
            self._reply(503, rows=(("Retry-After", str(seconds)),))
        else:
            self._reply(504 if answer.late else 500)

    def _reply(self, status: int, body: bytes = b"", rows: wire.Headers = ()) -> None:
        """A whole answer. After one to a request not read to its end, the connection can't go on."""
        self.used = unix_ms()
        unread = self.request.header("content-length") or self.request.header("transfer-encoding")
        whole = self.conn.state != ConnectionState.READING
        reuse = not self.coordinator.draining and (whole or not unread)
        rows = (*rows, ("Content-Length", str(len(body))))
        body, most = b"" if self.request.method == "HEAD" else body, self.limits.max_ajp_packet_bytes
        try:
            data = b"".join(wire.write_reply(status, rows, body, reuse, most))
        except wire.MalformedPacketError:  # guards the core against headers of a worker that fill more than a packet
            status, data = 500, b"".join(wire.write_reply(500, (), b"", reuse, most))
        self.coordinator.counters.add(f"sent.{status}.ajp")
        self.outbox.put(data)
        self._be(ConnectionEvent.LAST_ANSWERED if whole else ConnectionEvent.TURNED_AWAY)
        if not reuse:
            self._be(ConnectionEvent.CLOSE)
