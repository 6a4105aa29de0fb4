"""The transition tables of dependency calls, with the outcome of each kind of end, and of their connections."""

from __future__ import annotations

from enum import IntEnum, auto

from myrtlespar.policy.messages import RunOutcome
from myrtlespar.state_machines.transition_table import Transition, TransitionTable


class DependencyConnectionState(IntEnum):
    """The state of a connection to the dependency."""

    OPENING = 0
    IDLE = auto()
    BUSY = auto()  # carries one call
    SPENT = auto()  # being closed; a stale reply may still arrive, so it is used for no further call
    CLOSED = auto()


class DependencyConnectionEvent(IntEnum):
    """What happens to a connection to the dependency."""

    OPENED = 0
    REFUSED = auto()  # the connection could not be opened
    TAKE = auto()  # a call is sent on it
    REPLY = auto()
    DROP = auto()  # the call on it is cancelled or timed out
    BROKEN = auto()  # the connection was closed, by either side
    RETIRE = auto()  # not to be used again: idle for too long, at an old address, or unsuitable for the next call


DEPENDENCY_CONNECTION_TABLE = TransitionTable(
    "wire",  # the name of a connection to the dependency in recorded traces and counters
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
    """The state of a dependency call."""

    WAITING = 0  # not sent yet; waits for a connection
    MADE = auto()  # sent, and not answered yet
    OVER = auto()


class CallEvent(IntEnum):
    """What happens to a dependency call."""

    PUT = 0  # sent on a connection
    ANSWERED = auto()
    CUT = auto()  # the connection closed before the reply
    UNREACHED = auto()  # no connection could be opened, or too many calls wait
    OUT_OF_TIME = auto()  # the time limit passed
    GIVEN_UP = auto()  # cancelled, as no longer needed


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
        # Once a call was sent, only a reply can prove that it never ran.
        (CallState.MADE, CallEvent.CUT): Transition(CallState.OVER, (RunOutcome.CUT_OFF,)),
        (CallState.MADE, CallEvent.OUT_OF_TIME): Transition(CallState.OVER, (RunOutcome.TIMED_OUT,)),
        (CallState.MADE, CallEvent.GIVEN_UP): Transition(CallState.OVER),
    },
)
