"""The table of all requests that were read here and whose memory is not free yet."""

from __future__ import annotations

from myrtlespar.policy.held_request import ENDED, STARTED_STATES, HeldRequest
from myrtlespar.policy.memory_account import MemoryAccount


class RequestTable:
    """Requests by their id, and how many unanswered ones each sender has.

    Attributes:
        requests: Every request until its end, answered or not.
        open_by_sender: Requests of each sender that are still owed an answer; senders without any are absent.
    """

    def __init__(self, run_memory_factor: float, memory: MemoryAccount) -> None:
        self._run_memory_factor = run_memory_factor
        self._memory = memory
        self.requests: dict[str, HeldRequest] = {}
        self.open_by_sender: dict[int, int] = {}

    def add(self, request: HeldRequest) -> None:
        """Add a request that was read; an answer is owed."""
        self.requests[request.id] = request
        self._memory.used_kb += request.memory_kb
        self._memory.queued_kb += request.memory_kb
        self.open_by_sender[request.sender] = self.open_by_sender.get(request.sender, 0) + 1

    def mark_answered(self, request: HeldRequest) -> None:
        """Record that no answer is owed any more; the request stays in the table."""
        if request.answered:
            return
        request.answered = True
        self.open_by_sender[request.sender] -= 1
        if not self.open_by_sender[request.sender]:
            del self.open_by_sender[request.sender]

    def end(self, request: HeldRequest) -> None:
        """Remove a request and free its memory; its idempotency key, if any, is accounted for elsewhere."""
        if request.state in STARTED_STATES:
            self._memory.used_kb -= request.memory_kb * self._run_memory_factor
        else:
            self._memory.used_kb -= request.memory_kb
        request.state = ENDED
        del self.requests[request.id]
        self.mark_answered(request)
