"""Client of the dependency that runs call, with a few connections that carry one call at a time each.

No call is retried here: when a connection breaks, the end of its call is reported to the coordinator.
"""

from __future__ import annotations

from dataclasses import dataclass

import gevent
import structlog

from myrtlespar.config import Address, Config
from myrtlespar.net.codec import dependency as codec
from myrtlespar.net.connections import connect
from myrtlespar.net.outbox import Outbox
from myrtlespar.net.socket_reader import ConnectionEndedError, SocketReader
from myrtlespar.request_coordinator import RequestCoordinator
from myrtlespar.runtime.clock import unix_ms
from myrtlespar.state_machines.dependency_calls import (
    CallEffect,
    CallLimits,
    CloseConnection,
    DependencyCall,
    DependencyCalls,
    DependencyConnection,
    OpenConnection,
    SendCall,
)

log = structlog.get_logger()
MIN_TIME_LIMIT_MS = 1.0
MAX_LOGGED_ERROR_CHARS = 200


@dataclass(frozen=True, slots=True)
class DependencySocket:
    """Sending and receiving side of an open connection."""

    outbox: Outbox
    reader: SocketReader


class DependencyClient:
    """Makes calls; `DependencyCalls` decides which connection carries which call."""

    def __init__(self, config: Config, coordinator: RequestCoordinator) -> None:
        limits = config.limits
        self._coordinator = coordinator
        self._limits = limits
        self._address = config.store
        self._sockets: dict[DependencyConnection, DependencySocket] = {}
        self._calls = DependencyCalls(
            CallLimits(
                limits.max_dependency_connections,
                limits.max_dependency_calls,
                limits.max_dependency_idle_ms,
                limits.max_dependency_recent_requests,
                limits.dependency_grace_ms,
            ),
            self._has_nothing_unread,
        )

    def call(self, id: str, limit_ms: float, body: bytes) -> None:
        """Make a call for a request, in place of an earlier call for the same request."""
        self._carry_out(self._calls.start_call(id, limit_ms, body, unix_ms()))

    def cancel_call(self, id: str) -> None:
        """Cancel a request's call."""
        if id in self._calls.calls:
            self._coordinator.counters.add("store.drop")
            self._carry_out(self._calls.cancel(id))

    def move(self, address: Address | None) -> None:
        """Make new calls at another address after a reload; calls in flight are finished at the old one.

        With None there is no dependency: each call fails as one that never ran.
        """
        if address != self._address:
            self._address = address
            self._carry_out(self._calls.change_address())

    def serve(self) -> None:
        """Time out calls and close connections that are idle for too long; never return."""
        while True:
            gevent.sleep(self._limits.dependency_check_ms / 1000.0)
            self._carry_out(self._calls.expire(unix_ms()))

    def _has_nothing_unread(self, connection: DependencyConnection) -> bool:
        return not self._sockets[connection].reader.has_unread()

    def _carry_out(self, effects: list[CallEffect]) -> None:
        for effect in effects:
            if isinstance(effect, OpenConnection):
                gevent.spawn(self._open, effect.connection, self._address)
            elif isinstance(effect, SendCall):
                self._send_call(effect.connection, effect.call)
            elif isinstance(effect, CloseConnection):
                outbox = self._sockets[effect.connection].outbox
                if effect.cancelled_request:
                    outbox.put(codec.encode_cancel(effect.cancelled_request))
                outbox.close()
            else:
                call = effect.call
                self._coordinator.call_ended(call.id, effect.outcome, unix_ms() - call.started_at, effect.reply)

    def _send_call(self, connection: DependencyConnection, call: DependencyCall) -> None:
        """Send a call with its remaining time limit.

        If sending fails, the connection is closed, `_read_reply` notices that, and the call ends with the connection.
        """
        left_ms = min(call.started_at + call.limit_ms - unix_ms(), self._limits.max_dependency_call_ms)
        time_limit_ms = int(max(MIN_TIME_LIMIT_MS, left_ms))
        self._sockets[connection].outbox.put(codec.encode_call(call.id, time_limit_ms, call.body))

    # Run in one greenlet per connection.

    def _open(self, connection: DependencyConnection, address: Address | None) -> None:
        """Open a connection and read replies until it ends."""
        if address is None:  # no dependency is configured
            self._carry_out(self._calls.open_failed(connection))
            return
        try:
            sock = connect(address, self._limits.connect_timeout_ms)
        except OSError:  # without a connection the call never ran
            self._carry_out(self._calls.open_failed(connection))
            return
        self._coordinator.counters.add("store.link")
        outbox = Outbox(sock, self._limits.max_dependency_outbox_bytes, self._limits.send_timeout_ms)
        reader = SocketReader(sock, self._limits.max_dependency_line_bytes)
        self._sockets[connection] = DependencySocket(outbox, reader)
        try:
            self._carry_out(self._calls.opened(connection, unix_ms()))
            while True:
                self._read_reply(connection, reader)
        except ConnectionEndedError as error:
            self._report_broken_call(connection, "reset", str(error))
        except codec.MalformedReplyError as error:
            self._report_broken_call(connection, "spoilt", str(error)[:MAX_LOGGED_ERROR_CHARS])
        finally:
            outbox.close()
            sock.close()
            del self._sockets[connection]
            self._carry_out(self._calls.connection_lost(connection))

    def _report_broken_call(self, connection: DependencyConnection, how: str, error: str) -> None:
        call = connection.call
        if call is not None and self._coordinator.counters.count_and_sample(f"store.{how}"):
            idle_ms = round(connection.idle_ms_before_call)
            log.info(
                "a connection to the dependency broke during a call",
                how=how,
                error=error,
                id=call.id,
                rested_ms=idle_ms,
            )

    def _read_reply(self, connection: DependencyConnection, reader: SocketReader) -> None:
        """Read one reply; a reply to a call that this connection does not carry is counted and ignored."""
        head = codec.decode_reply_head(reader.read_line(), self._limits.max_dependency_reply_bytes)
        body = b""
        if head.body_bytes is not None:
            body = codec.decode_reply_body(reader.read_exactly(head.body_bytes + len(codec.LINE_END)))
        effects = self._calls.reply_received(connection, head.request_id, head.outcome, body, unix_ms())
        if effects is None:
            self._coordinator.counters.add("store.stray")
        else:
            self._carry_out(effects)
