"""The link to the kernel: which commands it has surely read, which a break may have lost, what may be sent again.

A link loses what was sent last, without saying how much. A repeated start is harmless where a second run is. A
repeated start of an effectful request is never harmless: its run may end in the very moment in which the repeat
is on its way, and the kernel would start it anew. The same holds for a reply to a call: the run may be at its next
call when the repeat comes. So those are sent once, and what is lost of them is given up when nobody waits for it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum, auto

from myrtlespar.state_machines.transition_table import Transition, TransitionTable


class LinkState(IntEnum):
    """Where the link stands."""

    DOWN = 0
    GREETING = auto()  # open, the kernel has not said that it is up
    REPLAYING = auto()  # notices of the time without a link come in; a mark behind them is asked for
    READY = auto()
    MOVING = auto()  # to another address, once a last mark shows that nothing is on its way here


class LinkEvent(IntEnum):
    """What happens to the link."""

    CONNECTED = 0
    BOOTED = auto()
    SYNCED = auto()  # the mark behind the replayed notices came
    MOVE = auto()
    MOVED = auto()  # the mark before a move came
    BROKEN = auto()


class LinkAction(IntEnum):
    """What follows."""

    GREET = 0  # send OPEN with the number of the last notice
    DOUBT = auto()  # what was sent and not proven read may be lost
    MARK_SYNC = auto()
    MARK_MOVE = auto()
    RELEASE = auto()  # send what waited, and again what may even run twice
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
    """How far a command is."""

    KEPT = 0  # until there is a link to send it on
    SENT = auto()
    DOUBTFUL = auto()  # sent on a link that broke
    DONE = auto()


class CommandEvent(IntEnum):
    """What happens to a command."""

    SEND = 0
    UNSENT = auto()  # the link took nothing of it
    READ = auto()  # a notice of its run, or a mark sent behind it, came back
    BREAK = auto()
    REPEAT = auto()  # a second run would do no harm
    GIVE_UP = auto()  # nobody waits for it any longer


class CommandAction(IntEnum):
    """What follows."""

    WRITE = 0
    END = auto()  # tell the desk that this run is over: lost, or never begun


COMMAND_TABLE = TransitionTable(
    "command",
    CommandState,
    CommandEvent,
    {
        (CommandState.KEPT, CommandEvent.SEND): Transition(CommandState.SENT, (CommandAction.WRITE,)),
        (CommandState.KEPT, CommandEvent.GIVE_UP): Transition(CommandState.DONE, (CommandAction.END,)),
        (CommandState.KEPT, CommandEvent.READ): Transition(
            CommandState.DONE
        ),  # its run ended at the call before the reply could be sent
        (CommandState.SENT, CommandEvent.UNSENT): Transition(CommandState.KEPT),
        (CommandState.SENT, CommandEvent.READ): Transition(CommandState.DONE),
        (CommandState.SENT, CommandEvent.BREAK): Transition(CommandState.DOUBTFUL),
        (CommandState.DOUBTFUL, CommandEvent.READ): Transition(CommandState.DONE),
        (CommandState.DOUBTFUL, CommandEvent.REPEAT): Transition(CommandState.SENT, (CommandAction.WRITE,)),
        (CommandState.DOUBTFUL, CommandEvent.GIVE_UP): Transition(CommandState.DONE, (CommandAction.END,)),
    },
)


@dataclass(slots=True)
class Command:
    """One command to the kernel, until something proves that it was read."""

    request_id: str
    line: bytes
    is_start: bool  # SCHED; else IODONE
    is_idempotent: bool = False  # a second run of it would do no harm
    sequence_number: int = 0  # its place among all that was sent
    state: int = CommandState.KEPT


@dataclass(slots=True)
class WriteCommand:
    """Send this line."""

    command: Command


@dataclass(frozen=True, slots=True)
class RequestMark:
    """Ask for the gauges under this name."""

    name: str


@dataclass(frozen=True, slots=True)
class SendOpen:
    """Send OPEN with this number."""

    last_notice: int


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Close the link; another will be opened."""


@dataclass(frozen=True, slots=True)
class EndRun:
    """This run is over as far as the server is concerned: nothing was started, or nobody can know."""

    request_id: str


