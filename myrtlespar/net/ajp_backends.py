"""The AJP back end: runs requests on AJP servers, chosen by route, load and factor."""

from __future__ import annotations

from dataclasses import dataclass, field

import gevent
import structlog
from gevent import socket

from myrtlespar.config import AjpBackendSettings, Config
from myrtlespar.errors import MyrtlesparError
from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.net.codec import ajp as wire
from myrtlespar.net.connections import ConnectionEndedError, Reader, connect
from myrtlespar.policy.messages import RunOutcome
from myrtlespar.request_coordinator import RequestCoordinator
from myrtlespar.runtime.clock import unix_ms

log = structlog.get_logger()


class BackendUnreachableError(MyrtlesparError):
    """No server took the request: it never ran."""


@dataclass(slots=True)
class BackendConnection:
    """A connection to a worker."""

    sock: socket.socket
    reader: Reader

    def send(self, data: bytes) -> None:
        """Send it all."""
        self.sock.sendall(data)

    def next(self, most: int) -> bytes:
        """The payload of the next packet."""
        start = self.reader.exactly(4)
        size = int.from_bytes(start[2:], "big")
        if start[:2] != wire.TO_GATEWAY or not 0 < size <= most - 4:
            raise wire.MalformedPacketError(f"packet starts with {start.hex()}")
        return self.reader.exactly(size)


@dataclass(slots=True)
class AjpBackend:
    """One AJP server, as seen from here."""

    worker: AjpBackendSettings
    busy: int = 0
    rests_until: float = 0.0
    idle: list[BackendConnection] = field(default_factory=list)


class AjpBackendPool:
    """The engine of one target: a worker, or a balancer over several."""

    def __init__(self, config: Config, coordinator: RequestCoordinator, servers: list[AjpBackend]) -> None:
        self.config, self.coordinator, self.limits, self.servers = config, coordinator, config.limits, servers

    def run(self, exchange: Exchange) -> None:
        """Start a request on one of the servers."""
        gevent.spawn(self._run, exchange)

    def resume(self, exchange: Exchange, reply: bytes) -> None:
        """AJP servers make their calls themselves."""

    def _run(self, exchange: Exchange) -> None:
        began = unix_ms()
        outcome, answer = RunOutcome.ERROR, None
        try:
            # Guards against a server that never answers: the due time ends the wait for it.
            with gevent.Timeout(max(0.001, (exchange.due_at - began) / 1000.0)):
                answer = self._try(exchange)
                outcome = RunOutcome.OK if answer.kind is AnswerKind.SERVED else RunOutcome.ERROR
        except gevent.Timeout:
            answer = Answer(AnswerKind.FAILED, late=True)
        except BackendUnreachableError:  # it never ran: a later try may
            answer = Answer(AnswerKind.REFUSED, retry_after_ms=self.limits.backend_retry_ms)
        except (OSError, ConnectionEndedError, wire.MalformedPacketError) as error:
            log.warning("worker", error=str(error), id=exchange.id)
        self.coordinator.run_ended(exchange.id, outcome, unix_ms() - began, answer)

    def _try(self, exchange: Exchange) -> Answer:
        for server in self._order(exchange.route):
            connection = self._connection(server)
            if connection is None:  # it never ran there, so another server may have it
                self.coordinator.counters.add("worker.unreachable")
                server.rests_until = unix_ms() + self.limits.backend_retry_ms
                continue
            server.busy += 1
            self.coordinator.counters.add("worker.sent")
            keep = False
            try:
                answer, keep = self._talk(connection, server.worker, exchange)
                return answer
            finally:
                server.busy -= 1
                if keep and len(server.idle) < self.limits.max_idle_backend_connections:
                    server.idle.append(connection)
                else:
                    connection.sock.close()
        raise BackendUnreachableError("no AJP server can be reached")

    def _order(self, route: str) -> list[AjpBackend]:
        """The session's own server first, then the least loaded for its factor; resting ones last."""
        now = unix_ms()
        return sorted(
            self.servers,
            key=lambda one: (
                one.rests_until > now,
                not (route and one.worker.route == route),
                (one.busy + 1) / one.worker.factor,
            ),
        )

    def _connection(self, server: AjpBackend) -> BackendConnection | None:
        """An idle connection that answers a ping, or a new one."""
        while server.idle:
            kept = server.idle.pop()
            try:  # guards against writing a request to a connection that its server has closed
                with gevent.Timeout(self.limits.connect_timeout_ms / 1000.0, TimeoutError):
                    kept.send(wire.packet(wire.TO_SERVLET, bytes([wire.CPING])))
                    if kept.next(self.limits.max_ajp_packet_bytes)[0] == wire.CPONG:
                        return kept
            except (OSError, ConnectionEndedError, wire.MalformedPacketError):
                pass
            kept.sock.close()
        try:
            sock = connect(server.worker.address, self.limits.connect_timeout_ms)
        except OSError:
            return None
        return BackendConnection(sock, Reader(sock, self.limits.max_ajp_packet_bytes))

    def _talk(
        self, connection: BackendConnection, worker: AjpBackendSettings, exchange: Exchange
    ) -> tuple[Answer, bool]:
        body, most = exchange.body, self.limits.max_ajp_packet_bytes
        attributes = {"jvm_route": worker.route} if worker.route else {}
        if exchange.query:
            attributes["query_string"] = exchange.query
        if worker.secret:
            attributes["secret"] = worker.secret
        rows = (*exchange.headers, ("content-length", str(len(body))))
        request = wire.ForwardRequest(exchange.method, exchange.uri, headers=rows, attributes=attributes)
        connection.send(wire.write_forward(request, most))
        room, sent = wire.body_room(most), 0
        if body:
            connection.send(wire.write_chunk(body[:room]))
            sent = room
        status, out = 0, bytearray()
        headers: wire.Headers = ()
        while True:
            payload = connection.next(most)
            if payload[0] == wire.HEADERS:
                status, headers = wire.read_headers(payload)
            elif payload[0] == wire.BODY:
                at = wire.PayloadReader(payload[1:])
                out += at.take(at.number())
                if len(out) > self.limits.max_ajp_reply_bytes:  # guards memory against an answer without end
                    raise wire.MalformedPacketError("answer too long")
            elif payload[0] == wire.GET_BODY:
                connection.send(wire.write_chunk(body[sent : sent + room]))
                sent += room
            elif payload[0] == wire.END:
                if not status:
                    raise wire.MalformedPacketError("answer without headers")
                kind = AnswerKind.SERVED if status < 500 else AnswerKind.FAILED
                return Answer(kind, bytes(out), status=status, headers=headers), payload[1:2] == b"\x01"
            elif payload[0] != wire.CPONG:
                raise wire.MalformedPacketError(f"packet of kind {payload[0]}")


def engines(config: Config, coordinator: RequestCoordinator) -> dict[str, AjpBackendPool]:
    """One engine for each worker and each balancer; they share what is known of a server."""
    servers = {worker.name: AjpBackend(worker) for worker in config.ajp.backends}
    out = {name: AjpBackendPool(config, coordinator, [server]) for name, server in servers.items()}
    for name, members in config.ajp.balancers.items():
        out[name] = AjpBackendPool(config, coordinator, [servers[member] for member in members])
    return out
