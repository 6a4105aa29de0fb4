"""Finds the runs that the execution engine lost, so that their capacity can be used again."""

from __future__ import annotations

from myrtlespar.exchange import Exchange
from myrtlespar.state_machines.lost_runs import LostRunDetector
from myrtlespar.state_machines.request_tracker import RequestTracker

RUNNABLE_GAUGE = "runnable"  # name of the gauge with the number of tasks that use or wait for a core


class LostRunSearch:
    """Compares the tracked runs with the engine's gauge.

    Only runs that no client waits for are treated as lost, since the others fail at their due time. If for `window_ms`
    more runs are tracked than the gauge shows, the oldest of these unwanted runs are lost, as many as the surplus.
    A run at a dependency call, which the gauge does not count, is lost after twice its client timeout; so is any
    unwanted run if the engine does not provide the gauge.
    `gauge_names` are the gauges in the order of their values. Times are Unix milliseconds.
    """

    def __init__(self, tracker: RequestTracker, window_ms: float, gauge_names: list[str]) -> None:
        self._tracker = tracker
        self._detector = LostRunDetector(window_ms)
        self._gauge_names = gauge_names

    def find_lost(self, now: float, gauges: list[float]) -> list[Exchange]:
        """Return the runs that are lost; `gauges` are the latest values, empty if there are no fresh ones."""
        running, unwanted = self._tracker.runs_on_cores()
        # The gauge does not count runs that wait at a dependency call, so they are lost by age.
        lost = [exchange for exchange in self._tracker.abandoned_runs_at_calls() if _is_long_overdue(exchange, now)]
        if not unwanted:
            return lost
        if RUNNABLE_GAUGE in self._gauge_names:
            index = self._gauge_names.index(RUNNABLE_GAUGE)
            runnable = gauges[index] if index < len(gauges) else None
            return lost + unwanted[: self._detector.count_lost(now, running, runnable)]
        return lost + [exchange for exchange in unwanted if _is_long_overdue(exchange, now)]


def _is_long_overdue(exchange: Exchange, now: float) -> bool:
    """Return whether twice the client timeout has passed since the arrival."""
    return now > 2 * exchange.due_at - exchange.arrived_at