LinkEffect = WriteCommand | RequestMark | SendOpen | CloseLink | EndRun
IsWanted = Callable[[str], bool]
OLD, NEXT, GAP, RENUMBERED = range(4)
# Bound once: looking a member up in its class costs as much as a step of a table.
SENT_KEPT, SENT_SENT, SENT_DOUBTFUL, SENT_DONE = (
    CommandState.KEPT,
    CommandState.SENT,
    CommandState.DOUBTFUL,
    CommandState.DONE,
)
PROVE_SEND, PROVE_READ, DO_WRITE, LINK_READY = (
    CommandEvent.SEND,
    CommandEvent.READ,
    CommandAction.WRITE,
    LinkState.READY,
)


class CommandLog:
    """All commands of one server life. `is_wanted` tells whether somebody waits for a request."""

    def __init__(self, wanted: IsWanted, marks_most: int) -> None:
        self.is_wanted, self.max_marks = wanted, marks_most
        self.state: int = LinkState.DOWN
        self.last_notice = 0  # number of the last notice read
        self.gap_after = -1  # the last one before a gap that was asked for again
        self.fresh = False  # no numbered notice has come on this link yet
        self.unconfirmed: dict[str, Command] = {}  # by request, which has one at a time; in the order of sending
        self.pending_marks: dict[str, int] = {}  # the newest command when the mark was sent
        self.serial = self.sent_count = 0
        self.sent_before_link = 0  # the newest command when the present link opened

    @property
    def is_synchronized(self) -> bool:
        """Whether the greeting and all replayed notices have been read."""
        return self.state in (LINK_READY, LinkState.MOVING)

    # What the server wants.

    def send(self, command: Command) -> list[LinkEffect]:
        """Send it, or keep it until there is a link to send it on. It takes the place of an earlier one."""
        self.unconfirmed.pop(command.request_id, None)
        self.unconfirmed[command.request_id] = command
        return self._prove(command, PROVE_SEND) if self.state == LINK_READY else []

    def send_failed(self, command: Command) -> None:
        """The link took nothing of it: it waits for the next one."""
        self._prove(command, CommandEvent.UNSENT)

    def request_gauges(self) -> list[LinkEffect]:
        """Ask for the gauges; the answer also proves that all before it was read."""
        return [self._mark("gauges")] if self.is_synchronized and len(self.pending_marks) < self.max_marks else []

    def request_doubt_mark(self) -> list[LinkEffect]:
        """Ask for a mark if something is in doubt: what nobody waits for by then is given up."""
        doubtful = any(command.state == SENT_DOUBTFUL for command in self.unconfirmed.values())
        return (
            [self._mark("doubt")]
            if doubtful and self.is_synchronized and len(self.pending_marks) < self.max_marks
            else []
        )

    def move(self) -> list[LinkEffect]:
        """Go on at another address."""
        return self._hear(LinkEvent.MOVE)

    # What happened.

    def connected(self) -> list[LinkEffect]:
        """There is a link."""
        self.fresh, self.sent_before_link = True, self.sent_count
        return self._hear(LinkEvent.CONNECTED)

    def broken(self) -> None:
        """The link is over."""
        self._hear(LinkEvent.BROKEN)

    def booted(self) -> list[LinkEffect]:
        """The kernel is up. A second such line means nothing."""
        return self._hear(LinkEvent.BOOTED) if self.state == LinkState.GREETING else []

    def restarted(self) -> list[str]:
        """This is a new kernel: requests whose commands died with the old one. Starts that were kept, or sent on this
        link, are the new kernel's; every reply is for a run that died.
        """
        self.last_notice = 0
        lost = [
            rid for rid, command in self.unconfirmed.items() if not (command.is_start and self._of_this_link(command))
        ]
        for rid in lost:
            self._prove(self.unconfirmed[rid], PROVE_READ)
        return lost

    def classify_notice(self, number: int) -> int:
        """What a notice of this number is: OLD was read before, NEXT is read now, before a GAP some are missing.

        A gap is asked for once: the kernel does not keep all notices for good. RENUMBERED proves another kernel, as
        this one would go on behind the last notice that the greeting named.
        """
        fresh, self.fresh = self.fresh, False
        if fresh and 1 <= number <= self.last_notice:
            return RENUMBERED
        if number <= self.last_notice:
            return OLD
        if number > self.last_notice + 1 and self.gap_after != self.last_notice:
            self.gap_after = self.last_notice
            return GAP
        self.last_notice = number
        return NEXT

    def run_reported(self, rid: str) -> None:
        """A notice of a run proves that what was sent for it was read."""
        command = self.unconfirmed.get(rid)
        if command is not None:
            self._prove(command, PROVE_READ)

    def mark_received(self, mark: str) -> list[LinkEffect] | None:
        """A mark came back. None: it was not asked for on this link."""
        newest = self.pending_marks.pop(mark, None)
        if newest is None:
            return None
        for command in list(self.unconfirmed.values()):
            if command.state == SENT_SENT and command.sequence_number <= newest:
                self._prove(command, PROVE_READ)
        kind = mark.partition("-")[0]
        if kind == "sync":
            return self._hear(LinkEvent.SYNCED)
        if kind == "move":
            return self._hear(LinkEvent.MOVED)
        return self._give_up() if kind == "doubt" else []

    def mark_rejected(self) -> list[LinkEffect]:
        """A mark was read and not answered, as a site may not allow gauges. Commands are read in their order, so it
        is the oldest one, and proves as much as an answer.
        """
        oldest = next(iter(self.pending_marks), None)
        return [] if oldest is None else self.mark_received(oldest) or []

    # How it is carried out.

    def _of_this_link(self, command: Command) -> bool:
        return command.state == SENT_KEPT or command.sequence_number > self.sent_before_link

    def _mark(self, kind: str) -> RequestMark:
        self.serial += 1
        name = f"{kind}-{self.serial}"
        self.pending_marks[name] = self.sent_count
        return RequestMark(name)

    def _hear(self, event: LinkEvent) -> list[LinkEffect]:
        row = LINK_TABLE.step(self.state, event, "kernel")
        self.state = row.next_state
        out: list[LinkEffect] = []
        for make in row.effects:
            if make is LinkAction.GREET:
                out.append(SendOpen(self.last_notice))
            elif make is LinkAction.DOUBT:
                self.pending_marks.clear()
                for command in self.unconfirmed.values():
                    if command.state == SENT_SENT:
                        self._prove(command, CommandEvent.BREAK)
            elif make is LinkAction.MARK_SYNC:
                out.append(self._mark("sync"))
            elif make is LinkAction.MARK_MOVE:
                out.append(self._mark("move"))
            elif make is LinkAction.RELEASE:
                out += self._release()
            else:
                out.append(CloseLink())
        return out

    def _release(self) -> list[LinkEffect]:
        """All replayed notices are read, so what was to be proven by them is."""
        out: list[LinkEffect] = []
        for command in list(self.unconfirmed.values()):
            if command.state == SENT_DOUBTFUL and command.is_idempotent and self.is_wanted(command.request_id):
                out += self._prove(command, CommandEvent.REPEAT)
            elif command.state == SENT_KEPT:
                stale = command.is_start and not self.is_wanted(
                    command.request_id
                )  # it never ran, and now nobody waits
                out += self._prove(command, CommandEvent.GIVE_UP if stale else PROVE_SEND)
        return out

    def _give_up(self) -> list[LinkEffect]:
        """What is in doubt and unwanted holds a place for nothing; a wanted one may still show itself."""
        out: list[LinkEffect] = []
        for command in list(self.unconfirmed.values()):
            if command.state == SENT_DOUBTFUL and not self.is_wanted(command.request_id):
                out += self._prove(command, CommandEvent.GIVE_UP)
        return out

    def _prove(self, command: Command, event: CommandEvent) -> list[LinkEffect]:
        row = COMMAND_TABLE.step(command.state, event, command.request_id)
        command.state = row.next_state
        if row.next_state == SENT_DONE:
            self.unconfirmed.pop(command.request_id, None)
        out: list[LinkEffect] = []
        if not row.effects:
            return out
        for do in row.effects:
            if do is DO_WRITE:
                self.sent_count += 1
                command.sequence_number = self.sent_count
                out.append(WriteCommand(command))
            else:
                out.append(EndRun(command.request_id))
        return out
