"""The log of commands to the execution engine: which were read, which may be lost, and which are sent again.

The engine acknowledges no command. Two things prove that it read one: a notice of the run that the command concerns,
or the answer to a mark. A mark is a request for the gauges with a unique name; as the engine reads in order, the answer
confirms all commands sent before it. Notices are numbered, so that missing ones can be replayed after the link broke.
`engine_link` explains which commands are sent again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum, auto

from myrtlespar.state_machines.engine_link import (
    COMMAND_TABLE,
    LINK_TABLE,
    CommandAction,
    CommandEvent,
    CommandState,
    LinkAction,
    LinkEvent,
    LinkState,
)


@dataclass(slots=True)
class Command:
    """One command to the execution engine, kept until the engine is known to have read it."""

    request_id: str
    line: bytes
    is_start: bool  # whether it starts a run (SCHED); otherwise it is a reply to a dependency call (IODONE)
    is_idempotent: bool = False  # whether a second run does no harm
    sequence_number: int = 0  # position among all commands sent, from 1
    state: int = CommandState.KEPT


@dataclass(slots=True)
class WriteCommand:
    """Effect: send this command."""

    command: Command


@dataclass(frozen=True, slots=True)
class RequestMark:
    """Effect: request the gauges under this name; the answer confirms all commands sent before."""

    name: str


@dataclass(frozen=True, slots=True)
class SendOpen:
    """Effect: send OPEN with this number, so that the engine replays all later notices."""

    last_notice: int  # number of the last notice read


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Effect: close the link; another one will be opened."""


@dataclass(frozen=True, slots=True)
class EndRun:
    """Effect: report this run as ended. It was not started, or its outcome can't be known."""

    request_id: str


@dataclass(frozen=True, slots=True)
class RefuseStart:
    """Effect: report that this start was rejected and not sent."""

    request_id: str


LinkEffect = WriteCommand | RequestMark | SendOpen | CloseLink | EndRun | RefuseStart
IsWanted = Callable[[str], bool]
ConfirmStart = Callable[[str], bool]


def confirm_every_start(_: str) -> bool:
    """Allow every start."""
    return True


class NoticeKind(IntEnum):
    """The classification of a notice by its number."""

    OLD = 0  # a duplicate: the notice was read before
    NEXT = auto()  # the notice follows the last one, or a replay did not supply the missing ones before it
    GAP = auto()  # notices before it are missing
    RENUMBERED = auto()  # the notice comes from another engine process


# Bound once at import: looking up an enum member in its class costs as much as a transition.
OLD = NoticeKind.OLD
NEXT = NoticeKind.NEXT
GAP = NoticeKind.GAP
RENUMBERED = NoticeKind.RENUMBERED
COMMAND_KEPT = CommandState.KEPT
COMMAND_SENT = CommandState.SENT
COMMAND_DOUBTFUL = CommandState.DOUBTFUL
COMMAND_DONE = CommandState.DONE
EVENT_SEND = CommandEvent.SEND
EVENT_READ = CommandEvent.READ
ACTION_WRITE = CommandAction.WRITE
LINK_READY = LinkState.READY


