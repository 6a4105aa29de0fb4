"""The process as a whole: serving, draining, closing its listeners, flushing its last answers, stopped."""

from __future__ import annotations

from enum import IntEnum, auto

from myrtlespar.state_machines.transition_table import Transition, TransitionTable


class ProcessState(IntEnum):
    """Where the process stands."""

    SERVING = 0
    DRAINING = auto()  # the notice came; what arrived within the grace may still run
    CROSSING = auto()  # listeners are closed; what was read meanwhile is answered
    FLUSHING = auto()  # the last answers are on their way
    STOPPED = auto()


FLUSHING = ProcessState.FLUSHING


class ProcessEvent(IntEnum):
    """What happens to it."""

    NOTICE = 0
    RELOAD = auto()
    BAD_RELOAD = auto()
    EMPTY = auto()  # nothing is owed, and nothing that comes now may run
    KILL_NEAR = auto()
    CROSSED = auto()  # nothing that crossed the closing listeners is owed any longer
    FLUSHED = auto()
    HANDOVER = auto()  # SIGTERM beside a second process: stop listening at once, no drain, answer all read


class ProcessAction(IntEnum):
    """What follows."""

    TELL_POLICY = 0
    ASK_CLIENTS = auto()  # to send nothing new
    MOVE_LINKS = auto()
    NAME_FAULT = auto()
    CLOSE_LISTENERS = auto()
    FLUSH = auto()  # take nothing more, and end each connection behind its last answer
    STOP = auto()


_CLOSE = (ProcessAction.CLOSE_LISTENERS, ProcessAction.ASK_CLIENTS)

PROCESS_TABLE = TransitionTable(
    "process",
    ProcessState,
    ProcessEvent,
    {
        (ProcessState.SERVING, ProcessEvent.NOTICE): Transition(
            ProcessState.DRAINING, (ProcessAction.TELL_POLICY, ProcessAction.ASK_CLIENTS)
        ),
        (ProcessState.SERVING, ProcessEvent.RELOAD): Transition(ProcessState.SERVING, (ProcessAction.MOVE_LINKS,)),
        (ProcessState.SERVING, ProcessEvent.HANDOVER): Transition(ProcessState.CROSSING, _CLOSE),
        (ProcessState.DRAINING, ProcessEvent.HANDOVER): Transition(ProcessState.CROSSING, _CLOSE),
        (ProcessState.CROSSING, ProcessEvent.HANDOVER): Transition(ProcessState.CROSSING),
        (ProcessState.FLUSHING, ProcessEvent.HANDOVER): Transition(ProcessState.FLUSHING),
        (ProcessState.SERVING, ProcessEvent.BAD_RELOAD): Transition(ProcessState.SERVING, (ProcessAction.NAME_FAULT,)),
        (ProcessState.DRAINING, ProcessEvent.NOTICE): Transition(
            ProcessState.DRAINING
        ),  # a second notice changes nothing
        (ProcessState.DRAINING, ProcessEvent.RELOAD): Transition(
            ProcessState.DRAINING, (ProcessAction.MOVE_LINKS,)
        ),  # runs still end over those links
        (ProcessState.DRAINING, ProcessEvent.BAD_RELOAD): Transition(
            ProcessState.DRAINING, (ProcessAction.NAME_FAULT,)
        ),
        (ProcessState.DRAINING, ProcessEvent.EMPTY): Transition(ProcessState.CROSSING, _CLOSE),
        (ProcessState.DRAINING, ProcessEvent.KILL_NEAR): Transition(ProcessState.CROSSING, _CLOSE),
        (ProcessState.CROSSING, ProcessEvent.NOTICE): Transition(ProcessState.CROSSING),
        (ProcessState.CROSSING, ProcessEvent.RELOAD): Transition(
            ProcessState.CROSSING, (ProcessAction.MOVE_LINKS,)
        ),  # what is owed still ends over them
        (ProcessState.CROSSING, ProcessEvent.BAD_RELOAD): Transition(
            ProcessState.CROSSING, (ProcessAction.NAME_FAULT,)
        ),
        (ProcessState.CROSSING, ProcessEvent.CROSSED): Transition(ProcessState.FLUSHING, (ProcessAction.FLUSH,)),
        (ProcessState.FLUSHING, ProcessEvent.FLUSHED): Transition(ProcessState.STOPPED, (ProcessAction.STOP,)),
        (ProcessState.FLUSHING, ProcessEvent.NOTICE): Transition(ProcessState.FLUSHING),
        (ProcessState.FLUSHING, ProcessEvent.RELOAD): Transition(ProcessState.FLUSHING),
        (ProcessState.FLUSHING, ProcessEvent.BAD_RELOAD): Transition(
            ProcessState.FLUSHING, (ProcessAction.NAME_FAULT,)
        ),
    },
)


