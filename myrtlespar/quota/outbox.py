"""Collects the effects of one call to a member's limit coordinator."""

from __future__ import annotations

from collections.abc import Callable

from myrtlespar.quota.messages import (
    CountEvent,
    LimitCounter,
    LimitEffect,
    LimitMessage,
    PersistThenSend,
    SendMessage,
)


class Outbox:
    """Collects effects in order. A message to this member itself is delivered immediately."""

    def __init__(self, self_name: str, deliver: Callable[[float, LimitMessage], None]) -> None:
        self._self_name = self_name
        self._deliver = deliver
        self._effects: list[LimitEffect] = []

    def send(self, now: float, recipient: str, message: LimitMessage) -> None:
        """Send a message; it is dropped if `recipient` is empty."""
        if recipient == self._self_name:
            self._deliver(now, message)
        elif recipient:
            self._effects.append(SendMessage(recipient, message))

    def persist_then_send(self, recipient: str, message: LimitMessage) -> None:
        """Send a message once the budget journal is on disk."""
        self._effects.append(PersistThenSend(recipient, message))

    def count(self, counter: LimitCounter, log_message: str = "") -> None:
        """Increment a counter, and log `log_message` unless it is empty."""
        self._effects.append(CountEvent(counter, log_message))

    def drain(self) -> list[LimitEffect]:
        """Return the collected effects and start with an empty list."""
        effects = self._effects
        self._effects = []
        return effects
