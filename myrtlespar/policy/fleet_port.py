"""The interface by which the policy learns of limits that hold for all servers together."""

from __future__ import annotations

from typing import Protocol


class FleetLimitsPort(Protocol):
    """What the policy is told of limits that hold for the whole fleet. Nothing here ever waits."""

    def admit(self, id: str, cls: int, sender: int) -> float:
        """0: there is room for this request, and it is taken. Otherwise in how many ms there may be."""

    def enqueue(self, id: str, order: float) -> None:
        """It is held until there is the room that it was just told of; the lowest order is first."""

    def take_ready(self) -> list[str]:
        """Held ones that may ask for room again now."""

    def next_ready_ms(self) -> float:
        """In how long the first held one may have room; infinity if that is not known."""

    def reject(self, id: str, after_ms: float) -> float:
        """It is refused for want of room: when its caller is to come back."""

    def release(self, id: str) -> None:
        """A run that was given room has ended, or one that was held will never ask again."""

    def admit_call(self, id: str, cls: int) -> bool:
        """Whether there is room for this run's call to the dependency; if so, it is taken."""

    def release_call(self, id: str, after_ms: float) -> None:
        """That call is over; the dependency may have it in hand for so long still."""

    def record_attempt(self, again: bool) -> bool:
        """A first try or a repeat was read. False: the fleet takes no more repeats now."""

    def may_retry(self) -> bool:
        """Whether a caller that is refused now may be left free to try again."""
