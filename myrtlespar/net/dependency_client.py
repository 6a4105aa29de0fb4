"""Calls to the scene store: one at a time on each of a few connections, each end mapped to what it proves."""

from __future__ import annotations

import gevent
import structlog

from myrtlespar.config import Address, Config
from myrtlespar.errors import MyrtlesparError
from myrtlespar.net.connections import ConnectionEndedError, Outbox, Reader, connect
from myrtlespar.policy.messages import RunOutcome
from myrtlespar.request_coordinator import RequestCoordinator
from myrtlespar.runtime.clock import unix_ms
from myrtlespar.state_machines.dependency_calls import (
    CallEffect,
    CallLimits,
    CloseConnection,
    DependencyCalls,
    DependencyConnection,
    OpenConnection,
    SendCall,
)

log = structlog.get_logger()
# BUSY and VOID prove that the call never ran; ERR and LATE prove nothing.
ENDS = {
    b"OK": RunOutcome.OK,
    b"BUSY": RunOutcome.REJECTED,
    b"ERR": RunOutcome.ERROR,
    b"LATE": RunOutcome.TIMED_OUT,
    b"VOID": RunOutcome.MOOT,
}


class MalformedReplyError(MyrtlesparError):
    """The store sent what can't be read: nothing more on this connection means anything."""


class DependencyClient:
    """The dependency that runs call."""

    def __init__(self, config: Config, coordinator: RequestCoordinator) -> None:
        self.coordinator, self.limits = coordinator, config.limits
        self._address = config.store
        self._links: dict[DependencyConnection, tuple[Outbox, Reader]] = {}
        limits = config.limits
        self.book = DependencyCalls(
            CallLimits(
                limits.max_dependency_connections,
                limits.max_dependency_calls,
                limits.max_dependency_idle_ms,
                limits.max_dependency_recent_requests,
                limits.dependency_grace_ms,
            ),
            self._quiet,
        )

    def call(self, id: str, limit_ms: float, body: bytes) -> None:
        """Make a call. A second call for one request takes the place of the first."""
        self._carry(self.book.start_call(id, limit_ms, body, unix_ms()))

    def drop(self, id: str) -> None:
        """Give up a call that nobody needs."""
        if id in self.book.calls:
            self.coordinator.counters.add("store.drop")
            self._carry(self.book.cancel(id))

    def move(self, address: Address | None) -> None:
        """New calls go to another address; calls in hand end where they are."""
        if address != self._address:
            self._address = address
            self._carry(self.book.change_address())

    def _quiet(self, wire: DependencyConnection) -> bool:
        return not self._links[wire][1].pending()

    def _carry(self, orders: list[CallEffect]) -> None:
        """Carry out what the book says."""
        for order in orders:
            if isinstance(order, OpenConnection):
                gevent.spawn(self._open, order.connection, self._address)
            elif isinstance(order, SendCall):
                call = order.call
                left = int(
                    max(1.0, min(call.started_at + call.limit_ms - unix_ms(), self.limits.max_dependency_call_ms))
                )
                # If it can't be written the reader sees the connection's end, and so does the call.
                self._links[order.connection][0].put(
                    b"CALL %s %d %d\r\n%s\r\n" % (call.id.encode(), left, len(call.body), call.body)
                )
            elif isinstance(order, CloseConnection):
                outbox = self._links[order.connection][0]
                if order.cancelled_request:
                    outbox.put(b"DROP %s\r\n" % order.cancelled_request.encode())
                outbox.close()
            else:
                self.coordinator.call_ended(
                    order.call.id, order.outcome, unix_ms() - order.call.started_at, order.reply
                )

    # One greenlet a connection.

    def _open(self, wire: DependencyConnection, address: Address | None) -> None:
        if address is None:  # a site without a store: no call ever runs
            return self._carry(self.book.open_failed(wire))
        try:
            sock = connect(address, self.limits.connect_timeout_ms)
        except OSError:  # no connection, no call: it never ran
            return self._carry(self.book.open_failed(wire))
        self.coordinator.counters.add("store.link")
        outbox = Outbox(sock, self.limits.max_dependency_outbox_bytes, self.limits.send_timeout_ms)
        reader = Reader(sock, self.limits.max_dependency_line_bytes)
        self._links[wire] = outbox, reader
        try:
            self._carry(self.book.opened(wire, unix_ms()))
            while True:
                self._reply(wire, reader)
        except ConnectionEndedError as error:
            self._broken(wire, "reset", str(error))
        except MalformedReplyError as error:
            self._broken(wire, "spoilt", str(error)[:200])
        finally:
            outbox.close()
            sock.close()
            del self._links[wire]
            self._carry(self.book.connection_lost(wire))

    def _broken(self, wire: DependencyConnection, how: str, error: str) -> None:
        if wire.call is not None and self.coordinator.counters.rare(f"store.{how}"):
            log.info(
                "store broke a call", how=how, error=error, id=wire.call.id, rested_ms=round(wire.idle_ms_before_call)
            )

    def _reply(self, wire: DependencyConnection, reader: Reader) -> None:
        """Read one reply. Those to others, such as second copies, are passed over."""
        text = reader.line()
        words = text.removesuffix(b"\r").split(b" ")
        end = ENDS.get(words[1]) if len(words) == (3 if words[1:2] == [b"OK"] else 2) else None
        if end is None or not text.endswith(b"\r"):
            raise MalformedReplyError(f"line {text[:80]!r}")
        body = self._body(reader, words[2]) if end is RunOutcome.OK else b""
        orders = self.book.reply_received(wire, words[0].decode("latin-1"), end, body, unix_ms())
        if orders is None:
            self.coordinator.counters.add("store.stray")
        else:
            self._carry(orders)

    def _body(self, reader: Reader, size: bytes) -> bytes:
        # Guards memory against lengths that fill it, and runs against a reply of another length than told.
        if not size.isdigit() or len(size) > 9 or int(size) > self.limits.max_dependency_reply_bytes:
            raise MalformedReplyError(f"reply of {size[:20]!r} bytes")
        data = reader.exactly(int(size) + 2)
        if not data.endswith(b"\r\n"):
            raise MalformedReplyError("reply of another length than told")
        return data[:-2]

    def serve(self) -> None:
        """Time calls out, and close connections that have been idle for too long to be trusted."""
        while True:
            gevent.sleep(self.limits.dependency_check_ms / 1000.0)
            self._carry(self.book.expire(unix_ms()))
