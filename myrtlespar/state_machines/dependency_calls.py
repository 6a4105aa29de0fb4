"""Calls to the dependency (`store` in the settings), one at a time on each connection of a small pool."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from myrtlespar.policy.messages import RunOutcome
from myrtlespar.state_machines.dependency_tables import (
    CALL_TABLE,
    DEPENDENCY_CONNECTION_TABLE,
    CallEvent,
    CallState,
    DependencyConnectionEvent,
    DependencyConnectionState,
)
from myrtlespar.state_machines.transition_table import Transition


@dataclass(slots=True, eq=False)
class DependencyCall:
    """A call that is in flight or waits for a connection. Times in Unix milliseconds."""

    id: str  # the id of the request that it is made for
    body: bytes
    started_at: float
    limit_ms: float  # time limit of the call, from `started_at`
    state: int = CallState.WAITING
    connection: DependencyConnection | None = None


@dataclass(slots=True, eq=False)
class DependencyConnection:
    """One connection to the dependency. Times in Unix milliseconds."""

    number: int
    address_epoch: int  # `DependencyCalls.address_epoch` when the connection was opened
    recent_requests: deque[str]  # ids of the latest requests whose calls it carried
    state: int = DependencyConnectionState.OPENING
    call: DependencyCall | None = None
    idle_since: float = 0.0  # when it last became idle
    idle_ms_before_call: float = 0.0  # how long it was idle before its present call


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Effect: open this connection."""

    connection: DependencyConnection


@dataclass(frozen=True, slots=True)
class SendCall:
    """Effect: send the call on this connection."""

    connection: DependencyConnection
    call: DependencyCall


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Effect: close this connection; `cancelled_request`, if set, is the id of a request whose call to cancel first."""

    connection: DependencyConnection
    cancelled_request: str = ""


@dataclass(frozen=True, slots=True)
class EndCall:
    """Effect: report the end of this call to the request coordinator."""

    call: DependencyCall
    outcome: RunOutcome
    reply: bytes = b""


CallEffect = OpenConnection | SendCall | CloseConnection | EndCall


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Limits of the dependency calls. Times in milliseconds."""

    max_connections: int  # connections open or being opened
    max_waiting: int  # calls that wait for a connection
    max_idle_ms: float  # a connection that was idle for longer is not used, as the dependency may have dropped it
    max_recent_requests: int  # how many requests a connection remembers, to whose calls a duplicate reply may arrive
    grace_ms: float  # how long after its time limit a call ends as timed out


# Bound once at import: looking up an enum member in its class costs as much as a transition.
CONNECTION_BUSY = DependencyConnectionState.BUSY
CONNECTION_REPLY = DependencyConnectionEvent.REPLY
CONNECTION_TAKE = DependencyConnectionEvent.TAKE
CALL_ANSWERED = CallEvent.ANSWERED
CALL_PUT = CallEvent.PUT
CALL_OVER = CallState.OVER
CALL_WAITING = CallState.WAITING


