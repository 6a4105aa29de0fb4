"""The process as a whole: serving, draining, closing its listeners, flushing its last answers, stopped."""

from __future__ import annotations

from enum import IntEnum, auto

from myrtlespar.state_machines.transition_table import Row, Table


class Stage(IntEnum):
    """Where the process stands."""

    SERVING = 0
    DRAINING = auto()  # the notice came; what arrived within the grace may still run
    CROSSING = auto()  # listeners are closed; what was read meanwhile is answered
    FLUSHING = auto()  # the last answers are on their way
    STOPPED = auto()


FLUSHING = Stage.FLUSHING


class Say(IntEnum):
    """What happens to it."""

    NOTICE = 0
    RELOAD = auto()
    BAD_RELOAD = auto()
    EMPTY = auto()  # nothing is owed, and nothing that comes now may run
    KILL_NEAR = auto()
    CROSSED = auto()  # nothing that crossed the closing listeners is owed any longer
    FLUSHED = auto()
    HANDOVER = auto()  # SIGTERM beside a second process: stop listening at once, no drain, answer all read


class Act(IntEnum):
    """What follows."""

    TELL_POLICY = 0
    ASK_CLIENTS = auto()  # to send nothing new
    MOVE_LINKS = auto()
    NAME_FAULT = auto()
    CLOSE_LISTENERS = auto()
    FLUSH = auto()  # take nothing more, and end each connection behind its last answer
    STOP = auto()


_CLOSE = (Act.CLOSE_LISTENERS, Act.ASK_CLIENTS)

PROCESS = Table("process", Stage, Say, {
    (Stage.SERVING, Say.NOTICE): Row(Stage.DRAINING, (Act.TELL_POLICY, Act.ASK_CLIENTS)),
    (Stage.SERVING, Say.RELOAD): Row(Stage.SERVING, (Act.MOVE_LINKS,)),
    (Stage.SERVING, Say.HANDOVER): Row(Stage.CROSSING, _CLOSE),
    (Stage.DRAINING, Say.HANDOVER): Row(Stage.CROSSING, _CLOSE),
    (Stage.CROSSING, Say.HANDOVER): Row(Stage.CROSSING),
    (Stage.FLUSHING, Say.HANDOVER): Row(Stage.FLUSHING),
    (Stage.SERVING, Say.BAD_RELOAD): Row(Stage.SERVING, (Act.NAME_FAULT,)),
    (Stage.DRAINING, Say.NOTICE): Row(Stage.DRAINING),  # a second notice changes nothing
    (Stage.DRAINING, Say.RELOAD): Row(Stage.DRAINING, (Act.MOVE_LINKS,)),  # runs still end over those links
    (Stage.DRAINING, Say.BAD_RELOAD): Row(Stage.DRAINING, (Act.NAME_FAULT,)),
    (Stage.DRAINING, Say.EMPTY): Row(Stage.CROSSING, _CLOSE),
    (Stage.DRAINING, Say.KILL_NEAR): Row(Stage.CROSSING, _CLOSE),
    (Stage.CROSSING, Say.NOTICE): Row(Stage.CROSSING),
    (Stage.CROSSING, Say.RELOAD): Row(Stage.CROSSING, (Act.MOVE_LINKS,)),  # what is owed still ends over them
    (Stage.CROSSING, Say.BAD_RELOAD): Row(Stage.CROSSING, (Act.NAME_FAULT,)),
    (Stage.CROSSING, Say.CROSSED): Row(Stage.FLUSHING, (Act.FLUSH,)),
    (Stage.FLUSHING, Say.FLUSHED): Row(Stage.STOPPED, (Act.STOP,)),
    (Stage.FLUSHING, Say.NOTICE): Row(Stage.FLUSHING),
    (Stage.FLUSHING, Say.RELOAD): Row(Stage.FLUSHING),
    (Stage.FLUSHING, Say.BAD_RELOAD): Row(Stage.FLUSHING, (Act.NAME_FAULT,)),
})


class Process:
    """One process. Times are Unix milliseconds."""

    def __init__(self, stop_ms: float, grace_ms: float, sweep_ms: float, flush_ms: float,
                 crossing_ms: float) -> None:
        self.stop_ms, self.grace_ms, self.sweep_ms = stop_ms, grace_ms, sweep_ms
        self.flush_ms, self.crossing_ms = flush_ms, crossing_ms
        self.stage: int = Stage.SERVING
        self.answer_ms = 0.0  # what the last answers took to hand over, one by one
        self.notice_at = self.kill_at = self.closed_at = float("inf")

    @property
    def draining(self) -> bool:
        """Whether the notice to leave has come."""
        return self.stage != Stage.SERVING

    def say(self, event: Say) -> tuple[Act, ...]:
        """An event without a time."""
        row = PROCESS.step(self.stage, event, "process")
        self.stage = row.next
        return row.effects

    def notice(self, now: float) -> tuple[Act, ...]:
        """The notice to leave. The first one counts."""
        if self.stage == Stage.SERVING:
            self.notice_at, self.kill_at = now, now + self.stop_ms
        return self.say(Say.NOTICE)

    def handover(self, now: float, kill_in_ms: float) -> tuple[Act, ...]:
        """SIGTERM while a second process serves beside this one: it is no notice to drain, so nothing is barred
        and health stays; listeners close now and all that was read is answered before the kill."""
        if self.stage in (Stage.SERVING, Stage.DRAINING):
            self.closed_at, self.kill_at = now, min(self.kill_at, now + kill_in_ms)
        return self.say(Say.HANDOVER)

    def look(self, now: float, owed: int) -> tuple[Act, ...]:
        """Whether the drain may go one stage on."""
        if self.stage == Stage.DRAINING:
            if now > self.notice_at + self.grace_ms and not owed:
                self.closed_at = now
                return self.say(Say.EMPTY)
            if now > self.kill_at - 2 * self.flush_ms:
                self.closed_at = now
                return self.say(Say.KILL_NEAR)
        elif self.stage == Stage.CROSSING:
            crossed = now >= self.closed_at + self.crossing_ms and not owed
            if crossed or now >= self.kill_at:
                return self.say(Say.CROSSED)
        return ()

    def may_start(self, arrived: float) -> bool:
        """Nothing that reached the machine later than the grace after the notice runs, and nothing once the keys
        are left to the process that takes over."""
        return arrived <= self.notice_at + self.grace_ms and self.stage < FLUSHING

    def reserve(self, owed: int) -> float:
        """How long before the kill the last answers are begun. Guards them against being more than the time left
        takes: a look may come a sweep late, and each answer takes its hand-over and as much again to decide on."""
        return 2 * self.sweep_ms + 2 * self.answer_ms * owed

    def answer_by(self, owed: int = 0) -> float:
        """When so many that are owed must be answered, whatever their own due time."""
        return self.kill_at - self.reserve(owed)
