"""Suspected members, their accusers, and when a suspicion becomes a failure."""

from __future__ import annotations

import math
from dataclasses import dataclass

from myrtlespar.membership.messages import MemberUpdate
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.membership.timers import TimerKind, Timers


@dataclass(slots=True)
class Suspicion:
    """One suspected member: who accuses it, and when it is declared failed. Times are monotonic milliseconds."""

    started: float
    accusers: set[str]
    deadline: float = 0.0

    def timeout_ms(self, settings: MembershipSettings, fleet_size: int) -> float:
        """Return the time (ms) from `started` to the failure, from `suspect_max_ms` down to `suspect_min_ms`.

        It is the longest with one accuser, and falls with the logarithm of the number of independent accusers.
        """
        max_further = min(settings.accusers, max(fleet_size - 2, 0))  # accusers beside the first one
        progress = min(1.0, math.log(len(self.accusers)) / math.log(max_further + 1)) if max_further else 1.0
        return settings.suspect_max_ms - (settings.suspect_max_ms - settings.suspect_min_ms) * progress


class SuspicionTable:
    """All suspicions of one member, with their timers."""

    def __init__(self, settings: MembershipSettings, timers: Timers) -> None:
        self.settings = settings
        self.timers = timers
        self.by_name: dict[str, Suspicion] = {}

    def begin(
        self,
        update: MemberUpdate,
        previous: MemberUpdate | None,
        earlier_suspicion: Suspicion | None,
        fleet_size: int,
        now: float,
    ) -> None:
        """Start a suspicion; it keeps the start of an earlier one about the same incarnation and refutation."""
        continued = (
            earlier_suspicion is not None and previous is not None and previous.precedence[:2] == update.precedence[:2]
        )
        started = earlier_suspicion.started if earlier_suspicion is not None and continued else now
        suspicion = Suspicion(started, {update.accuser})
        self.by_name[update.name] = suspicion
        self._set_deadline(update.name, suspicion, fleet_size)

    def add_accuser(self, update: MemberUpdate, fleet_size: int) -> bool:
        """Count a further accuser, which shortens the timeout; false if it is counted already or not needed."""
        suspicion = self.by_name.get(update.name)
        if suspicion is None or update.accuser in suspicion.accusers:
            return False
        if len(suspicion.accusers) > self.settings.accusers:
            return False
        suspicion.accusers.add(update.accuser)
        self._set_deadline(update.name, suspicion, fleet_size)
        return True

    def postpone(self, name: str, suspicion: Suspicion, deadline: float) -> None:
        """Set a later deadline, and a timer for it."""
        suspicion.deadline = deadline
        self.timers.put(deadline, TimerKind.SUSPICION_TIMEOUT, name)

    def shift(self, delay_ms: float) -> None:
        """Postpone all deadlines by `delay_ms`; `Timers.shift` postpones the timers."""
        for suspicion in self.by_name.values():
            suspicion.started += delay_ms
            suspicion.deadline += delay_ms

    def _set_deadline(self, name: str, suspicion: Suspicion, fleet_size: int) -> None:
        suspicion.deadline = suspicion.started + suspicion.timeout_ms(self.settings, fleet_size)
        self.timers.put(suspicion.deadline, TimerKind.SUSPICION_TIMEOUT, name)
