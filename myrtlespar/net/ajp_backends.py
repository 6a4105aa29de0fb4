"""Runs requests on AJP servers, chosen by session route, load and capacity."""

from __future__ import annotations

from dataclasses import dataclass, field

import gevent
import structlog
from gevent import socket

from myrtlespar.config import AjpBackendSettings, Config
from myrtlespar.errors import MyrtlesparError
from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.net.codec import ajp as codec
from myrtlespar.net.connections import connect
from myrtlespar.net.socket_reader import ConnectionEndedError, SocketReader
from myrtlespar.policy.messages import RunOutcome
from myrtlespar.request_coordinator import RequestCoordinator
from myrtlespar.runtime.clock import unix_ms

log = structlog.get_logger()
MIN_TIMEOUT_S = 0.001  # for a request whose due time has passed
FIRST_FAILURE_STATUS = 500  # answers with this status or a higher one are failures


class BackendUnreachableError(MyrtlesparError):
    """No AJP server could be connected to; the request never ran."""


class StartNotConfirmedError(MyrtlesparError):
    """The coordinator no longer allows the start; the request never ran."""


@dataclass(slots=True)
class BackendConnection:
    """A connection to an AJP server."""

    sock: socket.socket
    reader: SocketReader

    def send(self, data: bytes) -> None:
        """Send all bytes.

        Raises:
            OSError: The connection broke.
        """
        self.sock.sendall(data)

    def read_packet(self, max_bytes: int) -> bytes:
        """Return the payload of the next packet.

        Raises:
            ConnectionEndedError: The connection ended first.
            MalformedPacketError: The packet header is invalid, or the packet is longer than `max_bytes`.
        """
        head = self.reader.read_exactly(codec.PACKET_HEAD_BYTES)
        size = int.from_bytes(head[2:], "big")
        if head[:2] != codec.TO_GATEWAY or not 0 < size <= max_bytes - codec.PACKET_HEAD_BYTES:
            raise codec.MalformedPacketError(f"invalid packet header {head.hex()}")
        return self.reader.read_exactly(size)


@dataclass(slots=True)
class AjpBackend:
    """State of one AJP server.

    Attributes:
        settings: Its configuration.
        in_flight: Number of requests of this process that the server is running.
        unreachable_until: Other servers are preferred until this time, in Unix milliseconds.
        idle: Connections without a request.
    """

    settings: AjpBackendSettings
    in_flight: int = 0
    unreachable_until: float = 0.0
    idle: list[BackendConnection] = field(default_factory=list)


@dataclass(slots=True)
class BackendReply:
    """A backend's answer, and whether its connection may carry another request."""

    answer: Answer
    reuse: bool


