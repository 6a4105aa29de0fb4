"""Whether idle connections are closed early: where callers seldom come back, but not during a retry storm."""

from __future__ import annotations

from myrtlespar.policy.action_list import ActionList
from myrtlespar.policy.learning import SLOW_WEIGHT, SURE_RUNS
from myrtlespar.policy.messages import CloseIdle
from myrtlespar.policy.settings import Settings

MAX_RETURN_FRACTION = 0.5  # fraction of the callers' idle time: who comes back later than that keeps no connection here
# Of the tightest latency objective: how long an idle connection is kept while connections are closed early.
EARLY_CLOSE_FRACTION = 0.15
# Of requests, rejected: from here on a connection table that is full keeps out retries, which is wanted.
RETRY_STORM_FRACTION = 0.6
RETRY_STORM_END_FRACTION = RETRY_STORM_FRACTION / 2


class IdleConnections:
    """Decides how long connections without requests are kept.

    Attributes:
        is_retry_storm: So many requests are rejected that most arrivals are taken to be retries.
        closes_early: Idle connections are closed by this server, and not left to the callers.
    """

    def __init__(self, settings: Settings, actions: ActionList, tightest_objective_ms: float) -> None:
        self._actions = actions
        self._senders = max(1, settings.senders)
        self._max_return_ms = MAX_RETURN_FRACTION * settings.caller_idle_ms
        self._early_close_ms = EARLY_CLOSE_FRACTION * tightest_objective_ms
        self._rejected_fraction = 0.0
        self.is_retry_storm = False
        self.closes_early = False

    def note_rejected(self) -> None:
        """Record that a request was rejected."""
        self._rejected_fraction += SLOW_WEIGHT * (1.0 - self._rejected_fraction)

    def note_started(self) -> None:
        """Record that a request was started."""
        self._rejected_fraction -= SLOW_WEIGHT * self._rejected_fraction

    def update(self, arrival_gap_ms: float, arrivals: int) -> None:
        """Close idle connections early if callers seldom send again before they would close them themselves.

        Many callers that rarely send would fill the connection table and keep others out. In a retry storm that is
        wanted.

        Args:
            arrival_gap_ms: Mean time between arrivals.
            arrivals: Requests admitted so far; with few, nothing is changed.
        """
        self.is_retry_storm = self._rejected_fraction > (
            RETRY_STORM_END_FRACTION if self.is_retry_storm else RETRY_STORM_FRACTION
        )
        closes_early = not self.is_retry_storm and arrival_gap_ms * self._senders > self._max_return_ms
        if self.closes_early != closes_early and arrivals > SURE_RUNS / 4:
            self.closes_early = closes_early
            self._actions.append(CloseIdle(self._early_close_ms if closes_early else 0.0))