class CommandLog:
    """All unconfirmed commands of one server process, and the state of the link that carries them.

    Every public method takes one event and returns its effects in order. `is_wanted` returns whether a client waits
    for a request; `max_marks` bounds the marks that are requested and not yet answered. `confirm_start` is called right
    before a start is sent, and returns whether it may be sent.
    """

    def __init__(self, is_wanted: IsWanted, max_marks: int, confirm_start: ConfirmStart = confirm_every_start) -> None:
        self.is_wanted = is_wanted
        self.confirm_start = confirm_start
        self.max_marks = max_marks
        self.state: int = LinkState.DOWN
        self.last_notice = 0  # number of the last notice read
        self.gap_after = -1  # number of the last notice before the gap for which a replay was requested
        self.awaits_first_notice = False  # whether no numbered notice has arrived on this link yet
        self.unconfirmed: dict[str, Command] = {}  # by request id, one for each, in the order of sending
        self.pending_marks: dict[str, int] = {}  # by name: how many commands were sent when the mark was requested
        self.last_mark_number = 0
        self.sent_count = 0  # commands sent, on all links
        self.sent_before_link = 0  # commands sent before the present link opened

    @property
    def is_synchronized(self) -> bool:
        """Whether the greeting and all replayed notices have been read."""
        return self.state in (LINK_READY, LinkState.MOVING)

    @property
    def oldest_mark(self) -> str | None:
        """The name of the oldest mark that was requested on this link and not answered; None if there is none."""
        return next(iter(self.pending_marks), None)

    # Requests from the server.

    def send(self, command: Command) -> list[LinkEffect]:
        """Send a command, or queue it until the link is READY. It replaces an earlier command of the same request."""
        self.unconfirmed.pop(command.request_id, None)
        self.unconfirmed[command.request_id] = command
        return self._send_or_refuse(command) if self.state == LINK_READY else []

    def send_failed(self, command: Command) -> None:
        """Queue a command again after the link accepted no byte of it."""
        self._step_command(command, CommandEvent.UNSENT)

    def request_gauges(self) -> list[LinkEffect]:
        """Request the gauges; the answer also confirms all commands sent before."""
        return [self._request_mark("gauges")] if self._may_request_mark() else []

    def request_doubt_mark(self) -> list[LinkEffect]:
        """Request a mark if a command is in doubt.

        Once it is answered, the commands in doubt that no client waits for are abandoned.
        """
        doubtful = any(command.state == COMMAND_DOUBTFUL for command in self.unconfirmed.values())
        return [self._request_mark("doubt")] if doubtful and self._may_request_mark() else []

    def move(self) -> list[LinkEffect]:
        """Begin to move the link to another address."""
        return self._step_link(LinkEvent.MOVE)

    # Events from the link.

    def connected(self) -> list[LinkEffect]:
        """Handle the opening of a link."""
        self.awaits_first_notice = True
        self.sent_before_link = self.sent_count
        return self._step_link(LinkEvent.CONNECTED)

    def broken(self) -> None:
        """Handle the loss of the link."""
        self._step_link(LinkEvent.BROKEN)

    def booted(self) -> list[LinkEffect]:
        """Handle the engine's report that it is up. A second report on one link is ignored."""
        return self._step_link(LinkEvent.BOOTED) if self.state == LinkState.GREETING else []

    def restarted(self) -> list[str]:
        """Handle the start of a new engine process; returns the requests whose commands were lost with the old one.

        Starts that are queued or were sent on this link reach the new process. Replies to dependency calls are always
        lost, as their runs ended with the old process.
        """
        self.last_notice = 0
        lost = [
            request_id
            for request_id, command in self.unconfirmed.items()
            if not (command.is_start and self._belongs_to_this_link(command))
        ]
        for request_id in lost:
            self._step_command(self.unconfirmed[request_id], EVENT_READ)
        return lost

    def classify_notice(self, number: int) -> NoticeKind:
        """Classify a notice by its number, and record it as read if it is the next one.

        A replay of the same gap is requested only once, as the engine may have discarded the missing notices.
        RENUMBERED proves that the engine restarted: the same process would continue after the number sent with OPEN.
        """
        is_first = self.awaits_first_notice
        self.awaits_first_notice = False
        if is_first and 1 <= number <= self.last_notice:
            return RENUMBERED
        if number <= self.last_notice:
            return OLD
        if number > self.last_notice + 1 and self.gap_after != self.last_notice:
            self.gap_after = self.last_notice
            return GAP
        self.last_notice = number
        return NEXT

    def run_reported(self, request_id: str) -> None:
        """Handle a notice of a run, which confirms the command sent for it."""
        command = self.unconfirmed.get(request_id)
        if command is not None:
            self._step_command(command, EVENT_READ)

    def mark_received(self, mark: str) -> list[LinkEffect] | None:
        """Handle the answer to a mark, which confirms all commands sent before the mark was requested.

        Returns None if this link did not request the mark.
        """
        newest = self.pending_marks.pop(mark, None)
        if newest is None:
            return None
        for command in list(self.unconfirmed.values()):
            if command.state == COMMAND_SENT and command.sequence_number <= newest:
                self._step_command(command, EVENT_READ)
        kind = mark.partition("-")[0]
        if kind == "sync":
            return self._step_link(LinkEvent.SYNCED)
        if kind == "move":
            return self._step_link(LinkEvent.MOVED)
        return self._abandon_unwanted() if kind == "doubt" else []

    def mark_rejected(self) -> list[LinkEffect]:
        """Handle the rejection of a mark by an engine that provides no gauges.

        Commands are read in order, so this is the oldest mark, and its rejection confirms as much as an answer.
        """
        oldest = self.oldest_mark
        return [] if oldest is None else self.mark_received(oldest) or []

    # Transitions of the link and of commands.

    def _belongs_to_this_link(self, command: Command) -> bool:
        return command.state == COMMAND_KEPT or command.sequence_number > self.sent_before_link

    def _may_request_mark(self) -> bool:
        return self.is_synchronized and len(self.pending_marks) < self.max_marks

    def _request_mark(self, kind: str) -> RequestMark:
        self.last_mark_number += 1
        name = f"{kind}-{self.last_mark_number}"
        self.pending_marks[name] = self.sent_count
        return RequestMark(name)

    def _step_link(self, event: LinkEvent) -> list[LinkEffect]:
        transition = LINK_TABLE.step(self.state, event, "kernel")
        self.state = transition.next_state
        effects: list[LinkEffect] = []
        for action in transition.effects:
            if action is LinkAction.GREET:
                effects.append(SendOpen(self.last_notice))
            elif action is LinkAction.DOUBT:
                self.pending_marks.clear()
                for command in self.unconfirmed.values():
                    if command.state == COMMAND_SENT:
                        self._step_command(command, CommandEvent.BREAK)
            elif action is LinkAction.MARK_SYNC:
                effects.append(self._request_mark("sync"))
            elif action is LinkAction.MARK_MOVE:
                effects.append(self._request_mark("move"))
            elif action is LinkAction.RELEASE:
                effects += self._send_queued()
            else:
                effects.append(CloseLink())
        return effects

    def _send_queued(self) -> list[LinkEffect]:
        """Send the queued commands, and idempotent ones in doubt again, after all replayed notices were read."""
        effects: list[LinkEffect] = []
        for command in list(self.unconfirmed.values()):
            if command.state == COMMAND_DOUBTFUL and command.is_idempotent and self.is_wanted(command.request_id):
                effects += self._repeat_if_confirmed(command)
            elif command.state == COMMAND_KEPT:
                # A start that was never sent and that no client waits for need not run. A reply is always sent, as its
                # run waits for it.
                if command.is_start and not self.is_wanted(command.request_id):
                    effects += self._step_command(command, CommandEvent.GIVE_UP)
                else:
                    effects += self._send_or_refuse(command)
        return effects

    def _send_or_refuse(self, command: Command) -> list[LinkEffect]:
        """Send a command, unless it is a start that may no longer be sent."""
        if command.is_start and not self.confirm_start(command.request_id):
            self._step_command(command, CommandEvent.GIVE_UP)
            return [RefuseStart(command.request_id)]
        return self._step_command(command, EVENT_SEND)

    def _repeat_if_confirmed(self, command: Command) -> list[LinkEffect]:
        """Send a command in doubt again, unless its start is no longer allowed: then it stays in doubt."""
        if self.confirm_start(command.request_id):
            return self._step_command(command, CommandEvent.REPEAT)
        return []

    def _abandon_unwanted(self) -> list[LinkEffect]:
        """Abandon the commands in doubt that no client waits for. The other ones may still be confirmed by a notice."""
        effects: list[LinkEffect] = []
        for command in list(self.unconfirmed.values()):
            if command.state == COMMAND_DOUBTFUL and not self.is_wanted(command.request_id):
                effects += self._step_command(command, CommandEvent.GIVE_UP)
        return effects

    def _step_command(self, command: Command, event: CommandEvent) -> list[LinkEffect]:
        transition = COMMAND_TABLE.step(command.state, event, command.request_id)
        command.state = transition.next_state
        if transition.next_state == COMMAND_DONE:
            self.unconfirmed.pop(command.request_id, None)
        effects: list[LinkEffect] = []
        if not transition.effects:
            return effects
        for action in transition.effects:
            if action is ACTION_WRITE:
                self.sent_count += 1
                command.sequence_number = self.sent_count
                effects.append(WriteCommand(command))
            else:
                effects.append(EndRun(command.request_id))
        return effects
