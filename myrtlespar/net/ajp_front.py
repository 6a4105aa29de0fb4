"""The AJP13 listener for gateways (Apache's mod_proxy_ajp, mod_jk).

It translates between packets and requests or answers; the coordinator makes all decisions.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from hmac import compare_digest

import gevent
from gevent import socket

from myrtlespar.config import Address, Config, PathRule
from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.net.ajp_requests import HOP_BY_HOP_HEADERS, create_exchange, request_query
from myrtlespar.net.client_connection import ClientConnection
from myrtlespar.net.codec import ajp as codec
from myrtlespar.net.listener import Listener
from myrtlespar.net.socket_reader import ConnectionEndedError
from myrtlespar.request_coordinator import RequestCoordinator
from myrtlespar.runtime.clock import unix_ms
from myrtlespar.state_machines.client_connection import ConnectionEvent, ConnectionState


class AjpFront(Listener["AjpConnection"]):
    """Listens for gateways."""

    def __init__(
        self, config: Config, coordinator: RequestCoordinator, listen: Address, is_cancelled: Callable[[], bool]
    ) -> None:
        """Bind the address; `is_cancelled` returns whether to stop waiting for it before the timeout.

        Raises:
            AddressInUseError: The address could not be bound in time.
        """
        self.limits = config.limits
        self.settings = config.ajp
        self.connections_opened = 0
        self.request_ids = random.Random(config.seed)
        self._path_rules = sorted(config.ajp.path_rules, key=lambda rule: -len(rule.path))
        super().__init__(
            "ajp",
            "ajp.listen",
            listen,
            coordinator,
            self.limits.max_connections // 4,
            lambda sock: AjpConnection(self, sock),
            is_cancelled,
        )

    def drain(self) -> None:
        """Close idle connections, as AJP can't announce a shutdown; the others are closed after their answer."""
        for connection in list(self.connections):
            connection.close()

    def find_path_rule(self, uri: str) -> PathRule | None:
        """Return the rule with the longest matching path; `/a` matches `/a` and `/a/b`, not `/ab`."""
        path = uri.split(";", 1)[0].split("?", 1)[0]
        for rule in self._path_rules:
            if path == rule.path or path.startswith(rule.path.rstrip("/") + "/"):
                return rule
        return None


