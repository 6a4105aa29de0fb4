"""The interface through which the policy applies the limits of the whole fleet."""

from __future__ import annotations

from typing import Protocol


class FleetLimitsPort(Protocol):
    """Admission control under the limits of the whole fleet.

    No method blocks. Times are in ms; request ids are those of `Arrival`.
    """

    def admit(self, request_id: str, class_index: int, sender: int) -> float:
        """Acquire capacity for a request; return 0 on success, else in how many ms there may be capacity."""

    def enqueue(self, request_id: str, order: float) -> None:
        """Queue a request that `admit` has just refused; queued requests are sorted by ascending `order`."""

    def take_ready(self) -> list[str]:
        """Remove and return, in their order, the queued requests for which to call `admit` again now."""

    def next_ready_ms(self) -> float:
        """Return in how many ms the first queued request may be admitted; infinity if that is unknown."""

    def reject(self, request_id: str, after_ms: float) -> float:
        """Record a rejection for lack of capacity; return its Retry-After, by default computed from `after_ms`."""

    def release(self, request_id: str) -> None:
        """Release the capacity of a run that has ended, or remove a queued request that will not run."""

    def admit_call(self, request_id: str, class_index: int) -> bool:
        """Acquire capacity for a run's call to the dependency; False if there is none."""

    def release_call(self, request_id: str, after_ms: float) -> None:
        """Release the capacity of a call in `after_ms`, as the dependency may process the call until then."""

    def record_attempt(self, is_retry: bool) -> bool:
        """Record the arrival of a request; return False if it is a retry and the retry budget is exhausted."""

    def may_retry(self) -> bool:
        """Return whether a caller that is rejected now may retry on another server; if so, charge the retry budget."""
