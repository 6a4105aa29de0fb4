"""Calls to the store, one at a time on each of a few connections, and what each end of one proves."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum, auto

from myrtlespar.policy.messages import RunOutcome
from myrtlespar.state_machines.transition_table import Transition, TransitionTable


class DependencyConnectionState(IntEnum):
    """Where a connection to the store stands."""

    OPENING = 0
    IDLE = auto()
    BUSY = auto()  # with one call
    SPENT = auto()  # a reply that nobody waits for may still come: it carries nothing more
    CLOSED = auto()


class DependencyConnectionEvent(IntEnum):
    """What happens to a connection."""

    OPENED = 0
    REFUSED = auto()
    TAKE = auto()  # a call
    REPLY = auto()
    DROP = auto()  # its call is given up
    BROKEN = auto()
    RETIRE = auto()  # idle for too long, or at an old address


DEPENDENCY_CONNECTION_TABLE = TransitionTable(
    "wire",
    DependencyConnectionState,
    DependencyConnectionEvent,
    {
        (DependencyConnectionState.OPENING, DependencyConnectionEvent.OPENED): Transition(
            DependencyConnectionState.IDLE
        ),
        (DependencyConnectionState.OPENING, DependencyConnectionEvent.REFUSED): Transition(
            DependencyConnectionState.CLOSED
        ),
        (DependencyConnectionState.IDLE, DependencyConnectionEvent.TAKE): Transition(DependencyConnectionState.BUSY),
        (DependencyConnectionState.IDLE, DependencyConnectionEvent.RETIRE): Transition(DependencyConnectionState.SPENT),
        (DependencyConnectionState.IDLE, DependencyConnectionEvent.BROKEN): Transition(
            DependencyConnectionState.CLOSED
        ),
        (DependencyConnectionState.BUSY, DependencyConnectionEvent.REPLY): Transition(DependencyConnectionState.IDLE),
        (DependencyConnectionState.BUSY, DependencyConnectionEvent.DROP): Transition(DependencyConnectionState.SPENT),
        (DependencyConnectionState.BUSY, DependencyConnectionEvent.BROKEN): Transition(
            DependencyConnectionState.CLOSED
        ),
        (DependencyConnectionState.SPENT, DependencyConnectionEvent.BROKEN): Transition(
            DependencyConnectionState.CLOSED
        ),
    },
)


class CallState(IntEnum):
    """Where a call stands."""

    WAITING = 0  # for a connection: it never ran
    MADE = auto()
    OVER = auto()


class CallEvent(IntEnum):
    """What happens to a call."""

    PUT = 0  # on a connection
    ANSWERED = auto()
    CUT = auto()  # its connection broke
    UNREACHED = auto()  # no connection could be had
    OUT_OF_TIME = auto()
    GIVEN_UP = auto()


CALL_TABLE = TransitionTable(
    "call",
    CallState,
    CallEvent,
    {
        (CallState.WAITING, CallEvent.PUT): Transition(CallState.MADE),
        (CallState.WAITING, CallEvent.UNREACHED): Transition(CallState.OVER, (RunOutcome.UNREACHABLE,)),
        (CallState.WAITING, CallEvent.OUT_OF_TIME): Transition(CallState.OVER, (RunOutcome.UNREACHABLE,)),
        (CallState.WAITING, CallEvent.GIVEN_UP): Transition(CallState.OVER),
        (CallState.MADE, CallEvent.ANSWERED): Transition(CallState.OVER),
        (CallState.MADE, CallEvent.CUT): Transition(
            CallState.OVER, (RunOutcome.CUT_OFF,)
        ),  # nothing but a reply proves that it never ran
        (CallState.MADE, CallEvent.OUT_OF_TIME): Transition(CallState.OVER, (RunOutcome.TIMED_OUT,)),
        (CallState.MADE, CallEvent.GIVEN_UP): Transition(CallState.OVER),
    },
)


@dataclass(slots=True, eq=False)
class DependencyCall:
    """A call in hand, or waiting for a connection. Times in Unix milliseconds."""

    id: str
    body: bytes
    started_at: float
    limit_ms: float
    state: int = CallState.WAITING
    connection: DependencyConnection | None = None


@dataclass(slots=True, eq=False)
class DependencyConnection:
    """One connection to the store."""

    number: int
    address_epoch: int  # which address it leads to
    recent_requests: deque[str]  # the latest requests it carried calls for
    state: int = DependencyConnectionState.OPENING
    call: DependencyCall | None = None
    idle_since: float = 0.0  # when it last became idle
    idle_ms_before_call: float = 0.0  # how long it was idle before its present call


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open this connection."""

    connection: DependencyConnection


