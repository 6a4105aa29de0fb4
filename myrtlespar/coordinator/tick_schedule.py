"""The ticks that the policy requested, and when to request the gauges for the next one."""

from __future__ import annotations

import math
from typing import NamedTuple


class ScheduledTick(NamedTuple):
    """A tick of the policy: when it is due, in Unix milliseconds, and the token that the policy chose for it."""

    due_at: float
    token: int


class TickSchedule:
    """The scheduled ticks, in no particular order.

    Token 0 is the regular tick of the policy; the gauges are requested `gauge_lead_ms` before it is due. Ticks with
    another token need no gauges. Times are Unix milliseconds.
    """

    def __init__(self, first_tick_at: float, gauge_lead_ms: float) -> None:
        self._ticks = [ScheduledTick(first_tick_at, 0)]
        self._gauge_lead_ms = gauge_lead_ms
        self.gauges_requested = False  # whether the gauges for the next regular tick have been requested

    @property
    def is_empty(self) -> bool:
        """Whether no tick is scheduled."""
        return not self._ticks

    def add(self, due_at: float, token: int) -> None:
        """Schedule a tick."""
        self._ticks.append(ScheduledTick(due_at, token))

    def next_due_at(self) -> float:
        """Return when the next tick is due, or the request of the gauges for a regular tick if that is earlier."""
        next_tick_at = min(tick.due_at for tick in self._ticks)
        return min(next_tick_at, math.inf if self.gauges_requested else self._gauges_due_at())

    def begin_gauge_request(self, now: float) -> bool:
        """Return whether the gauges have to be requested now, and record that they are."""
        if self.gauges_requested or now < self._gauges_due_at():
            return False
        self.gauges_requested = True
        return True

    def take_due(self, now: float) -> list[int]:
        """Remove the ticks that are due, and return their tokens."""
        tokens = [tick.token for tick in self._ticks if tick.due_at <= now]
        if tokens:
            self._ticks = [tick for tick in self._ticks if tick.due_at > now]
            self.gauges_requested = self.gauges_requested and all(tokens)
        return tokens

    def _gauges_due_at(self) -> float:
        return min((tick.due_at for tick in self._ticks if not tick.token), default=math.inf) - self._gauge_lead_ms
