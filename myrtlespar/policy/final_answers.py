"""Final answers other than a run's own result: rejections and failures, and the deadlines that force them."""

from __future__ import annotations

from myrtlespar.policy.deadline_queue import DeadlineQueue
from myrtlespar.policy.fleet_port import FleetLimitsPort
from myrtlespar.policy.held_request import (
    AWAITING_FLEET,
    CALLING,
    ENDED,
    JOINED,
    NEVER_STARTED_STATES,
    QUEUED,
    RUNNING,
    SET_ASIDE,
    STARTED_STATES,
    WAITING_FOR_CALL,
    HeldRequest,
)
from myrtlespar.policy.messages import Fail, Reject, Stop
from myrtlespar.policy.server_state import ServerState


class FinalAnswers:
    """Sends the final answer of requests that get no result.

    A request that never started is rejected; one that ran, or joined a run, is failed. Each gets one answer.

    Attributes:
        answer_deadlines: All requests, by their hard deadline (`answer_due`).
        usefulness_deadlines: Runs of classes without late weight, by the time until which an answer is useful.
        fleet: Limits of all servers together, or None.
    """

    def __init__(self, state: ServerState) -> None:
        self._can_stop = state.settings.can_stop
        self._max_retry_after_ms = state.settings.max_retry_after_ms
        self._clock = state.clock
        self._actions = state.actions
        self._table = state.table
        self._memory = state.memory
        self._keys = state.keys
        self._quotas = state.quotas
        self._queues = state.queues
        self._overload = state.overload
        self._connections = state.connections
        self.answer_deadlines = DeadlineQueue()
        self.usefulness_deadlines = DeadlineQueue()
        self.fleet: FleetLimitsPort | None = None

    def reject(self, request: HeldRequest, last: bool, after_ms: float = 0.0) -> None:
        """Reject a request, which must never have run here.

        Args:
            request: The request.
            last: Tell the caller not to retry on another server, as in overload the others are overloaded too. Without
                it, the retry budget of the fleet decides.
            after_ms: Retry-After, if a limit of the fleet gives one; at 0 it is the time that the waiting work needs.
        """
        retry_after_ms = after_ms or max(self._overload.wait_ms(), self._overload.overload_mark_ms())
        is_last = last or (self.fleet is not None and not self.fleet.may_retry())
        self._actions.append(Reject(request.id, min(self._max_retry_after_ms, retry_after_ms), is_last))
        self._connections.note_rejected()
        self._end_waiting(request)

    def fail(self, request: HeldRequest) -> None:
        """Answer with an error: the request may or may not have had an effect."""
        self._actions.append(Fail(request.id))
        self.close(request)

    def close(self, request: HeldRequest) -> None:
        """Record that no answer is owed any more: it was sent, or the caller has gone.

        A waiting request ends here. A run stays in the table, with its core, call and memory, until `RunEnded`.
        """
        if request.state not in STARTED_STATES:
            self._end_waiting(request)
            return
        self._table.mark_answered(request)
        if self._can_stop and request.state is RUNNING:  # its end follows: never started again, nor rejected
            self._actions.append(Stop(request.id))

    def stop_waiting(self, request: HeldRequest) -> None:
        """Remove a waiting request from the sums of queued work, reserved tokens and queued memory."""
        self._queues.leave(request)
        if request.state is QUEUED or request.state is SET_ASIDE:
            self._quotas.release(request)
        self._memory.queued_kb -= request.memory_kb

    def fail_useless(self) -> None:
        """Fail runs whose answer is of no use any more, where they wait for a call or can be stopped.

        They would only take cores, calls and memory from requests that are still useful.
        """
        while (request := self.usefulness_deadlines.pop_due(self._clock.now)) is not None:
            at_call = request.state is WAITING_FOR_CALL or request.state is CALLING
            if (self._can_stop or at_call) and not request.answered:
                self.fail(request)

    def enforce_deadlines(self) -> None:
        """Answer what has reached its hard deadline: reject what never ran, fail what ran or joined a run."""
        while (request := self.answer_deadlines.pop_due(self._clock.now)) is not None:
            if request.state is ENDED or request.answered or request.answer_due > self._clock.now:
                continue
            if request.state in NEVER_STARTED_STATES:
                self.reject(request, last=True)
            else:
                self.fail(request)

    def bring_forward(self, answers_due_at: float) -> None:
        """Move the hard deadline of every unanswered request to `answers_due_at`, unless it is earlier."""
        for request in self._table.requests.values():
            if not request.answered and request.answer_due > answers_due_at:
                request.answer_due = max(self._clock.now, answers_due_at)
                self.answer_deadlines.push(request.answer_due, request)

    def _end_waiting(self, request: HeldRequest) -> None:
        if request.state is not JOINED and request.key_is_kept:
            self._keys.forget(request)
        if request.state is AWAITING_FLEET and self.fleet:
            self.fleet.release(request.id)
        self.stop_waiting(request)
        self._table.end(request)
