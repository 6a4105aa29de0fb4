"""The load value that is sent to callers with every answer, so that they send less to a loaded server.

O and A are thresholds of the wait: `delayed_rejection` raises the overload flag above O and clears it below A.
"""

from __future__ import annotations

from myrtlespar.policy.delayed_rejection import ABATEMENT_FRACTION
from myrtlespar.policy.messages import Advertise
from myrtlespar.policy.server_state import ServerState
from myrtlespar.policy.settings import LoadSignal

LEVEL_RISE_PER_S = 0.5  # at a wait of 2 O; the rise is proportional to the excess of the wait over O
LEVEL_FALL_PER_S = 0.25  # while the wait is below A
MAX_EXCESS = 2.0  # excess of the wait over O, in multiples of O, above which the level rises no faster
MAX_LEVEL = 0.5  # above it callers stop sending and get no newer value: all servers go idle and are flooded in turns
MIN_CHANGE_FRACTION = 0.02  # smaller changes of the value are not advertised


class LoadAdvertisement:
    """Maintains a load level from 0 (no restriction) to `MAX_LEVEL` and advertises it in the form that callers use."""

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
        self._lighter_classes_fraction = sum(weight < max(weights) for weight in weights) / len(weights)
        self._level = 0.0
        self._advertised = -1.0

    def update(self, step_ms: float) -> None:
        """Adjust the level for the `step_ms` since the last update, and advertise the value if it changed enough."""
        if self._signal is LoadSignal.NONE:
            return
        self._move_level(step_ms)
        free_fraction = 0.0 if self._faults.is_hanging or self._drain.is_draining() else 1.0 - self._level
        if self._signal is LoadSignal.LEVEL:
            value = 1.0 - free_fraction
        else:
            value = free_fraction if self._signal is LoadSignal.WEIGHT else free_fraction * self._allowance()
        if abs(value - self._advertised) > MIN_CHANGE_FRACTION * max(1.0, value):
            self._advertised = value
            self._actions.append(Advertise(value))

    def _move_level(self, step_ms: float) -> None:
        """Raise the level while the wait exceeds O, and lower it while the wait is below A.

        With `LoadSignal.LEVEL` callers hold back the classes of lower weight first. Once the level covers all of these
        classes, only queued requests can raise it further: set-aside requests and the read delay no longer count.
        """
        threshold_ms = self._overload.overload_threshold_ms()
        seconds = step_ms / 1000
        if self._signal is LoadSignal.LEVEL and self._level >= self._lighter_classes_fraction:
            wait_ms = self._overload.wait_ms(with_set_aside=False) - self._overload.read_delay_ms
        else:
            wait_ms = self._overload.wait_ms()
        if wait_ms > threshold_ms:
            self._level += LEVEL_RISE_PER_S * seconds * min(MAX_EXCESS, wait_ms / threshold_ms - 1)
        elif wait_ms < ABATEMENT_FRACTION * threshold_ms:
            self._level -= LEVEL_FALL_PER_S * seconds
        self._level = max(0.0, min(self._level, MAX_LEVEL))

    def _allowance(self) -> float:
        """Return how many open requests each caller may have: capacity divided by the effective number of callers."""
        # The capacity: requests on the cores, at calls, and as many waiting ones as keep the wait within O.
        waiting = self._cores * self._overload.overload_threshold_ms() / max(1.0, self._costs.mean_core_ms)
        capacity = self._cores + self._concurrency.at_calls + waiting
        open_requests = self._table.open_by_sender.values()
        # The effective number: equal to the number of callers if all send alike, lower if a few send most requests.
        callers = (
            sum(open_requests) ** 2 / sum(count * count for count in open_requests)
            if open_requests
            else float(self._senders)
        )
        return capacity / max(1.0, callers)
