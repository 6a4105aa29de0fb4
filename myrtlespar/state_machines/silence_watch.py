"""Decides when a peer that owes an answer has been silent for too long.

Only time in which the peer could have answered and the answer could have been read counts as silence. A peer that was
asked nothing owes nothing, so silence begins with the oldest unanswered request, not with the last answer. While this
process stood still (stopped, or its machine paused) nothing was read, so the time between two checks counts as one
check period at most.
"""

from __future__ import annotations


class SilenceWatch:
    """The silence of one peer, summed up from regular checks.

    `period_ms` is the time between two checks. A peer that owes an answer all the time is reported after `timeout_ms`,
    and at most two periods later, on a process that runs without interruption.
    """

    def __init__(self, timeout_ms: float, period_ms: float) -> None:
        self._timeout_ms = timeout_ms
        self._period_ms = period_ms
        self._silent_ms = 0.0
        self._checked_at = 0.0
        self._oldest_request: str | None = None  # unanswered at the last check

    def check(self, now: float, oldest_request: str | None, last_heard_at: float) -> bool:
        """Return whether the peer has been silent for the timeout.

        Args:
            now: The time of this check, in ms.
            oldest_request: The oldest request that is not answered yet, None if there is none.
            last_heard_at: When anything was last read from the peer, in ms.
        """
        elapsed_ms = min(now - self._checked_at, self._period_ms)
        owed_since_last_check = oldest_request is not None and oldest_request == self._oldest_request
        if owed_since_last_check and last_heard_at < self._checked_at:
            self._silent_ms += elapsed_ms
        else:
            self._silent_ms = 0.0
        self._checked_at = now
        self._oldest_request = oldest_request
        return self._silent_ms >= self._timeout_ms
