"""The capacity and the arrival rate of this server, compared with its even share of the tenants' quotas."""

from __future__ import annotations

from myrtlespar.policy.cost_estimates import CostEstimates
from myrtlespar.policy.held_request import HeldRequest
from myrtlespar.policy.learning import FAST_WEIGHT

MAX_EVEN_SHARE_FACTOR = 1.25  # multiple of the even share above which the whole fleet is taken to be overloaded
READING_WEIGHT = 0.3  # weight of one gauge value in the moving average `reading_cores`


class ServerCapacity:
    """Estimates how many requests a second this server can run, and how many arrive.

    Attributes:
        reading_cores: Cores busy with work other than runs, mostly reading requests; a moving average.
        arrival_gap_ms: Mean time between arrivals; a moving average.
    """

    def __init__(self, cores: int, even_share_per_s: float, costs: CostEstimates) -> None:
        self._cores = cores
        self._even_share_per_s = even_share_per_s
        self._costs = costs
        self._last_arrival = -1.0
        self.reading_cores = 0.0
        self.arrival_gap_ms = 1000.0 / even_share_per_s if even_share_per_s > 0 else 0.0

    def note_arrival(self, arrived: float) -> None:
        """Update `arrival_gap_ms` for a request that arrived at `arrived`, in ms on the policy's clock."""
        if self._last_arrival >= 0:
            gap_ms = max(0.0, arrived - self._last_arrival)
            self.arrival_gap_ms += FAST_WEIGHT / 3 * (gap_ms - self.arrival_gap_ms)
        self._last_arrival = max(arrived, self._last_arrival)

    def note_other_work(self, runnable_others: float) -> None:
        """Update `reading_cores` from the number of threads other than runs that were ready to use a core."""
        self.reading_cores += READING_WEIGHT * (max(0.0, min(runnable_others, self._cores)) - self.reading_cores)

    def requests_per_s(self) -> float:
        """Return how many requests a second the cores not taken by reading can run; 0 until costs are known."""
        mean_ms = self._costs.mean_core_ms
        return 1000.0 * (self._cores - self.reading_cores) / max(1.0, mean_ms) if mean_ms else 0.0

    def is_within_even_share(self) -> bool:
        """Return whether the arrival rate is at most about the even share; if not, the whole fleet is overloaded."""
        return MAX_EVEN_SHARE_FACTOR * self._even_share_per_s * self.arrival_gap_ms > 1000.0

    def others_have_capacity(self, request: HeldRequest) -> bool:
        """Return whether a rejected request would likely find capacity on another server.

        Other servers likely have capacity if only this one is slow or still warming up: it receives no more than its
        even share of the quotas but cannot run that much. The result is False for a retry, so that it is not passed
        from server to server.
        """
        return (
            not request.is_retry and 0 < self.requests_per_s() < self._even_share_per_s and self.is_within_even_share()
        )
