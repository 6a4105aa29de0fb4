"""The lifecycle of a client connection on any front: the server closes it only after its last answer is sent."""

from __future__ import annotations

from enum import IntEnum, auto

from myrtlespar.state_machines.transition_table import Transition, TransitionTable


class ConnectionState(IntEnum):
    """The state of a client connection."""

    IDLE = 0  # no answer is outstanding
    READING = auto()  # part of a request has arrived (only on fronts that detect partial requests)
    OWING = auto()  # answers are outstanding
    ENDING = auto()  # no more input is read; outstanding answers are still sent
    CLOSED = auto()


class ConnectionEvent(IntEnum):
    """What happens to a client connection."""

    BEGIN = 0  # part of a request arrived
    REQUEST = auto()  # a complete request was read and accepted
    ANSWERED = auto()  # one of several outstanding answers was sent
    LAST_ANSWERED = auto()  # the last outstanding answer was sent
    TURNED_AWAY = auto()  # the front itself answers the request being read, without the request coordinator
    SPOILT = auto()  # malformed or truncated input, after which no further request can be read
    CLOSE = auto()  # the server closes the connection when no answer is outstanding: graceful shutdown, or idle
    END = auto()  # the process ends: no more input is accepted, not even the rest of a partly read request
    RESET = auto()  # the client closed the connection


class ConnectionAction(IntEnum):
    """The effects of a transition."""

    GONE = 0  # no client waits for the outstanding answers
    FINISH = auto()  # close the connection once everything is sent


CONNECTION_TABLE = TransitionTable(
    "connection",
    ConnectionState,
    ConnectionEvent,
    {
        (ConnectionState.IDLE, ConnectionEvent.BEGIN): Transition(ConnectionState.READING),
        (ConnectionState.IDLE, ConnectionEvent.REQUEST): Transition(ConnectionState.OWING),
        (ConnectionState.IDLE, ConnectionEvent.SPOILT): Transition(ConnectionState.CLOSED, (ConnectionAction.FINISH,)),
        (ConnectionState.IDLE, ConnectionEvent.CLOSE): Transition(ConnectionState.CLOSED, (ConnectionAction.FINISH,)),
        (ConnectionState.IDLE, ConnectionEvent.END): Transition(ConnectionState.CLOSED, (ConnectionAction.FINISH,)),
        (ConnectionState.IDLE, ConnectionEvent.RESET): Transition(ConnectionState.CLOSED),
        (ConnectionState.READING, ConnectionEvent.REQUEST): Transition(ConnectionState.OWING),
        (ConnectionState.READING, ConnectionEvent.TURNED_AWAY): Transition(ConnectionState.IDLE),
        (ConnectionState.READING, ConnectionEvent.SPOILT): Transition(
            ConnectionState.CLOSED, (ConnectionAction.FINISH,)
        ),
        # The connection stays open until the request being read is answered.
        (ConnectionState.READING, ConnectionEvent.CLOSE): Transition(ConnectionState.READING),
        (ConnectionState.READING, ConnectionEvent.END): Transition(ConnectionState.CLOSED, (ConnectionAction.FINISH,)),
        (ConnectionState.READING, ConnectionEvent.RESET): Transition(ConnectionState.CLOSED),
        # Only on fronts that multiplex several requests over one connection.
        (ConnectionState.OWING, ConnectionEvent.REQUEST): Transition(ConnectionState.OWING),
        (ConnectionState.OWING, ConnectionEvent.ANSWERED): Transition(ConnectionState.OWING),
        (ConnectionState.OWING, ConnectionEvent.LAST_ANSWERED): Transition(ConnectionState.IDLE),
        (ConnectionState.OWING, ConnectionEvent.SPOILT): Transition(ConnectionState.ENDING),
        (ConnectionState.OWING, ConnectionEvent.CLOSE): Transition(ConnectionState.OWING),
        (ConnectionState.OWING, ConnectionEvent.RESET): Transition(ConnectionState.CLOSED, (ConnectionAction.GONE,)),
        (ConnectionState.ENDING, ConnectionEvent.ANSWERED): Transition(ConnectionState.ENDING),
        (ConnectionState.ENDING, ConnectionEvent.LAST_ANSWERED): Transition(
            ConnectionState.CLOSED, (ConnectionAction.FINISH,)
        ),
        (ConnectionState.ENDING, ConnectionEvent.CLOSE): Transition(ConnectionState.ENDING),
        (ConnectionState.ENDING, ConnectionEvent.RESET): Transition(ConnectionState.CLOSED, (ConnectionAction.GONE,)),
        # Input, or the end of input, that arrives after the server closed the connection.
        (ConnectionState.CLOSED, ConnectionEvent.SPOILT): Transition(ConnectionState.CLOSED),
        (ConnectionState.CLOSED, ConnectionEvent.CLOSE): Transition(ConnectionState.CLOSED),
        (ConnectionState.CLOSED, ConnectionEvent.END): Transition(ConnectionState.CLOSED),
        (ConnectionState.CLOSED, ConnectionEvent.RESET): Transition(ConnectionState.CLOSED),
    },
)


# Bound once at import: looking up an enum member in its class costs as much as a transition.
ENDING = ConnectionState.ENDING


class ConnectionLifecycle:
    """The state of one client connection. A front reports events to it and carries out the actions it returns.

    `name` names the connection in traces.
    """

    __slots__ = ("name", "state")

    def __init__(self, name: str) -> None:
        self.name = name
        self.state: int = ConnectionState.IDLE

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests are still accepted."""
        return self.state < ENDING

    def handle(self, event: ConnectionEvent) -> tuple[ConnectionAction, ...]:
        """Apply an event and return the resulting actions in order."""
        transition = CONNECTION_TABLE.step(self.state, event, self.name)
        self.state = transition.next_state
        return transition.effects