@dataclass(frozen=True, slots=True)
class SendCall:
    """Send the call on its connection."""

    connection: DependencyConnection
    call: DependencyCall


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close it; `cancelled_request` names a call to give up first."""

    connection: DependencyConnection
    cancelled_request: str = ""


@dataclass(frozen=True, slots=True)
class EndCall:
    """Tell the desk how this call ended."""

    call: DependencyCall
    outcome: RunOutcome
    reply: bytes = b""


CallEffect = OpenConnection | SendCall | CloseConnection | EndCall


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Limits of the calls; times in milliseconds."""

    max_connections: int  # connections open or being opened
    max_waiting: int  # calls that wait for a connection
    max_idle_ms: float  # a connection idle for longer may be forgotten by the store
    max_recent_requests: int  # latest requests of a connection, whose calls the store may still answer again
    grace_ms: float  # past a call's time until it is taken for timed out


# Bound once: looking a member up in its class costs as much as a step of a table.
WIRE_BUSY, HEAR_REPLY, HEAR_TAKE, GET_ANSWERED, GET_PUT, STAND_OVER, STAND_WAITING = (
    DependencyConnectionState.BUSY,
    DependencyConnectionEvent.REPLY,
    DependencyConnectionEvent.TAKE,
    CallEvent.ANSWERED,
    CallEvent.PUT,
    CallState.OVER,
    CallState.WAITING,
)