class AjpConnection(ClientConnection):
    """A connection from a gateway, which carries one request at a time."""

    def __init__(self, front: AjpFront, sock: socket.socket) -> None:
        front.connections_opened += 1
        super().__init__(
            f"ajp-{front.connections_opened}",
            sock,
            front.limits,
            front.limits.max_ajp_outbox_bytes,
            front.limits.max_ajp_packet_bytes,
            front.outbox_budget,
            front.finish_answers,
        )
        self.front = front
        self.coordinator = front.coordinator
        self._exchange: Exchange | None = None
        self._request = codec.ForwardRequest()

    def has_open_requests(self) -> bool:
        """Return whether a request that was at least partly read is not answered yet."""
        return self.lifecycle.state not in (ConnectionState.IDLE, ConnectionState.CLOSED)

    def read(self) -> None:
        """Handle packets until the connection ends; a request still open then is abandoned."""
        try:
            while self._accepts_requests():
                packet = self._read_packet()
                if not self._accepts_requests():  # the packet arrived while this side was closing
                    self.coordinator.counters.add("in.behind_close.ajp")
                    break
                if self.reader.is_reset():  # nobody waits for the answer
                    self.coordinator.counters.add("in.behind_reset.ajp")
                    break
                rejected_before = self.consecutive_rejected
                self._handle_packet(packet)
                if self.consecutive_rejected == rejected_before:
                    self.consecutive_rejected = 0
                elif self.consecutive_rejected >= self.limits.max_consecutive_rejected:
                    raise codec.MalformedPacketError("too many consecutive rejected requests")
                self.reader.yield_if_buffered()
        except ConnectionEndedError:
            pass
        except codec.MalformedPacketError:
            self.coordinator.counters.add("in.bad_message.ajp")
            if self.lifecycle.state == ConnectionState.READING:
                self._reply(400)
            self._stop_reading()
        except gevent.Timeout:  # the gateway did not complete a request in time
            self.coordinator.counters.add("in.slow_request.ajp")
        self._close_after_reading()

    def _read_packet(self) -> bytes:
        head = self.reader.peek_exactly(codec.PACKET_HEAD_BYTES)
        size = int.from_bytes(head[2:], "big")
        if head[:2] != codec.TO_SERVLET or size + codec.PACKET_HEAD_BYTES > self.limits.max_ajp_packet_bytes:
            raise codec.MalformedPacketError(f"invalid packet header {head.hex()}")
        return self.reader.read_exactly(codec.PACKET_HEAD_BYTES + size)[codec.PACKET_HEAD_BYTES :]

    def _handle_packet(self, payload: bytes) -> None:
        kind = payload[0] if payload else 0
        self.last_active_at = unix_ms()
        self.messages_read += 1
        if kind == codec.CPING and len(payload) == 1:
            self._handle_ping()
        elif kind in (codec.SHUTDOWN, codec.PING) and len(payload) == 1:
            self.coordinator.counters.add("in.ignored.ajp")  # a gateway must not be able to stop the server
        elif kind == codec.FORWARD and self.lifecycle.state == ConnectionState.IDLE:
            self._handle_request(payload)
        else:
            raise codec.MalformedPacketError(f"unexpected packet of type {kind}")

    def _handle_ping(self) -> None:
        """Answer a ping, which Apache sends before a request; without an answer, Apache uses another server.

        While draining or unhealthy, the connection is closed instead.
        """
        self.coordinator.counters.add("in.check.ajp")
        if self.coordinator.healthy and not self.coordinator.draining:
            self.outbox.put(codec.encode_packet(codec.TO_GATEWAY, bytes([codec.CPONG])))
        else:
            self._handle_event(ConnectionEvent.CLOSE)

    def _handle_request(self, payload: bytes) -> None:
        self._handle_event(ConnectionEvent.BEGIN)
        with gevent.Timeout(self.limits.ajp_request_timeout_ms / 1000.0):
            self._request = codec.decode_forward_request(payload, self.limits.max_ajp_headers)
            rule = self._find_allowed_rule()
            body = self._read_body() if rule is not None else None
        if rule is not None and body is not None and self._accepts_requests() and not self.reader.is_reset():
            self._submit(rule, body)

    def _find_allowed_rule(self) -> PathRule | None:
        """Return the rule for the request's path; without one, or if the secret is wrong, reject it and return None."""
        secret = self.front.settings.secret
        if secret and not compare_digest(self._request.attributes.get("secret", "").encode(), secret.encode()):
            self.coordinator.counters.add("in.wrong_secret.ajp")
            self.consecutive_rejected += 1
            self._reply(403)
            return None
        rule = self.front.find_path_rule(self._request.uri)
        if rule is None:
            self.consecutive_rejected += 1
            self._reply(404)
        return rule

    def _read_body(self) -> bytes | None:
        """Return the complete body; if it is too long, reject the request and return None.

        The gateway sends the first chunk of a body with a content-length by itself; every other chunk has to be
        requested with a Get Body Chunk packet.
        """
        content_length = self._request.header("content-length")
        chunked = "chunked" in self._request.header("transfer-encoding").lower()
        if content_length and not (content_length.isascii() and content_length.isdigit()):
            raise codec.MalformedPacketError("content-length is not a number")
        length = int(content_length or 0)
        if length > self.limits.max_body_bytes:
            self._reply(413)
            return None
        body = b""
        request_next = chunked
        while chunked or len(body) < length:
            if request_next:
                size = codec.max_body_chunk_bytes(self.limits.max_ajp_packet_bytes)
                self.outbox.put(codec.encode_get_body_chunk(size))
            chunk = codec.decode_body_chunk(self._read_packet())
            if not chunk:
                break
            body += chunk
            request_next = True
            if len(body) > self.limits.max_body_bytes:
                self._reply(413)
                return None
        if len(body) != length and not chunked:
            raise codec.MalformedPacketError(f"body has {len(body)} bytes, content-length is {length}")
        return body

    def _submit(self, rule: PathRule, body: bytes) -> None:
        request = self._request
        if not body and not rule.target:  # the engine gets no path or query, so these replace an empty body
            query = request_query(request)
            body = (request.uri + (f"?{query}" if query else "")).encode("latin-1")
            if len(body) > self.limits.max_body_bytes:
                self._reply(413)
                return
        request_id = f"{self.front.request_ids.getrandbits(64):016x}"
        exchange = create_exchange(request_id, request, rule, body, self.front.settings.key_header, self._answer)
        self._exchange = exchange
        self._handle_event(ConnectionEvent.REQUEST)
        self.coordinator.submit(exchange)

    def _abandon_requests(self) -> None:
        if self._exchange is not None:
            self.coordinator.caller_gone(self._exchange)

    def _answer(self, _: Exchange, answer: Answer) -> None:
        self._exchange = None
        if answer.status:
            headers = tuple(row for row in answer.headers if row[0].lower() not in HOP_BY_HOP_HEADERS)
            self._reply(answer.status, answer.body, headers)
        elif answer.kind is AnswerKind.SERVED:
            self._reply(200, answer.body, (("Content-Type", "application/octet-stream"),))
        elif answer.kind is AnswerKind.REFUSED:
            retry_after_s = max(1, math.ceil(answer.retry_after_ms / 1000.0))
            self._reply(503, headers=(("Retry-After", str(retry_after_s)),))
        else:
            self._reply(504 if answer.late else 500)

    def _reply(self, status: int, body: bytes = b"", headers: codec.Headers = ()) -> None:
        """Send a complete answer.

        The connection is closed afterwards while draining, or if the request's body was not read, as the body would be
        taken for the next packets.
        """
        self.last_active_at = unix_ms()
        has_body = self._request.header("content-length") or self._request.header("transfer-encoding")
        request_complete = self.lifecycle.state != ConnectionState.READING
        reuse = not self.coordinator.draining and (request_complete or not has_body)
        headers = (*headers, ("Content-Length", str(len(body))))
        body = b"" if self._request.method == "HEAD" else body
        max_bytes = self.limits.max_ajp_packet_bytes
        try:
            data = b"".join(codec.encode_reply(status, headers, body, reuse, max_bytes))
        except codec.MalformedPacketError:  # the AJP server's headers do not fit into one packet
            status = 500
            data = b"".join(codec.encode_reply(status, (), b"", reuse, max_bytes))
        self.coordinator.counters.add(f"sent.{status}.ajp")
        self.outbox.put(data)
        self._request = codec.ForwardRequest()  # frees the headers
        self._handle_event(ConnectionEvent.LAST_ANSWERED if request_complete else ConnectionEvent.TURNED_AWAY)
        if not reuse:
            self._handle_event(ConnectionEvent.CLOSE)
