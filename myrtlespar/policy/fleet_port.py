"""The interface through which the policy applies limits that hold for all servers of the fleet together."""

from __future__ import annotations

from typing import Protocol


class FleetLimitsPort(Protocol):
    """Admission under the limits of the whole fleet, as the policy needs it.

    No method blocks. Times are in ms, request ids are those of `Arrival`.
    """

    def admit(self, request_id: str, class_index: int, sender: int) -> float:
        """Acquire capacity for a request; return 0 if it was acquired, else in how many ms there may be some."""

    def enqueue(self, request_id: str, order: float) -> None:
        """Queue a request that `admit` has just not admitted; among queued requests the lowest `order` is first."""

    def take_ready(self) -> list[str]:
        """Remove and return the queued requests for which `admit` is to be called again now, first one first."""

    def next_ready_ms(self) -> float:
        """Return in how many ms the first queued request may be admitted; infinity if that is not known."""

    def reject(self, request_id: str, after_ms: float) -> float:
        """Record a rejection for lack of capacity; return its Retry-After, from `after_ms` where no better is known."""

    def release(self, request_id: str) -> None:
        """Release the capacity of a run that has ended, or remove a queued request that will never run."""

    def admit_call(self, request_id: str, class_index: int) -> bool:
        """Acquire capacity for a run's call to the dependency; False if there is none."""

    def release_call(self, request_id: str, after_ms: float) -> None:
        """Release the capacity of a call in `after_ms`, until when the dependency may still work on it."""

    def record_attempt(self, is_retry: bool) -> bool:
        """Record that a request was read; return False if it is a retry and the retry budget is spent."""

    def may_retry(self) -> bool:
        """Return whether a caller that is rejected now may retry elsewhere; if so, charge the retry budget."""