@dataclass(slots=True)
class DependencyCalls:
    """All calls of one server life. `is_quiet` tells whether nothing has come on a connection unasked."""

    limits: CallLimits
    is_quiet: Callable[[DependencyConnection], bool]
    calls: dict[str, DependencyCall] = field(default_factory=dict)
    idle: deque[DependencyConnection] = field(default_factory=deque)  # the one used last is taken first
    waiting: deque[DependencyCall] = field(default_factory=deque)
    connection_count: int = 0  # connections open or being opened
    serial: int = 0
    address_epoch: int = 0

    # What the server wants.

    def start_call(self, id: str, limit_ms: float, body: bytes, now: float) -> list[CallEffect]:
        """Make a call. A second call for one request takes the place of the first."""
        out = self.cancel(id)
        call = self.calls[id] = DependencyCall(id, body, now, limit_ms)
        wire = self._trusted(id, now)
        if wire is not None:
            return [*out, self._take(wire, call, now)]
        if self.connection_count < self.limits.max_connections:
            self.waiting.append(call)
            return [*out, self._open()]
        if len(self.waiting) < self.limits.max_waiting:
            self.waiting.append(call)
            return out
        return out + self._end(call, CallEvent.UNREACHED)  # guards memory against a store that only takes calls

    def cancel(self, id: str) -> list[CallEffect]:
        """Give up a call that nobody needs. Its connection closes, as its reply may still come, or never."""
        call = self.calls.get(id)
        if call is None:
            return []
        wire = call.connection
        self._end(call, CallEvent.GIVEN_UP)
        return [] if wire is None else [self._spend(wire, DependencyConnectionEvent.DROP, id)]

    def change_address(self) -> list[CallEffect]:
        """New calls go to another address; calls in hand end where they are."""
        self.address_epoch += 1
        return self._retire(float("inf"))

    # What happened.

    def opened(self, wire: DependencyConnection, now: float) -> list[CallEffect]:
        """It is connected: the next call that waits may have it."""
        self._hear(wire, DependencyConnectionEvent.OPENED)
        return self._free(wire, now)

    def open_failed(self, wire: DependencyConnection) -> list[CallEffect]:
        """It could not be opened, so the call that it was opened for never ran."""
        self._hear(wire, DependencyConnectionEvent.REFUSED)
        self.connection_count -= 1
        call = self._next()
        out = [] if call is None else self._end(call, CallEvent.UNREACHED)
        if (
            self.waiting and not self.connection_count
        ):  # guards calls against waiting for a connection that nobody opens
            out.append(self._open())
        return out

    def reply_received(
        self, wire: DependencyConnection, id: str, outcome: RunOutcome, body: bytes, now: float
    ) -> list[CallEffect] | None:
        """One reply came. None: it was for no call in hand here, such as a second copy."""
        call = wire.call
        if wire.state != WIRE_BUSY or call is None or call.id != id:
            return None
        wire.call = None
        self._hear(wire, HEAR_REPLY)
        self._step(call, GET_ANSWERED)
        return [*self._free(wire, now), EndCall(call, outcome, body)]

    def connection_lost(self, wire: DependencyConnection) -> list[CallEffect]:
        """It is over, by either side. Calls that wait get another in its place."""
        call, wire.call = wire.call, None
        if wire in self.idle:
            self.idle.remove(wire)
        self._hear(wire, DependencyConnectionEvent.BROKEN)
        self.connection_count -= 1
        out = [] if call is None else self._end(call, CallEvent.CUT)
        if self.waiting and self.connection_count < self.limits.max_connections:
            out.append(self._open())
        return out

    def expire(self, now: float) -> list[CallEffect]:
        """Time calls out, and close connections that have been idle for too long to be trusted."""
        out: list[CallEffect] = []
        for call in list(self.calls.values()):
            if now >= call.started_at + call.limit_ms + self.limits.grace_ms:
                wire = call.connection
                out += self._end(call, CallEvent.OUT_OF_TIME)
                if wire is not None:  # guards later calls against a connection that fell silent
                    out.append(self._spend(wire, DependencyConnectionEvent.DROP))
        return out + self._retire(now - self.limits.max_idle_ms)

    # How it is carried out.

    def _hear(self, wire: DependencyConnection, event: DependencyConnectionEvent) -> None:
        wire.state = DEPENDENCY_CONNECTION_TABLE.step(wire.state, event, f"store-{wire.number}").next_state

    def _step(self, call: DependencyCall, event: CallEvent) -> Transition:
        row = CALL_TABLE.step(call.state, event, call.id)
        call.state = row.next_state
        if row.next_state == STAND_OVER:
            call.connection = None
            if self.calls.get(call.id) is call:
                del self.calls[call.id]
        return row

    def _end(self, call: DependencyCall, event: CallEvent) -> list[CallEffect]:
        return [EndCall(call, outcome) for outcome in self._step(call, event).effects]

    def _open(self) -> OpenConnection:
        self.connection_count += 1
        self.serial += 1
        return OpenConnection(
            DependencyConnection(self.serial, self.address_epoch, deque(maxlen=self.limits.max_recent_requests))
        )

    def _take(self, wire: DependencyConnection, call: DependencyCall, now: float) -> SendCall:
        self._hear(wire, HEAR_TAKE)
        self._step(call, GET_PUT)
        wire.call, call.connection = call, wire
        wire.idle_ms_before_call = now - wire.idle_since if wire.idle_since else 0.0
        wire.recent_requests.append(call.id)
        return SendCall(wire, call)

    def _spend(self, wire: DependencyConnection, event: DependencyConnectionEvent, drop: str = "") -> CloseConnection:
        wire.call = None
        self._hear(wire, event)
        return CloseConnection(wire, drop)

    def _trusted(self, id: str, now: float) -> DependencyConnection | None:
        """An idle connection for this call.

        Guards against connections that the store may have forgotten, and against a second copy of a reply,
        which would pass for the reply to the same request's next call.
        """
        fresh = now - self.limits.max_idle_ms
        for wire in reversed(self.idle):
            if wire.idle_since < fresh:
                break
            if id not in wire.recent_requests and self.is_quiet(wire):
                self.idle.remove(wire)
                return wire
        return None

    def _next(self) -> DependencyCall | None:
        """The next call that still waits."""
        while self.waiting:
            call = self.waiting.popleft()
            if call.state == STAND_WAITING:
                return call
        return None

    def _free(self, wire: DependencyConnection, now: float) -> list[CallEffect]:
        """It carries nothing: the next call that waits may have it."""
        if wire.address_epoch != self.address_epoch:
            return [self._spend(wire, DependencyConnectionEvent.RETIRE)]
        wire.idle_since = now
        call = self._next()
        if call is None:
            self.idle.append(wire)
            return []
        if call.id in wire.recent_requests:  # the connection that takes this one's place will carry it
            self.waiting.appendleft(call)
            return [self._spend(wire, DependencyConnectionEvent.RETIRE)]
        return [self._take(wire, call, now)]

    def _retire(self, before: float) -> list[CallEffect]:
        out: list[CallEffect] = []
        while self.idle and self.idle[0].idle_since < before:
            out.append(self._spend(self.idle.popleft(), DependencyConnectionEvent.RETIRE))
        return out
