"""The transition tables of the link to the execution engine and of a command sent on it.

When the link breaks, an unknown number of the last commands may be lost. A start may be sent again only if a
second run does no harm. The start of an effectful request is never sent again: its run may end while the second start
is in transit, and the engine would run it again. A reply to a dependency call is never sent again either: the run may
be at its next call when the second reply arrives. Such commands are sent once, and abandoned when they may be lost and
no client waits for them.
"""

from __future__ import annotations

from enum import IntEnum, auto

from myrtlespar.state_machines.transition_table import Transition, TransitionTable


class LinkState(IntEnum):
    """The state of the link to the execution engine."""

    DOWN = 0
    GREETING = auto()  # open; the engine has not yet reported that it is up
    REPLAYING = auto()  # the engine sends the notices missed since the last link; the answer to a mark ends them
    READY = auto()  # synchronized: commands can be sent
    MOVING = auto()  # waits for the answer to a last mark, to move to another address


class LinkEvent(IntEnum):
    """What happens to the link."""

    CONNECTED = 0
    BOOTED = auto()  # the engine reports that it is up
    SYNCED = auto()  # the mark after the replayed notices was answered
    MOVE = auto()  # the configuration names another address
    MOVED = auto()  # the mark before a move was answered
    BROKEN = auto()


class LinkAction(IntEnum):
    """The effects of a transition of the link."""

    GREET = 0  # send OPEN with the number of the last notice
    DOUBT = auto()  # treat commands that were sent and not confirmed as possibly lost
    MARK_SYNC = auto()  # request the mark after the replayed notices
    MARK_MOVE = auto()  # request the mark before a move
    RELEASE = auto()  # send the queued commands, and the idempotent ones in doubt again
    CLOSE = auto()


LINK_TABLE = TransitionTable(
    "link",
    LinkState,
    LinkEvent,
    {
        (LinkState.DOWN, LinkEvent.CONNECTED): Transition(LinkState.GREETING, (LinkAction.DOUBT, LinkAction.GREET)),
        (LinkState.DOWN, LinkEvent.MOVE): Transition(LinkState.DOWN),
        (LinkState.GREETING, LinkEvent.BOOTED): Transition(LinkState.REPLAYING, (LinkAction.MARK_SYNC,)),
        (LinkState.GREETING, LinkEvent.MOVE): Transition(LinkState.GREETING, (LinkAction.CLOSE,)),
        (LinkState.GREETING, LinkEvent.BROKEN): Transition(LinkState.DOWN),
        (LinkState.REPLAYING, LinkEvent.SYNCED): Transition(LinkState.READY, (LinkAction.RELEASE,)),
        (LinkState.REPLAYING, LinkEvent.MOVE): Transition(LinkState.REPLAYING, (LinkAction.CLOSE,)),
        (LinkState.REPLAYING, LinkEvent.BROKEN): Transition(LinkState.DOWN),
        (LinkState.READY, LinkEvent.MOVE): Transition(LinkState.MOVING, (LinkAction.MARK_MOVE,)),
        (LinkState.READY, LinkEvent.BROKEN): Transition(LinkState.DOWN),
        (LinkState.MOVING, LinkEvent.MOVE): Transition(LinkState.MOVING),
        (LinkState.MOVING, LinkEvent.MOVED): Transition(LinkState.MOVING, (LinkAction.CLOSE,)),
        (LinkState.MOVING, LinkEvent.BROKEN): Transition(LinkState.DOWN),
    },
)


class CommandState(IntEnum):
    """The state of a command to the execution engine."""

    KEPT = 0  # queued until there is a link to send it on
    SENT = auto()
    DOUBTFUL = auto()  # sent on a link that broke: it may be lost
    DONE = auto()  # confirmed or abandoned


class CommandEvent(IntEnum):
    """What happens to a command."""

    SEND = 0
    UNSENT = auto()  # the link accepted no byte of it
    READ = auto()  # confirmed by a notice of its run, or by the answer to a mark requested after it
    BREAK = auto()  # the link that it was sent on broke
    REPEAT = auto()  # send it again, as a second run would do no harm
    GIVE_UP = auto()  # abandoned, as no client waits for it or its start is not allowed


class CommandAction(IntEnum):
    """The effects of a transition of a command."""

    WRITE = 0  # send it on the link
    END = auto()  # report its run as ended, because it is lost or never began


COMMAND_TABLE = TransitionTable(
    "command",
    CommandState,
    CommandEvent,
    {
        (CommandState.KEPT, CommandEvent.SEND): Transition(CommandState.SENT, (CommandAction.WRITE,)),
        (CommandState.KEPT, CommandEvent.GIVE_UP): Transition(CommandState.DONE, (CommandAction.END,)),
        # The run ended while it waited for a dependency call, before the reply could be sent.
        (CommandState.KEPT, CommandEvent.READ): Transition(CommandState.DONE),
        (CommandState.SENT, CommandEvent.UNSENT): Transition(CommandState.KEPT),
        (CommandState.SENT, CommandEvent.READ): Transition(CommandState.DONE),
        (CommandState.SENT, CommandEvent.BREAK): Transition(CommandState.DOUBTFUL),
        (CommandState.DOUBTFUL, CommandEvent.READ): Transition(CommandState.DONE),
        (CommandState.DOUBTFUL, CommandEvent.REPEAT): Transition(CommandState.SENT, (CommandAction.WRITE,)),
        (CommandState.DOUBTFUL, CommandEvent.GIVE_UP): Transition(CommandState.DONE, (CommandAction.END,)),
    },
)
