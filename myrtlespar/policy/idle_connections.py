"""Decides whether idle connections are closed early: if callers seldom return, but not during a retry storm."""

from __future__ import annotations

from myrtlespar.policy.action_list import ActionList
from myrtlespar.policy.learning import MIN_OBSERVATIONS, SLOW_WEIGHT
from myrtlespar.policy.messages import CloseIdle
from myrtlespar.policy.settings import Settings

MAX_RETURN_FRACTION = 0.5  # fraction of the callers' idle timeout after which their return counts as late
# Idle timeout while connections are closed early, as a fraction of the tightest latency objective.
EARLY_CLOSE_FRACTION = 0.15
# Fraction of rejected requests above which connections stay open: a full connection table then keeps out retries.
RETRY_STORM_FRACTION = 0.6
RETRY_STORM_END_FRACTION = RETRY_STORM_FRACTION / 2


class IdleConnections:
    """Decides how long idle connections are kept open.

    Attributes:
        is_retry_storm: Whether so many requests are rejected that most arrivals are taken to be retries.
        closes_early: Whether this server closes idle connections before the callers would.
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
        """Close idle connections early if callers seldom send another request within their own idle timeout.

        Many callers that rarely send would fill the connection table and keep others out. In a retry storm this is
        wanted, as it keeps out retries.

        Args:
            arrival_gap_ms: Mean time between arrivals.
            arrivals: Number of requests admitted so far; nothing changes while there are few.
        """
        self.is_retry_storm = self._rejected_fraction > (
            RETRY_STORM_END_FRACTION if self.is_retry_storm else RETRY_STORM_FRACTION
        )
        closes_early = not self.is_retry_storm and arrival_gap_ms * self._senders > self._max_return_ms
        if self.closes_early != closes_early and arrivals > MIN_OBSERVATIONS / 4:
            self.closes_early = closes_early
            self._actions.append(CloseIdle(self._early_close_ms if closes_early else 0.0))