@dataclass(slots=True)
class DependencyCalls:
    """All dependency calls of one server process, and the pool of connections that carries them.

    Every public method takes one event and returns its effects in order. `has_no_unread_input` returns
    whether all bytes that arrived on a connection have been read. Times are Unix milliseconds.
    """

    limits: CallLimits
    has_no_unread_input: Callable[[DependencyConnection], bool]
    calls: dict[str, DependencyCall] = field(default_factory=dict)  # in flight or waiting, by request id
    idle: deque[DependencyConnection] = field(default_factory=deque)  # by `idle_since`; the last one is used first
    waiting: deque[DependencyCall] = field(default_factory=deque)  # may still contain calls that have ended
    connection_count: int = 0  # connections open or being opened
    last_connection_number: int = 0
    address_epoch: int = 0  # incremented at each change of address

    # Requests from the server.

    def start_call(self, request_id: str, limit_ms: float, body: bytes, now: float) -> list[CallEffect]:
        """Make a call. A second call for one request replaces the first."""
        effects = self.cancel(request_id)
        call = DependencyCall(request_id, body, now, limit_ms)
        self.calls[request_id] = call
        connection = self._take_idle_connection(request_id, now)
        if connection is not None:
            return [*effects, self._send(connection, call, now)]
        if self.connection_count < self.limits.max_connections:
            self.waiting.append(call)
            return [*effects, self._open()]
        if len(self.waiting) < self.limits.max_waiting:
            self.waiting.append(call)
            return effects
        # The bound on waiting calls prevents unbounded memory use when the dependency accepts calls and never replies.
        return effects + self._end(call, CallEvent.UNREACHED)

    def cancel(self, request_id: str) -> list[CallEffect]:
        """Cancel a call that is no longer needed. Its connection closes, as the reply may arrive late or never."""
        call = self.calls.get(request_id)
        if call is None:
            return []
        connection = call.connection
        self._end(call, CallEvent.GIVEN_UP)
        return [] if connection is None else [self._close(connection, DependencyConnectionEvent.DROP, request_id)]

    def change_address(self) -> list[CallEffect]:
        """Send new calls to another address. Calls in flight end at the old address."""
        self.address_epoch += 1
        return self._close_idle_since_before(float("inf"))

    # Events from the network.

    def opened(self, connection: DependencyConnection, now: float) -> list[CallEffect]:
        """Handle an opened connection. It is used for the next call that waits."""
        self._step_connection(connection, DependencyConnectionEvent.OPENED)
        return self._release(connection, now)

    def open_failed(self, connection: DependencyConnection) -> list[CallEffect]:
        """Handle a connection that could not be opened. The next call that waits ends as unreachable."""
        self._step_connection(connection, DependencyConnectionEvent.REFUSED)
        self.connection_count -= 1
        call = self._next_waiting_call()
        effects = [] if call is None else self._end(call, CallEvent.UNREACHED)
        # Without any connection left, nothing else would open one for the calls that still wait.
        if self.waiting and not self.connection_count:
            effects.append(self._open())
        return effects

    def reply_received(
        self, connection: DependencyConnection, request_id: str, outcome: RunOutcome, body: bytes, now: float
    ) -> list[CallEffect] | None:
        """Handle a reply. Returns None if it belongs to no call in flight here, as a duplicate does."""
        call = connection.call
        if connection.state != CONNECTION_BUSY or call is None or call.id != request_id:
            return None
        connection.call = None
        self._step_connection(connection, CONNECTION_REPLY)
        self._step_call(call, CALL_ANSWERED)
        return [*self._release(connection, now), EndCall(call, outcome, body)]

    def connection_lost(self, connection: DependencyConnection) -> list[CallEffect]:
        """Handle a connection that was closed, by either side. If calls wait, another one is opened."""
        call = connection.call
        connection.call = None
        if connection in self.idle:
            self.idle.remove(connection)
        self._step_connection(connection, DependencyConnectionEvent.BROKEN)
        self.connection_count -= 1
        effects = [] if call is None else self._end(call, CallEvent.CUT)
        if self.waiting and self.connection_count < self.limits.max_connections:
            effects.append(self._open())
        return effects

    def expire(self, now: float) -> list[CallEffect]:
        """End the calls that are out of time, and close the connections that have been idle for too long."""
        effects: list[CallEffect] = []
        for call in list(self.calls.values()):
            if now >= call.started_at + call.limit_ms + self.limits.grace_ms:
                connection = call.connection
                effects += self._end(call, CallEvent.OUT_OF_TIME)
                if connection is not None:  # unresponsive, so no later call may use it
                    effects.append(self._close(connection, DependencyConnectionEvent.DROP))
        return effects + self._close_idle_since_before(now - self.limits.max_idle_ms)

    # Transitions of calls and connections.

    def _step_connection(self, connection: DependencyConnection, event: DependencyConnectionEvent) -> None:
        machine_id = f"store-{connection.number}"
        connection.state = DEPENDENCY_CONNECTION_TABLE.step(connection.state, event, machine_id).next_state

    def _step_call(self, call: DependencyCall, event: CallEvent) -> Transition:
        transition = CALL_TABLE.step(call.state, event, call.id)
        call.state = transition.next_state
        if transition.next_state == CALL_OVER:
            call.connection = None
            if self.calls.get(call.id) is call:
                del self.calls[call.id]
        return transition

    def _end(self, call: DependencyCall, event: CallEvent) -> list[CallEffect]:
        return [EndCall(call, outcome) for outcome in self._step_call(call, event).effects]

    def _open(self) -> OpenConnection:
        self.connection_count += 1
        self.last_connection_number += 1
        recent_requests: deque[str] = deque(maxlen=self.limits.max_recent_requests)
        return OpenConnection(DependencyConnection(self.last_connection_number, self.address_epoch, recent_requests))

    def _send(self, connection: DependencyConnection, call: DependencyCall, now: float) -> SendCall:
        self._step_connection(connection, CONNECTION_TAKE)
        self._step_call(call, CALL_PUT)
        connection.call = call
        call.connection = connection
        connection.idle_ms_before_call = now - connection.idle_since if connection.idle_since else 0.0
        connection.recent_requests.append(call.id)
        return SendCall(connection, call)

    def _close(
        self, connection: DependencyConnection, event: DependencyConnectionEvent, cancelled_request: str = ""
    ) -> CloseConnection:
        connection.call = None
        self._step_connection(connection, event)
        return CloseConnection(connection, cancelled_request)

    def _take_idle_connection(self, request_id: str, now: float) -> DependencyConnection | None:
        """Remove an idle connection from the pool for a call of this request, or return None.

        Connections that were idle for too long are not used, as the dependency may have dropped them. A connection that
        recently carried a call of the same request is not used either: a duplicate of the earlier reply would be
        mistaken for the reply to this call.
        """
        idle_since_min = now - self.limits.max_idle_ms
        for connection in reversed(self.idle):
            if connection.idle_since < idle_since_min:
                break
            if request_id not in connection.recent_requests and self.has_no_unread_input(connection):
                self.idle.remove(connection)
                return connection
        return None

    def _next_waiting_call(self) -> DependencyCall | None:
        while self.waiting:
            call = self.waiting.popleft()
            if call.state == CALL_WAITING:
                return call
        return None

    def _release(self, connection: DependencyConnection, now: float) -> list[CallEffect]:
        """Use a connection that carries no call for the next call that waits, or make it idle."""
        if connection.address_epoch != self.address_epoch:
            return [self._close(connection, DependencyConnectionEvent.RETIRE)]
        connection.idle_since = now
        call = self._next_waiting_call()
        if call is None:
            self.idle.append(connection)
            return []
        if call.id in connection.recent_requests:  # this connection closes, and another one takes the call
            self.waiting.appendleft(call)
            return [self._close(connection, DependencyConnectionEvent.RETIRE)]
        return [self._send(connection, call, now)]

    def _close_idle_since_before(self, time_ms: float) -> list[CallEffect]:
        effects: list[CallEffect] = []
        while self.idle and self.idle[0].idle_since < time_ms:
            effects.append(self._close(self.idle.popleft(), DependencyConnectionEvent.RETIRE))
        return effects