class AjpBackendPool:
    """Runs the requests of one target: an AJP server, or a balancer over several."""

    def __init__(self, config: Config, coordinator: RequestCoordinator, backends: list[AjpBackend]) -> None:
        self._coordinator = coordinator
        self._limits = config.limits
        self._backends = backends

    def run(self, exchange: Exchange) -> None:
        """Start a request on one of the servers."""
        gevent.spawn(self._run, exchange)

    def resume(self, exchange: Exchange, reply: bytes) -> None:
        """Do nothing: AJP servers make their calls themselves."""

    def _run(self, exchange: Exchange) -> None:
        started_at = unix_ms()
        outcome = RunOutcome.ERROR
        answer = None
        try:
            with gevent.Timeout(max(MIN_TIMEOUT_S, (exchange.due_at - started_at) / 1000.0)):
                answer = self._run_on_first_reachable(exchange)
                outcome = RunOutcome.OK if answer.kind is AnswerKind.SERVED else RunOutcome.ERROR
        except gevent.Timeout:
            answer = Answer(AnswerKind.FAILED, late=True)
        except BackendUnreachableError:  # it never ran, so a later attempt may run
            answer = Answer(AnswerKind.REFUSED, retry_after_ms=self._limits.backend_retry_ms)
        except StartNotConfirmedError:
            self._coordinator.start_refused(exchange.id)
            return
        except (OSError, ConnectionEndedError, codec.MalformedPacketError) as error:
            log.warning("worker", error=str(error), id=exchange.id)
        self._coordinator.run_ended(exchange.id, outcome, unix_ms() - started_at, answer)

    def _run_on_first_reachable(self, exchange: Exchange) -> Answer:
        """Run a request on the first server that can be connected to; once sent, it is not sent to another.

        Raises:
            BackendUnreachableError: No server can be connected to.
            StartNotConfirmedError: The coordinator no longer allows the start.
            OSError, ConnectionEndedError, MalformedPacketError: The request was sent, but no valid answer was received.
        """
        for backend in self._by_preference(exchange.route):
            connection = self._acquire_connection(backend)
            if connection is None:
                self._coordinator.counters.add("worker.unreachable")
                backend.unreachable_until = unix_ms() + self._limits.backend_retry_ms
                continue
            if not self._coordinator.confirm_start(exchange.id):  # connecting may have taken long
                connection.sock.close()
                raise StartNotConfirmedError("the admission expired before the start")
            backend.in_flight += 1
            self._coordinator.counters.add("worker.sent")
            reuse = False
            try:
                reply = self._forward(connection, backend.settings, exchange)
                reuse = reply.reuse
                return reply.answer
            finally:
                backend.in_flight -= 1
                if reuse and len(backend.idle) < self._limits.max_idle_backend_connections:
                    backend.idle.append(connection)
                else:
                    connection.sock.close()
        raise BackendUnreachableError("no AJP server can be reached")

    def _by_preference(self, route: str) -> list[AjpBackend]:
        """Sort the servers: reachable ones first, of these the session's own one, then by load per capacity."""
        now = unix_ms()
        return sorted(
            self._backends,
            key=lambda backend: (
                backend.unreachable_until > now,
                not (route and backend.settings.route == route),
                (backend.in_flight + 1) / backend.settings.factor,
            ),
        )

    def _acquire_connection(self, backend: AjpBackend) -> BackendConnection | None:
        """Return an idle connection that answers a ping, or a new one; None if the server can't be reached."""
        while backend.idle:
            connection = backend.idle.pop()
            if self._answers_ping(connection):
                return connection
            connection.sock.close()
        try:
            sock = connect(backend.settings.address, self._limits.connect_timeout_ms)
        except OSError:
            return None
        return BackendConnection(sock, SocketReader(sock, self._limits.max_ajp_packet_bytes))

    def _answers_ping(self, connection: BackendConnection) -> bool:
        """Return whether the server answers a ping; it may have closed an idle connection."""
        try:
            with gevent.Timeout(self._limits.connect_timeout_ms / 1000.0, TimeoutError):
                connection.send(codec.encode_packet(codec.TO_SERVLET, bytes([codec.CPING])))
                return connection.read_packet(self._limits.max_ajp_packet_bytes)[0] == codec.CPONG
        except (OSError, ConnectionEndedError, codec.MalformedPacketError):
            return False

    def _forward(self, connection: BackendConnection, settings: AjpBackendSettings, exchange: Exchange) -> BackendReply:
        """Send a request over a connection and read the answer."""
        body = exchange.body
        max_bytes = self._limits.max_ajp_packet_bytes
        chunk_bytes = codec.max_body_chunk_bytes(max_bytes)
        connection.send(codec.encode_forward_request(_forward_request(settings, exchange), max_bytes))
        sent_bytes = 0
        if body:
            connection.send(codec.encode_body_chunk(body[:chunk_bytes]))
            sent_bytes = chunk_bytes
        status = 0
        headers: codec.Headers = ()
        result = bytearray()
        while True:
            payload = connection.read_packet(max_bytes)
            kind = payload[0]
            if kind == codec.HEADERS:
                status, headers = codec.decode_send_headers(payload)
            elif kind == codec.BODY:
                result += codec.decode_reply_chunk(payload)
                if len(result) > self._limits.max_ajp_reply_bytes:
                    raise codec.MalformedPacketError("answer's body exceeds the maximum length")
            elif kind == codec.GET_BODY:
                connection.send(codec.encode_body_chunk(body[sent_bytes : sent_bytes + chunk_bytes]))
                sent_bytes += chunk_bytes
            elif kind == codec.END:
                if not status:
                    raise codec.MalformedPacketError("answer ended without headers")
                answer_kind = AnswerKind.SERVED if status < FIRST_FAILURE_STATUS else AnswerKind.FAILED
                answer = Answer(answer_kind, bytes(result), status=status, headers=headers)
                return BackendReply(answer, reuse=payload[1:2] == b"\x01")
            elif kind != codec.CPONG:
                raise codec.MalformedPacketError(f"unexpected packet of type {kind}")


def _forward_request(settings: AjpBackendSettings, exchange: Exchange) -> codec.ForwardRequest:
    attributes = {}
    if settings.route:
        attributes["jvm_route"] = settings.route
    if exchange.query:
        attributes["query_string"] = exchange.query
    if settings.secret:
        attributes["secret"] = settings.secret
    headers = (*exchange.headers, ("content-length", str(len(exchange.body))))
    return codec.ForwardRequest(exchange.method, exchange.uri, headers=headers, attributes=attributes)


def create_backend_pools(config: Config, coordinator: RequestCoordinator) -> dict[str, AjpBackendPool]:
    """Return a pool for each AJP server and each balancer, by name; pools share the state of a server."""
    backends = {settings.name: AjpBackend(settings) for settings in config.ajp.backends}
    pools = {name: AjpBackendPool(config, coordinator, [backend]) for name, backend in backends.items()}
    for name, members in config.ajp.balancers.items():
        pools[name] = AjpBackendPool(config, coordinator, [backends[member] for member in members])
    return pools
