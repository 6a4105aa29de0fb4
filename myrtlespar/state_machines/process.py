"""The lifecycle of the server process, from serving through a graceful shutdown or hand-over to its end.

A graceful shutdown goes through DRAINING, CROSSING and FLUSHING; a hand-over to a replacement starts at CROSSING.
`ProcessLifecycle.poll` describes when each stage ends.
"""

from __future__ import annotations

from enum import IntEnum, auto

from myrtlespar.state_machines.transition_table import Transition, TransitionTable


class ProcessState(IntEnum):
    """The state of the process."""

    SERVING = 0
    DRAINING = auto()  # shutdown was announced; requests that arrive within the grace period may still run
    CROSSING = auto()  # the listeners are closed; requests that clients sent before they noticed are still answered
    FLUSHING = auto()  # the last answers are being sent
    STOPPED = auto()


FLUSHING = ProcessState.FLUSHING


class ProcessEvent(IntEnum):
    """What happens to the process."""

    NOTICE = 0  # the signal for a graceful shutdown
    RELOAD = auto()  # a reload was requested, and the configuration is valid
    BAD_RELOAD = auto()  # a reload was requested, and the configuration is invalid
    EMPTY = auto()  # no answer is outstanding, and the grace period for new requests has passed
    KILL_NEAR = auto()  # little time is left before SIGKILL
    CROSSED = auto()  # no more requests arrive on open connections and all are answered, or SIGKILL is due
    FLUSHED = auto()  # the last answers are sent
    HANDOVER = auto()  # SIGTERM while a replacement runs: stop listening at once, answer every request that was read


