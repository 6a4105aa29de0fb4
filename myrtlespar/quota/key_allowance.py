"""One key of a limit as one member has it: its allowance, its usage, and the demand that is to be requested."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from myrtlespar.quota.messages import KeyDemand
from myrtlespar.quota.settings import GrantSettings, Limit
from myrtlespar.quota.usage_windows import ConcurrencyCounter, UsageWindow

# Demand has shifted, and is followed at once, when it leaves its mean by so many roots of the mean, upwards by this
# much more, or when there was none at all for so many windows.
SHIFT_ROOTS = 3.0
MIN_SHIFT_UP = 3
SILENT_WINDOWS = 1.5
MIN_REQUEST_CHANGE = 1.25  # a mean within this and a tenth of the amount requested last changes nothing
MEAN_MEMORY_MS = 8000.0  # the time over which the mean forgets
MIN_ACTIVE_MEAN = 0.5  # below such a mean a key without demand counts as idle


class ExpiredGrant(NamedTuple):
    """A grant that ended; what it admitted may be in use until it has faded."""

    amount: int
    fades_at: float


@dataclass(slots=True)
class KeyAllowance:
    """One key as this member has it. Times are its monotonic milliseconds."""

    limit: Limit
    guaranteed_share: int
    usage: UsageWindow | ConcurrencyCounter
    demand: UsageWindow  # all that asked for capacity, admitted or not
    granted_amount: int = 0
    granted_until: float = 0.0
    acknowledged: int = 0  # sequence number of the request whose response was adopted last
    last_demand_at: float = 0.0
    mean_demand: float = 0.0  # in one window, averaged over several
    mean_samples: int = 0  # number of windows that the mean was taken over
    requested: int = 0  # the mean demand as last requested, rounded
    counts_starts: bool = True  # False: the limit is on runs in flight
    peak_in_flight: int = 0  # since the last request
    expired_grants: list[ExpiredGrant] = field(default_factory=list)

    def granted(self, now: float) -> int:
        """Return the amount that is granted now."""
        return self.granted_amount if now < self.granted_until else 0

    def outstanding(self, now: float, settings: GrantSettings) -> int:
        """Return the most that may be in use beyond the guaranteed share; below 1: nothing."""
        fading = [past.amount for past in self.expired_grants if past.fades_at > now]
        largest = max([self.granted(now), *fading])
        lapsed_at = self.granted_until
        if self.granted_amount and lapsed_at <= now < lapsed_at + settings.safe_wait_ms(self.limit.linger_ms):
            largest = max(largest, self.granted_amount)
        if isinstance(self.usage, ConcurrencyCounter):
            largest = max(largest, self.usage.count - self.guaranteed_share)
        return largest

    def expire_grant(self, now: float, settings: GrantSettings) -> None:
        """Record that the current grant ends now, or has ended."""
        amount = self.granted_amount
        fades_at = min(now, self.granted_until) + settings.safe_wait_ms(self.limit.linger_ms)
        self.expired_grants = [
            past
            for past in self.expired_grants
            if past.fades_at > now and (past.amount > amount or past.fades_at > fades_at)
        ]
        if amount and fades_at > now:
            self.expired_grants.append(ExpiredGrant(amount, fades_at))

    def next_demand(self, now: float, key: str, settings: GrantSettings) -> KeyDemand | None:
        """Return what to request now; None without demand beyond the guaranteed share or a grant to give back."""
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
        is_warm = now - self.last_demand_at < settings.cold_ms  # a grant of one is kept for the next request
        peak = 0
        if demand or is_warm:
            peak = min(max(want, demand + demand // 8 + 1 - share), self.limit.amount)
        may_be_in_use = self.granted(now) > 0 or any(past.fades_at > now for past in self.expired_grants)
        if want or peak or may_be_in_use:
            return KeyDemand(key, want, self.acknowledged, max(0, used - share), peak)
        return None

    def _update_requested(self, now: float, demand: int, settings: GrantSettings) -> int:
        """Follow the mean demand with a whole number that changes slowly.

        A request for the height of each swing would set that amount aside for a whole linger. A shift of demand is
        not a swing, and is followed at once.
        """
        is_active = bool(demand) or self.mean_demand > MIN_ACTIVE_MEAN
        self.mean_samples = self.mean_samples + 1 if is_active else 0
        mean = self.mean_demand
        swing = SHIFT_ROOTS * math.sqrt(mean)
        is_silent = not demand and now - self.last_demand_at > SILENT_WINDOWS * self.limit.window_ms
        if is_silent or not mean - swing <= demand <= mean + swing + MIN_SHIFT_UP:
            self.mean_demand = demand
            self.mean_samples = 1
        else:
            weight = max(settings.ask_ms / MEAN_MEMORY_MS, 1 / (self.mean_samples + 1))
            self.mean_demand += (demand - mean) * weight
        if abs(self.mean_demand - self.requested) > MIN_REQUEST_CHANGE + self.requested / 10:
            self.requested = round(self.mean_demand)
        return self.requested
