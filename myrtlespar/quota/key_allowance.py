"""One member's allowance, usage and demand of one key of a limit."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from myrtlespar.quota.messages import KeyDemand
from myrtlespar.quota.settings import GrantSettings, Limit
from myrtlespar.quota.usage_windows import ConcurrencyCounter, UsageWindow

# The mean demand normally changes slowly. It is set to the current demand at once if the two differ by more than this
# many standard deviations (roots of the mean, as for a Poisson process), or after IDLE_WINDOWS without demand.
SHIFT_STANDARD_DEVIATIONS = 3.0
EXTRA_UPWARD_TOLERANCE = 3  # added to the tolerance for an increase
IDLE_WINDOWS = 1.5
MIN_REQUEST_CHANGE = 1.25  # the request changes if the mean differs by more than this plus a tenth of the last request
MEAN_TIME_CONSTANT_MS = 8000.0  # time constant of the moving average
MIN_ACTIVE_MEAN = 0.5  # a key without demand counts as idle at or below this mean


class ExpiredGrant(NamedTuple):
    """A grant that has ended; what it admitted may be in use until `usage_ends_at`."""

    amount: int
    usage_ends_at: float


@dataclass(slots=True)
class KeyAllowance:
    """One member's state of one key. Times are its monotonic milliseconds."""

    limit: Limit
    guaranteed_share: int
    usage: UsageWindow | ConcurrencyCounter
    demand: UsageWindow  # all requests for capacity, admitted or not
    granted_amount: int = 0
    granted_until: float = 0.0
    acknowledged: int = 0  # sequence number of the request whose response was adopted last
    last_demand_at: float = 0.0
    mean_demand: float = 0.0  # in one window, as a moving average
    mean_samples: int = 0  # number of samples in the mean
    requested: int = 0  # the mean demand as last requested, rounded
    counts_starts: bool = True  # False: the limit is on runs in flight
    peak_in_flight: int = 0  # since the last request
    expired_grants: list[ExpiredGrant] = field(default_factory=list)

    def granted(self, now: float) -> int:
        """Return the amount of the current grant; 0 after its expiry."""
        return self.granted_amount if now < self.granted_until else 0

    def outstanding(self, now: float, settings: GrantSettings) -> int:
        """Return the greatest amount that may be in use beyond the guaranteed share; none if below 1."""
        fading = [past.amount for past in self.expired_grants if past.usage_ends_at > now]
        largest = max([self.granted(now), *fading])
        expired_at = self.granted_until
        if self.granted_amount and expired_at <= now < expired_at + settings.safe_wait_ms(self.limit.linger_ms):
            largest = max(largest, self.granted_amount)
        if isinstance(self.usage, ConcurrencyCounter):
            largest = max(largest, self.usage.count - self.guaranteed_share)
        return largest

    def expire_grant(self, now: float, settings: GrantSettings) -> None:
        """Move the current grant to the expired ones; it ends now unless it has expired already."""
        amount = self.granted_amount
        usage_ends_at = min(now, self.granted_until) + settings.safe_wait_ms(self.limit.linger_ms)
        self.expired_grants = [
            past
            for past in self.expired_grants
            if past.usage_ends_at > now and (past.amount > amount or past.usage_ends_at > usage_ends_at)
        ]
        if amount and usage_ends_at > now:
            self.expired_grants.append(ExpiredGrant(amount, usage_ends_at))

    def next_demand(self, now: float, key: str, settings: GrantSettings) -> KeyDemand | None:
        """Return the demand to request now; None without demand beyond the guaranteed share or a grant to give back."""
        used = self.usage.in_use(now)
        demand = self.demand.in_use(now)
        if isinstance(self.usage, ConcurrencyCounter):
            demand += max(self.peak_in_flight, used)
            self.peak_in_flight = used
        if now - self.last_demand_at > settings.cold_ms:
            self.mean_demand = 0.0
            self.requested = 0
            self.mean_samples = 0
        share = self.guaranteed_share
        want = min(max(0, self._update_requested(now, demand, settings) - share), self.limit.amount)
        is_warm = now - self.last_demand_at < settings.cold_ms  # a warm key keeps a grant of 1 for the next request
        peak = 0
        if demand or is_warm:
            peak = min(max(want, demand + demand // 8 + 1 - share), self.limit.amount)
        may_be_in_use = self.granted(now) > 0 or any(past.usage_ends_at > now for past in self.expired_grants)
        if want or peak or may_be_in_use:
            return KeyDemand(key, want, self.acknowledged, max(0, used - share), peak)
        return None

    def _update_requested(self, now: float, demand: int, settings: GrantSettings) -> int:
        """Update the mean demand and return it as a whole number with hysteresis.

        Requesting the peak of each fluctuation would reserve that amount for the limit's whole `linger_ms`. A change
        that is too large for a fluctuation is followed at once.
        """
        is_active = bool(demand) or self.mean_demand > MIN_ACTIVE_MEAN
        self.mean_samples = self.mean_samples + 1 if is_active else 0
        mean = self.mean_demand
        tolerance = SHIFT_STANDARD_DEVIATIONS * math.sqrt(mean)
        is_idle = not demand and now - self.last_demand_at > IDLE_WINDOWS * self.limit.window_ms
        if is_idle or not mean - tolerance <= demand <= mean + tolerance + EXTRA_UPWARD_TOLERANCE:
            self.mean_demand = demand
            self.mean_samples = 1
        else:
            weight = max(settings.ask_ms / MEAN_TIME_CONSTANT_MS, 1 / (self.mean_samples + 1))
            self.mean_demand += (demand - mean) * weight
        if abs(self.mean_demand - self.requested) > MIN_REQUEST_CHANGE + self.requested / 10:
            self.requested = round(self.mean_demand)
        return self.requested