class ProcessLifecycle:
    """One process. Times are Unix milliseconds."""

    def __init__(self, stop_ms: float, grace_ms: float, sweep_ms: float, flush_ms: float, crossing_ms: float) -> None:
        self.stop_ms, self.grace_ms, self.sweep_ms = stop_ms, grace_ms, sweep_ms
        self.flush_ms, self.crossing_ms = flush_ms, crossing_ms
        self.state: int = ProcessState.SERVING
        self.average_answer_ms = 0.0  # what the last answers took to hand over, one by one
        self.notice_at = self.kill_at = self.closed_at = float("inf")

    @property
    def draining(self) -> bool:
        """Whether the notice to leave has come."""
        return self.state != ProcessState.SERVING

    def handle(self, event: ProcessEvent) -> tuple[ProcessAction, ...]:
        """An event without a time."""
        row = PROCESS_TABLE.step(self.state, event, "process")
        self.state = row.next_state
        return row.effects

    def drain_notice(self, now: float) -> tuple[ProcessAction, ...]:
        """The notice to leave. The first one counts."""
        if self.state == ProcessState.SERVING:
            self.notice_at, self.kill_at = now, now + self.stop_ms
        return self.handle(ProcessEvent.NOTICE)

    def handover(self, now: float, kill_in_ms: float) -> tuple[ProcessAction, ...]:
        """SIGTERM while a second process serves beside this one: it is no notice to drain, so nothing is barred
        and health stays; listeners close now and all that was read is answered before the kill.
        """
        if self.state in (ProcessState.SERVING, ProcessState.DRAINING):
            self.closed_at, self.kill_at = now, min(self.kill_at, now + kill_in_ms)
        return self.handle(ProcessEvent.HANDOVER)

    def poll(self, now: float, owed: int) -> tuple[ProcessAction, ...]:
        """Whether the drain may go one stage on."""
        if self.state == ProcessState.DRAINING:
            if now > self.notice_at + self.grace_ms and not owed:
                self.closed_at = now
                return self.handle(ProcessEvent.EMPTY)
            if now > self.kill_at - 2 * self.flush_ms:
                self.closed_at = now
                return self.handle(ProcessEvent.KILL_NEAR)
        elif self.state == ProcessState.CROSSING:
            crossed = now >= self.closed_at + self.crossing_ms and not owed
            if crossed or now >= self.kill_at:
                return self.handle(ProcessEvent.CROSSED)
        return ()

    def may_start(self, arrived: float) -> bool:
        """Nothing that reached the machine later than the grace after the notice runs, and nothing once the keys
        are left to the process that takes over.
        """
        return arrived <= self.notice_at + self.grace_ms and self.state < FLUSHING

    def answer_reserve_ms(self, owed: int) -> float:
        """How long before the kill the last answers are begun. Guards them against being more than the time left
        takes: a look may come a sweep late, and each answer takes its hand-over and as much again to decide on.
        """
        return 2 * self.sweep_ms + 2 * self.average_answer_ms * owed

    def answer_deadline(self, owed: int = 0) -> float:
        """When so many that are owed must be answered, whatever their own due time."""
        return self.kill_at - self.answer_reserve_ms(owed)
