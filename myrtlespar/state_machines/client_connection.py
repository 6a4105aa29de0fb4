"""A client's connection on any front: what it owes, and how it ends without leaving an answer behind."""

from __future__ import annotations

from enum import IntEnum, auto

from myrtlespar.state_machines.transition_table import Row, Table


class Conn(IntEnum):
    """Where a connection stands."""

    IDLE = 0  # owes nothing
    READING = auto()  # part of a request is here (fronts that see it)
    OWING = auto()
    ENDING = auto()  # nothing more is read; what is owed is still sent
    CLOSED = auto()


class Be(IntEnum):
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


class Do(IntEnum):
    """What follows."""

    GONE = 0  # nobody waits for what was owed
    FINISH = auto()  # close once all is sent


CONN = Table("connection", Conn, Be, {
    (Conn.IDLE, Be.BEGIN): Row(Conn.READING),
    (Conn.IDLE, Be.REQUEST): Row(Conn.OWING),
    (Conn.IDLE, Be.SPOILT): Row(Conn.CLOSED, (Do.FINISH,)),
    (Conn.IDLE, Be.CLOSE): Row(Conn.CLOSED, (Do.FINISH,)),
    (Conn.IDLE, Be.END): Row(Conn.CLOSED, (Do.FINISH,)),
    (Conn.IDLE, Be.RESET): Row(Conn.CLOSED),
    (Conn.READING, Be.REQUEST): Row(Conn.OWING),
    (Conn.READING, Be.TURNED_AWAY): Row(Conn.IDLE),
    (Conn.READING, Be.SPOILT): Row(Conn.CLOSED, (Do.FINISH,)),
    (Conn.READING, Be.CLOSE): Row(Conn.READING),  # what is being read gets its answer first
    (Conn.READING, Be.END): Row(Conn.CLOSED, (Do.FINISH,)),
    (Conn.READING, Be.RESET): Row(Conn.CLOSED),
    (Conn.OWING, Be.REQUEST): Row(Conn.OWING),  # fronts that carry several at a time
    (Conn.OWING, Be.ANSWERED): Row(Conn.OWING),
    (Conn.OWING, Be.LAST_ANSWERED): Row(Conn.IDLE),
    (Conn.OWING, Be.SPOILT): Row(Conn.ENDING),
    (Conn.OWING, Be.CLOSE): Row(Conn.OWING),
    (Conn.OWING, Be.RESET): Row(Conn.CLOSED, (Do.GONE,)),
    (Conn.ENDING, Be.ANSWERED): Row(Conn.ENDING),
    (Conn.ENDING, Be.LAST_ANSWERED): Row(Conn.CLOSED, (Do.FINISH,)),
    (Conn.ENDING, Be.CLOSE): Row(Conn.ENDING),
    (Conn.ENDING, Be.RESET): Row(Conn.CLOSED, (Do.GONE,)),
    (Conn.CLOSED, Be.SPOILT): Row(Conn.CLOSED),  # the other side's end, or a part of something, behind our close
    (Conn.CLOSED, Be.CLOSE): Row(Conn.CLOSED),
    (Conn.CLOSED, Be.END): Row(Conn.CLOSED),
    (Conn.CLOSED, Be.RESET): Row(Conn.CLOSED),
})


# Bound once: looking a member up in its class costs as much as a step of a table.
ENDING = Conn.ENDING


class ConnState:
    """One connection's state. Fronts tell it what happens and carry out what it returns."""

    __slots__ = ("name", "state")

    def __init__(self, name: str) -> None:
        self.name = name
        self.state: int = Conn.IDLE

    @property
    def reads(self) -> bool:
        """Whether what comes is still taken."""
        return self.state < ENDING

    def be(self, event: Be) -> tuple[Do, ...]:
        """One event, and what follows."""
        row = CONN.step(self.state, event, self.name)
        self.state = row.next
        return row.effects
