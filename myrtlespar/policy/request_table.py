"""The table of all requests that this server has read and whose memory is not freed yet."""

from __future__ import annotations

from myrtlespar.policy.held_request import ENDED, STARTED_STATES, HeldRequest
from myrtlespar.policy.memory_account import MemoryAccount


class RequestTable:
    """Requests by id, and the number of unanswered requests of each sender.

    Attributes:
        requests: Every request until its run and its answer are done, by id.
        open_by_sender: Number of unanswered requests of each sender; senders without any are absent.
    """

    def __init__(self, run_memory_factor: float, memory: MemoryAccount) -> None:
        self._run_memory_factor = run_memory_factor
        self._memory = memory
        self.requests: dict[str, HeldRequest] = {}
        self.open_by_sender: dict[int, int] = {}

    def add(self, request: HeldRequest) -> None:
        """Add an unanswered request and account for its memory."""
        self.requests[request.id] = request
        self._memory.used_kb += request.memory_kb
        self._memory.queued_kb += request.memory_kb
        self.open_by_sender[request.sender] = self.open_by_sender.get(request.sender, 0) + 1

    def set_answered(self, request: HeldRequest) -> None:
        """Record that no answer is due any more; the request stays in the table."""
        if request.answered:
            return
        request.answered = True
        self.open_by_sender[request.sender] -= 1
        if not self.open_by_sender[request.sender]:
            del self.open_by_sender[request.sender]

    def end(self, request: HeldRequest) -> None:
        """Remove a request and free its memory; `IdempotencyKeys` accounts for the memory of its key."""
        if request.state in STARTED_STATES:
            self._memory.used_kb -= request.memory_kb * self._run_memory_factor
        else:
            self._memory.used_kb -= request.memory_kb
        request.state = ENDED
        del self.requests[request.id]
        self.set_answered(request)
