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

    rid: str
    line: bytes
    start: bool  # SCHED; else IODONE
    harmless: bool = False  # a second run of it would do no harm
    sent: int = 0  # its place among all that was sent
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

    last: int


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Close the link; another will be opened."""


@dataclass(frozen=True, slots=True)
class EndRun:
    """This run is over as far as the server is concerned: nothing was started, or nobody can know."""

    rid: str


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
    """All commands of one server life. `wanted` tells whether somebody waits for a request."""

    def __init__(self, wanted: IsWanted, marks_most: int) -> None:
        self.wanted, self.marks_most = wanted, marks_most
        self.link: int = LinkState.DOWN
        self.last = 0  # number of the last notice read
        self.gap = -1  # the last one before a gap that was asked for again
        self.fresh = False  # no numbered notice has come on this link yet
        self.open: dict[str, Command] = {}  # by request, which has one at a time; in the order of sending
        self.marks: dict[str, int] = {}  # the newest command when the mark was sent
        self.serial = self.sent = 0
        self.sent_before = 0  # the newest command when the present link opened

    @property
    def in_step(self) -> bool:
        """Whether the greeting and all replayed notices have been read."""
        return self.link in (LINK_READY, LinkState.MOVING)

    # What the server wants.

    def post(self, command: Command) -> list[LinkEffect]:
        """Send it, or keep it until there is a link to send it on. It takes the place of an earlier one."""
        self.open.pop(command.rid, None)
        self.open[command.rid] = command
        return self._prove(command, PROVE_SEND) if self.link == LINK_READY else []

    def unsent(self, command: Command) -> None:
        """The link took nothing of it: it waits for the next one."""
        self._prove(command, CommandEvent.UNSENT)

    def ask(self) -> list[LinkEffect]:
        """Ask for the gauges; the answer also proves that all before it was read."""
        return [self._mark("gauges")] if self.in_step and len(self.marks) < self.marks_most else []

    def settle(self) -> list[LinkEffect]:
        """Ask for a mark if something is in doubt: what nobody waits for by then is given up."""
        doubtful = any(command.state == SENT_DOUBTFUL for command in self.open.values())
        return [self._mark("doubt")] if doubtful and self.in_step and len(self.marks) < self.marks_most else []

    def move(self) -> list[LinkEffect]:
        """Go on at another address."""
        return self._hear(LinkEvent.MOVE)

    # What happened.

    def connected(self) -> list[LinkEffect]:
        """There is a link."""
        self.fresh, self.sent_before = True, self.sent
        return self._hear(LinkEvent.CONNECTED)

    def broken(self) -> None:
        """The link is over."""
        self._hear(LinkEvent.BROKEN)

    def booted(self) -> list[LinkEffect]:
        """The kernel is up. A second such line means nothing."""
        return self._hear(LinkEvent.BOOTED) if self.link == LinkState.GREETING else []

    def restarted(self) -> list[str]:
        """This is a new kernel: requests whose commands died with the old one. Starts that were kept, or sent on this
        link, are the new kernel's; every reply is for a run that died."""
        self.last = 0
        lost = [rid for rid, command in self.open.items() if not (command.start and self._of_this_link(command))]
        for rid in lost:
            self._prove(self.open[rid], PROVE_READ)
        return lost

    def numbered(self, number: int) -> int:
        """What a notice of this number is: OLD was read before, NEXT is read now, before a GAP some are missing.

        A gap is asked for once: the kernel does not keep all notices for good. RENUMBERED proves another kernel, as
        this one would go on behind the last notice that the greeting named."""
        fresh, self.fresh = self.fresh, False
        if fresh and 1 <= number <= self.last:
            return RENUMBERED
        if number <= self.last:
            return OLD
        if number > self.last + 1 and self.gap != self.last:
            self.gap = self.last
            return GAP
        self.last = number
        return NEXT

    def settled(self, rid: str) -> None:
        """A notice of a run proves that what was sent for it was read."""
        command = self.open.get(rid)
        if command is not None:
            self._prove(command, PROVE_READ)

    def informed(self, mark: str) -> list[LinkEffect] | None:
        """A mark came back. None: it was not asked for on this link."""
        newest = self.marks.pop(mark, None)
        if newest is None:
            return None
        for command in list(self.open.values()):
            if command.state == SENT_SENT and command.sent <= newest:
                self._prove(command, PROVE_READ)
        kind = mark.partition("-")[0]
        if kind == "sync":
            return self._hear(LinkEvent.SYNCED)
        if kind == "move":
            return self._hear(LinkEvent.MOVED)
        return self._give_up() if kind == "doubt" else []

    def declined(self) -> list[LinkEffect]:
        """A mark was read and not answered, as a site may not allow gauges. Commands are read in their order, so it
        is the oldest one, and proves as much as an answer."""
        oldest = next(iter(self.marks), None)
        return [] if oldest is None else self.informed(oldest) or []

    # How it is carried out.

    def _of_this_link(self, command: Command) -> bool:
        return command.state == SENT_KEPT or command.sent > self.sent_before

    def _mark(self, kind: str) -> RequestMark:
        self.serial += 1
        name = f"{kind}-{self.serial}"
        self.marks[name] = self.sent
        return RequestMark(name)

    def _hear(self, event: LinkEvent) -> list[LinkEffect]:
        row = LINK_TABLE.step(self.link, event, "kernel")
        self.link = row.next
        out: list[LinkEffect] = []
        for make in row.effects:
            if make is LinkAction.GREET:
                out.append(SendOpen(self.last))
            elif make is LinkAction.DOUBT:
                self.marks.clear()
                for command in self.open.values():
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
        for command in list(self.open.values()):
            if command.state == SENT_DOUBTFUL and command.harmless and self.wanted(command.rid):
                out += self._prove(command, CommandEvent.REPEAT)
            elif command.state == SENT_KEPT:
                stale = command.start and not self.wanted(command.rid)  # it never ran, and now nobody waits
                out += self._prove(command, CommandEvent.GIVE_UP if stale else PROVE_SEND)
        return out

    def _give_up(self) -> list[LinkEffect]:
        """What is in doubt and unwanted holds a place for nothing; a wanted one may still show itself."""
        out: list[LinkEffect] = []
        for command in list(self.open.values()):
            if command.state == SENT_DOUBTFUL and not self.wanted(command.rid):
                out += self._prove(command, CommandEvent.GIVE_UP)
        return out

    def _prove(self, command: Command, event: CommandEvent) -> list[LinkEffect]:
        row = COMMAND_TABLE.step(command.state, event, command.rid)
        command.state = row.next
        if row.next == SENT_DONE:
            self.open.pop(command.rid, None)
        out: list[LinkEffect] = []
        if not row.effects:
            return out
        for do in row.effects:
            if do is DO_WRITE:
                self.sent += 1
                command.sent = self.sent
                out.append(WriteCommand(command))
            else:
                out.append(EndRun(command.rid))
        return out
