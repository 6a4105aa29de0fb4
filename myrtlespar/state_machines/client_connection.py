"""A client's connection on any front: what it owes, and how it ends without leaving an answer behind."""

from __future__ import annotations

from enum import IntEnum, auto

from myrtlespar.state_machines.transition_table import Transition, TransitionTable


class ConnectionState(IntEnum):
    """Where a connection stands."""

    IDLE = 0  # owes nothing
    READING = auto()  # part of a request is here (fronts that see it)
    OWING = auto()
    ENDING = auto()  # nothing more is read; what is owed is still sent
    CLOSED = auto()


class ConnectionEvent(IntEnum):
    """What happens to it."""

    BEGIN = 0  # part of a request
    REQUEST = auto()  # one was read whole and taken
    ANSWERED = auto()  # one of several that are owed
    LAST_ANSWERED = auto()  # nothing is owed now
    TURNED_AWAY = auto()  # what was being read is answered without the core
    SPOILT = auto()  # what can't be read, or stopped midway
    CLOSE = auto()  # our wish, such as a drain or an idle one that makes room
    END = auto()  # the process leaves: nothing more is taken, a request half read included
    RESET = auto()  # the other side ended it


class ConnectionAction(IntEnum):
    """What follows."""

    GONE = 0  # nobody waits for what was owed
    FINISH = auto()  # close once all is sent


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
        (ConnectionState.READING, ConnectionEvent.CLOSE): Transition(
            ConnectionState.READING
        ),  # what is being read gets its answer first
        (ConnectionState.READING, ConnectionEvent.END): Transition(ConnectionState.CLOSED, (ConnectionAction.FINISH,)),
        (ConnectionState.READING, ConnectionEvent.RESET): Transition(ConnectionState.CLOSED),
        (ConnectionState.OWING, ConnectionEvent.REQUEST): Transition(
            ConnectionState.OWING
        ),  # fronts that carry several at a time
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
        (ConnectionState.CLOSED, ConnectionEvent.SPOILT): Transition(
            ConnectionState.CLOSED
        ),  # the other side's end, or a part of something, behind our close
        (ConnectionState.CLOSED, ConnectionEvent.CLOSE): Transition(ConnectionState.CLOSED),
        (ConnectionState.CLOSED, ConnectionEvent.END): Transition(ConnectionState.CLOSED),
        (ConnectionState.CLOSED, ConnectionEvent.RESET): Transition(ConnectionState.CLOSED),
    },
)


# Bound once: looking a member up in its class costs as much as a step of a table.
ENDING = ConnectionState.ENDING


class ConnectionLifecycle:
    """One connection's state. Fronts tell it what happens and carry out what it returns."""

    __slots__ = ("name", "state")

    def __init__(self, name: str) -> None:
        self.name = name
        self.state: int = ConnectionState.IDLE

    @property
    def accepts_requests(self) -> bool:
        """Whether what comes is still taken."""
        return self.state < ENDING

    def handle(self, event: ConnectionEvent) -> tuple[ConnectionAction, ...]:
        """One event, and what follows."""
        row = CONNECTION_TABLE.step(self.state, event, self.name)
        self.state = row.next_state
        return row.effects
