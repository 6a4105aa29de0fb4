"""The load that is advertised to callers along with every answer."""

from __future__ import annotations

from myrtlespar.policy.delayed_rejection import ABATEMENT_FRACTION
from myrtlespar.policy.messages import Advertise
from myrtlespar.policy.server_state import ServerState
from myrtlespar.policy.settings import Signal

LEVEL_RISE_PER_S = 0.5  # per unit of excess wait
LEVEL_FALL_PER_S = 0.25  # below A
MAX_EXCESS = 2.0  # units of excess wait that count
MAX_LEVEL = 0.5  # above it callers stop sending and get no newer value: all servers idle and are flooded in turns
MIN_CHANGE_FRACTION = 0.02  # a value that changed by less is not advertised again


class LoadAdvertisement:
    """The load level, moved once a tick, and the value last advertised."""

    def __init__(self, state: ServerState) -> None:
        self._signal = state.settings.signal
        self._senders = state.settings.senders
        self._cores = state.cores
        self._actions = state.actions
        self._costs = state.costs
        self._table = state.table
        self._overload = state.overload
        self._concurrency = state.concurrency
        self._faults = state.faults
        self._drain = state.drain
        weights = [request_class.priority_weight for request_class in state.settings.classes]
        self._ranks_end_at = sum(weight < max(weights) for weight in weights) / len(weights)
        self._level = 0.0
        self._advertised = -1.0

    def update(self, step_ms: float) -> None:
        """Move the level by what `step_ms` brought, and advertise the value if it changed enough."""
        if self._signal is Signal.NONE:
            return
        self._move_level(step_ms)
        free_fraction = 0.0 if self._faults.is_hanging or self._drain.is_draining() else 1.0 - self._level
        if self._signal is Signal.LEVEL:
            value = 1.0 - free_fraction
        else:
            value = free_fraction if self._signal is Signal.WEIGHT else free_fraction * self._allowance()
        if abs(value - self._advertised) > MIN_CHANGE_FRACTION * max(1.0, value):
            self._advertised = value
            self._actions.append(Advertise(value))

    def _move_level(self, step_ms: float) -> None:
        """Up past O, down below A; where ranks no longer tell classes apart, cheap work alone moves it up."""
        mark_ms = self._overload.overload_mark_ms()
        seconds = step_ms / 1000
        if self._signal is Signal.LEVEL and self._level >= self._ranks_end_at:
            pressure_ms = self._overload.wait_ms(with_set_aside=False) - self._overload.unread_ms
        else:
            pressure_ms = self._overload.wait_ms()
        if pressure_ms > mark_ms:
            self._level += LEVEL_RISE_PER_S * seconds * min(MAX_EXCESS, pressure_ms / mark_ms - 1)
        elif pressure_ms < ABATEMENT_FRACTION * mark_ms:
            self._level -= LEVEL_FALL_PER_S * seconds
        self._level = max(0.0, min(self._level, MAX_LEVEL))

    def _allowance(self) -> float:
        """Requests each caller may have here: runs, calls and what can wait under O, split by use."""
        waiting = self._cores * self._overload.overload_mark_ms() / max(1.0, self._costs.mean_core_ms)
        capacity = self._cores + self._concurrency.at_calls + waiting
        used = self._table.open_by_sender.values()
        callers = sum(used) ** 2 / sum(n * n for n in used) if used else float(self._senders)
        return capacity / max(1.0, callers)
