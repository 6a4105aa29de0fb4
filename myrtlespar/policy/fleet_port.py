"""The interface by which the policy learns of limits that hold for all servers together."""

from __future__ import annotations

from typing import Protocol


class FleetLimitsPort(Protocol):
    """Limits that hold for the whole fleet, as the policy asks for them. No method blocks; times are in ms."""

    def admit(self, id: str, class_index: int, sender: int) -> float:
        """Acquire capacity for a request: 0 if it was acquired, else in how many ms there may be some."""

    def enqueue(self, id: str, order: float) -> None:
        """Hold a request that `admit` has just turned down until there may be capacity; the lowest order is first."""

    def take_ready(self) -> list[str]:
        """Return and remove the held requests that may ask `admit` again now."""

    def next_ready_ms(self) -> float:
        """In how many ms the first held request may have capacity; infinity if that is not known."""

    def reject(self, id: str, after_ms: float) -> float:
        """A request is rejected for want of capacity; return after how many ms its caller shall retry."""

    def release(self, id: str) -> None:
        """Release the capacity of a run that has ended, or the place of a held request that will never run."""

    def admit_call(self, id: str, class_index: int) -> bool:
        """Acquire capacity for a run's call to the dependency; False if there is none."""

    def release_call(self, id: str, after_ms: float) -> None:
        """Release the capacity of a call that is over after `after_ms`, while the dependency may still have it."""

    def record_attempt(self, again: bool) -> bool:
        """Record that a first attempt or a retry was read; False if the fleet takes no more retries now."""

    def may_retry(self) -> bool:
        """Whether a caller that is rejected now may retry on another server; takes from the retry budget."""
