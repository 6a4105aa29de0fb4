"""Final answers other than the result of a run: rejections and failures, and the deadlines that force them."""

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
    """Sends the final answers of requests that get no result.

    A request that never started is rejected; one that ran, or that joined the run of another request, is failed. Each
    request gets exactly one answer.

    Attributes:
        answer_deadlines: All requests, by their hard deadline (`answer_due`).
        usefulness_deadlines: Runs of classes without a late weight, by the end of their usefulness (`useful_until`).
        fleet: The limits of the whole fleet; None if there are none.
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
        """Reject a request that never ran on this server.

        Args:
            request: The request, in any state in which it has not started.
            last: Whether the caller must not retry on another server, as the others are likely overloaded too. If
                False, the retry budget of the fleet decides.
            after_ms: Retry-After given by a limit of the fleet; 0 to use the expected wait on this server.
        """
        retry_after_ms = after_ms or max(self._overload.wait_ms(), self._overload.overload_threshold_ms())
        is_last = last or (self.fleet is not None and not self.fleet.may_retry())
        self._actions.append(Reject(request.id, min(self._max_retry_after_ms, retry_after_ms), is_last))
        self._connections.note_rejected()
        self._end_waiting(request)

    def fail(self, request: HeldRequest) -> None:
        """Answer with an error: the request may or may not have had an effect."""
        self._actions.append(Fail(request.id))
        self.close(request)

    def close(self, request: HeldRequest) -> None:
        """Record that a request needs no more answer: one was sent, or the caller is gone.

        A waiting request ends with this. A run keeps its entry in the table, its core, its call and its memory until
        `RunEnded`.
        """
        if request.state not in STARTED_STATES:
            self._end_waiting(request)
            return
        self._table.set_answered(request)
        if self._can_stop and request.state is RUNNING:  # `RunEnded` follows
            self._actions.append(Stop(request.id))

    def stop_waiting(self, request: HeldRequest) -> None:
        """Subtract a waiting request from the sums of queued work, reserved quota tokens and queued memory."""
        self._queues.leave(request)
        if request.state is QUEUED or request.state is SET_ASIDE:
            self._quotas.release(request)
        self._memory.queued_kb -= request.memory_kb

    def fail_expired_runs(self) -> None:
        """Fail runs whose answer is no longer useful, if they wait for a call or can be stopped.

        Such runs would only take cores, calls and memory from requests that are still useful.
        """
        while (request := self.usefulness_deadlines.pop_due(self._clock.now)) is not None:
            at_call = request.state is WAITING_FOR_CALL or request.state is CALLING
            if (self._can_stop or at_call) and not request.answered:
                self.fail(request)

    def enforce_deadlines(self) -> None:
        """Answer requests that have reached their hard deadline: reject those that never started, fail all others."""
        while (request := self.answer_deadlines.pop_due(self._clock.now)) is not None:
            if request.state is ENDED or request.answered or request.answer_due > self._clock.now:
                continue
            if request.state in NEVER_STARTED_STATES:
                self.reject(request, last=True)
            else:
                self.fail(request)

    def bring_forward(self, answers_due_at: float) -> None:
        """Move the hard deadlines of all unanswered requests forward to `answers_due_at`; earlier ones stay."""
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