class ProcessAction(IntEnum):
    """The effects of a transition."""

    TELL_POLICY = 0  # notify the policy of the shutdown
    ASK_CLIENTS = auto()  # ask clients to send no new requests
    MOVE_LINKS = auto()  # connect to the upstream addresses of the new configuration
    NAME_FAULT = auto()  # log why the configuration is invalid
    CLOSE_LISTENERS = auto()
    FLUSH = auto()  # accept no more input, and close each connection after its last answer
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
        (ProcessState.DRAINING, ProcessEvent.NOTICE): Transition(ProcessState.DRAINING),
        # A reload moves the links in a shutdown too, as the remaining runs report their ends over the new ones.
        (ProcessState.DRAINING, ProcessEvent.RELOAD): Transition(ProcessState.DRAINING, (ProcessAction.MOVE_LINKS,)),
        (ProcessState.DRAINING, ProcessEvent.BAD_RELOAD): Transition(
            ProcessState.DRAINING, (ProcessAction.NAME_FAULT,)
        ),
        (ProcessState.DRAINING, ProcessEvent.EMPTY): Transition(ProcessState.CROSSING, _CLOSE),
        (ProcessState.DRAINING, ProcessEvent.KILL_NEAR): Transition(ProcessState.CROSSING, _CLOSE),
        (ProcessState.CROSSING, ProcessEvent.NOTICE): Transition(ProcessState.CROSSING),
        (ProcessState.CROSSING, ProcessEvent.RELOAD): Transition(ProcessState.CROSSING, (ProcessAction.MOVE_LINKS,)),
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
    """The state of the server process and the deadlines of its graceful shutdown.

    Times are Unix milliseconds. "The kill" is the SIGKILL with which the platform ends the process.

    Args:
        stop_ms: The time from the signal for a graceful shutdown to the kill.
        grace_ms: A request that arrives within this time after the signal may still run.
        overdue_check_ms: The interval between two checks for overdue requests.
        flush_ms: The time reserved before the kill for sending the last answers.
        crossing_ms: How long after the close of the listeners a request may still arrive on an open connection.
    """

    def __init__(
        self, stop_ms: float, grace_ms: float, overdue_check_ms: float, flush_ms: float, crossing_ms: float
    ) -> None:
        self.stop_ms = stop_ms
        self.grace_ms = grace_ms
        self.overdue_check_ms = overdue_check_ms
        self.flush_ms = flush_ms
        self.crossing_ms = crossing_ms
        self.state: int = ProcessState.SERVING
        self.average_answer_ms = 0.0  # moving average of the time in ms to deliver one answer
        self.average_key_ms = 0.0  # average time in ms to write one idempotency key for the replacement
        self.publish_reserve_ms = 0.0  # kept free before the kill to publish the idempotency keys, however few
        self.unwritten_keys = 0  # idempotency keys with an outcome that are not written for the replacement yet
        self.shutdown_signal_at = float("inf")  # when the shutdown signal arrived
        self.kill_at = float("inf")
        self.closed_at = float("inf")  # when the listeners closed

    @property
    def draining(self) -> bool:
        """Whether the process has begun a graceful shutdown or a hand-over."""
        return self.state != ProcessState.SERVING

    def handle(self, event: ProcessEvent) -> tuple[ProcessAction, ...]:
        """Apply an event and return the resulting actions in order."""
        transition = PROCESS_TABLE.step(self.state, event, "process")
        self.state = transition.next_state
        return transition.effects

    def begin_graceful_shutdown(self, now: float, kill_in_ms: float = float("inf")) -> tuple[ProcessAction, ...]:
        """Handle a signal for a graceful shutdown. Only the first one sets the deadlines.

        The kill comes `stop_ms` after the signal, or `kill_in_ms` after it if that is earlier. A hand-over that has
        begun before never gets more time.
        """
        if self.shutdown_signal_at == float("inf"):
            self.shutdown_signal_at = now
            self.kill_at = min(self.kill_at, now + min(self.stop_ms, kill_in_ms))
        return self.handle(ProcessEvent.NOTICE)

    def handover(self, now: float, kill_in_ms: float) -> tuple[ProcessAction, ...]:
        """Handle SIGTERM while a replacement runs beside this process.

        Unlike in a graceful shutdown, the policy is not notified and every request that was read may start. The
        listeners close now, and every request that was read is answered by the kill, `kill_in_ms` from now.
        """
        if self.state in (ProcessState.SERVING, ProcessState.DRAINING):
            self.closed_at = now
            self.kill_at = min(self.kill_at, now + kill_in_ms)
        return self.handle(ProcessEvent.HANDOVER)

    def poll(self, now: float, unanswered: int) -> tuple[ProcessAction, ...]:
        """Enter the next stage of the shutdown if it is due; `unanswered` counts the outstanding answers.

        DRAINING ends when the grace period has passed and no answer is outstanding, at the latest twice `flush_ms`
        before the kill, and early enough for CROSSING. CROSSING ends when `crossing_ms` have passed and no answer is
        outstanding, at the latest when the last answers are due: a client that never stops sending can't take the time
        in which the idempotency keys are written. FLUSHING ends with the event FLUSHED.
        """
        if self.state == ProcessState.DRAINING:
            if now > self.shutdown_signal_at + self.grace_ms and not unanswered:
                self.closed_at = now
                return self.handle(ProcessEvent.EMPTY)
            answers_due_at = self.answer_deadline(unanswered)
            if now > min(self.kill_at - 2 * self.flush_ms, answers_due_at - self.crossing_ms):
                self.closed_at = now
                return self.handle(ProcessEvent.KILL_NEAR)
        elif self.state == ProcessState.CROSSING:
            crossed = now >= self.closed_at + self.crossing_ms and not unanswered
            if crossed or now >= self._latest_flush_at(unanswered):
                return self.handle(ProcessEvent.CROSSED)
        return ()

    def may_start(self, arrived_at: float) -> bool:
        """Return whether a request that arrived at this time may start.

        It may not if it arrived after the grace period, or once the process is in FLUSHING: the replacement then
        has the idempotency keys and would not know of this run.
        """
        return arrived_at <= self.shutdown_signal_at + self.grace_ms and self.state < FLUSHING

    def answer_reserve_ms(self, unanswered: int) -> float:
        """Return how many ms before the kill the process must begin to send this many outstanding answers.

        A check for overdue requests may come one interval late. The average time to deliver an answer counts twice for
        each answer, as deciding it takes about as long. The idempotency keys are written after that, those of the
        outstanding requests included; their time counts twice as other processes may use the core.
        """
        answers_ms = 2 * self.average_answer_ms * unanswered
        keys_ms = self.publish_reserve_ms + 2 * self.average_key_ms * (self.unwritten_keys + unanswered)
        return 2 * self.overdue_check_ms + answers_ms + keys_ms

    def answer_deadline(self, unanswered: int = 0) -> float:
        """Return when the process must begin to send this many outstanding answers, whatever their own due times."""
        return self.kill_at - self.answer_reserve_ms(unanswered)

    def _latest_flush_at(self, unanswered: int) -> float:
        """Return when CROSSING ends at the latest.

        That is when the last answers are due, but `crossing_ms` are granted as long as the kill allows.
        """
        return min(self.kill_at, max(self.answer_deadline(unanswered), self.closed_at + self.crossing_ms))
