"""How long idle connections are kept, by how often callers come back and whether a retry storm is on."""

from __future__ import annotations

from myrtlespar.policy.action_list import ActionList
from myrtlespar.policy.learning import SLOW_WEIGHT, SURE_RUNS
from myrtlespar.policy.messages import CloseIdle
from myrtlespar.policy.settings import Settings

MAX_RETURN_PART = 0.5  # part of the callers' idle time: who comes back later than that keeps no connection here
EARLY_CLOSE_PART = 0.15  # part of the tightest objective for which a connection that is hardly used again is kept
RETRY_STORM_PART = 0.6  # part of requests rejected from which on retries are best kept out by a full table
RETRY_STORM_END_PART = RETRY_STORM_PART / 2


class IdleConnections:
    """Whether idle connections are closed early (`closes_early`), and whether rejections amount to a retry storm."""

    def __init__(self, settings: Settings, actions: ActionList, tightest_objective_ms: float) -> None:
        self._actions = actions
        self._senders = max(1, settings.senders)
        self._max_return_ms = MAX_RETURN_PART * settings.caller_idle_ms
        self._early_close_ms = EARLY_CLOSE_PART * tightest_objective_ms
        self._rejected_part = 0.0
        self.is_retry_storm = False
        self.closes_early = False

    def note_rejected(self) -> None:
        """A request was rejected."""
        self._rejected_part += SLOW_WEIGHT * (1.0 - self._rejected_part)

    def note_started(self) -> None:
        """A request was started."""
        self._rejected_part -= SLOW_WEIGHT * self._rejected_part

    def update(self, arrival_gap_ms: float, arrivals: int) -> None:
        """Close idle connections early where a caller seldom comes back before it would close them.

        A table filled by many callers that come rarely takes work and keeps others out.
        """
        self.is_retry_storm = self._rejected_part > (RETRY_STORM_END_PART if self.is_retry_storm else RETRY_STORM_PART)
        closes_early = not self.is_retry_storm and arrival_gap_ms * self._senders > self._max_return_ms
        if self.closes_early != closes_early and arrivals > SURE_RUNS / 4:
            self.closes_early = closes_early
            self._actions.append(CloseIdle(self._early_close_ms if closes_early else 0.0))
