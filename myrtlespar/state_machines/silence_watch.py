"""Detects a peer that leaves a request unanswered for too long.

Only time in which the peer could have answered and the answer could have been read counts as silence. Nothing is
expected from a peer without an unanswered request, so silence begins with the oldest one, not with the last answer.
While this process was suspended (stopped, or its machine paused) nothing was read, so the time between two checks
counts as at most one check period.
"""

from __future__ import annotations


class SilenceWatch:
    """Sums up the silence of one peer over regular checks.

    `period_ms` is the time between two checks. In a process that runs without interruption, a silent peer with an
    unanswered request is reported after `timeout_ms`, and at most two periods later.
    """

    def __init__(self, timeout_ms: float, period_ms: float) -> None:
        self._timeout_ms = timeout_ms
        self._period_ms = period_ms
        self._silent_ms = 0.0
        self._checked_at = 0.0
        self._oldest_request: str | None = None  # the oldest unanswered request at the last check

    def check(self, now: float, oldest_request: str | None, last_received_at: float) -> bool:
        """Return whether the peer has been silent for the timeout.

        Args:
            now: The time of this check, in ms, on the same clock as `last_received_at`.
            oldest_request: The oldest request that is not answered yet, None if there is none.
            last_received_at: When anything was last read from the peer, in ms.
        """
        elapsed_ms = min(now - self._checked_at, self._period_ms)
        unanswered_since_last_check = oldest_request is not None and oldest_request == self._oldest_request
        if unanswered_since_last_check and last_received_at < self._checked_at:
            self._silent_ms += elapsed_ms
        else:
            self._silent_ms = 0.0
        self._checked_at = now
        self._oldest_request = oldest_request
        return self._silent_ms >= self._timeout_ms
