"""The ids of effectful attempts that have started.

A client whose connection ended may send the same attempt again, with the same id: here, or to the other process of a
replacement. It must not run a second time.
"""

from __future__ import annotations

from typing import Protocol


class SharedIdLog(Protocol):
    """The ids that all processes of one server have started."""

    def append(self, request_id: str) -> None:
        """Record an id that this process is about to start."""

    def read_new(self) -> list[str]:
        """Return the ids that were recorded since the last call, by any process."""


class StartedIds:
    """The ids that were started lately, at most `capacity` of them, each for `keep_ms`. Times are Unix milliseconds.

    Attributes:
        log: Shared with the other process of a replacement; None if there can be none.
    """

    def __init__(self, capacity: int, keep_ms: float) -> None:
        self.log: SharedIdLog | None = None
        self._capacity = capacity
        self._keep_ms = keep_ms
        self._expires_at: dict[str, float] = {}  # by id, the oldest first

    def add(self, request_id: str, now: float) -> None:
        """Record an attempt that is about to start."""
        self._remember(request_id, now)
        if self.log is not None:
            self.log.append(request_id)

    def contains(self, request_id: str, now: float) -> bool:
        """Return whether an attempt with this id has started, in any process of this server."""
        if self.log is not None:
            for started_id in self.log.read_new():
                self._remember(started_id, now)
        return self._expires_at.get(request_id, now) > now

    def _remember(self, request_id: str, now: float) -> None:
        self._expires_at.pop(request_id, None)
        self._expires_at[request_id] = now + self._keep_ms
        while self._expires_at:
            oldest_id, expires_at = next(iter(self._expires_at.items()))
            if len(self._expires_at) <= self._capacity and expires_at > now:
                break
            del self._expires_at[oldest_id]
