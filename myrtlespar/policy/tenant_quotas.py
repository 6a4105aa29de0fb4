"""Tenant quotas: a token bucket for each tenant decides which requests are over its quota."""

from __future__ import annotations

import math

from myrtlespar.policy.held_request import HeldRequest
from myrtlespar.policy.settings import Settings

BURST_WINDOW_S = 5.0  # time window in which a tenant's arrivals are compared with its quota


def _bucket_depth(rate_per_s: float) -> float:
    # Allows twice the standard deviation of random arrivals: a chance burst must not put a small tenant over its quota.
    return 1.0 + 2.0 * math.sqrt(BURST_WINDOW_S * rate_per_s)


class TenantQuotas:
    """The tokens of each tenant, and how many of them are reserved for waiting requests.

    Attributes:
        even_share_per_s: This server's even share of all quotas, in requests a second.
    """

    def __init__(self, settings: Settings) -> None:
        self._quotas_per_s = settings.tenant_quotas
        self._servers = max(1, settings.servers)
        self._total_per_s = max(0.001, sum(settings.tenant_quotas))
        even = [quota / self._servers for quota in settings.tenant_quotas]
        self.even_share_per_s = sum(even)
        self._tokens = [_bucket_depth(rate) for rate in even]
        self._reserved = [0] * len(even)

    def refill(self, step_ms: float, capacity_per_s: float) -> None:
        """Add the tokens for `step_ms`, given how many requests a second this server can run.

        A tenant's rate is this server's even share of the tenant's quota, or the tenant's share of this server's
        capacity if that is more: callers may spread traffic unevenly, and on a busy server not every tenant should
        count as over its quota.
        """
        for tenant, quota in enumerate(self._quotas_per_s):
            rate = max(quota / self._servers, quota / self._total_per_s * capacity_per_s)
            self._tokens[tenant] = min(_bucket_depth(rate), self._tokens[tenant] + step_ms * rate / 1000)

    def is_over_quota(self, tenant: int) -> bool:
        """Return whether a tenant has no token for one more request; False for a tenant without a quota."""
        return tenant < len(self._tokens) and self._tokens[tenant] - self._reserved[tenant] < 1.0

    def reserve(self, request: HeldRequest) -> None:
        """Reserve a token for a waiting request, unless it is over its quota."""
        if not request.is_over_quota and request.tenant < len(self._reserved):
            self._reserved[request.tenant] += 1

    def release(self, request: HeldRequest) -> None:
        """Cancel the reservation of a request that no longer waits."""
        if not request.is_over_quota and request.tenant < len(self._reserved):
            self._reserved[request.tenant] -= 1

    def spend(self, tenant: int) -> None:
        """Take a token for a request that starts."""
        if tenant < len(self._tokens):
            self._tokens[tenant] = max(0.0, self._tokens[tenant] - 1.0)
