"""What this server can run and is sent, compared with its even share of the tenants' quotas."""

from __future__ import annotations

from myrtlespar.policy.cost_estimates import CostEstimates
from myrtlespar.policy.held_request import HeldRequest
from myrtlespar.policy.learning import FAST_WEIGHT

MAX_EVEN_DEMAND = 1.25  # times the even share of the quotas: sent more, all servers are taken for overloaded
READING_WEIGHT = 0.3  # of one gauge value in the average of the cores taken by reading requests


class ServerCapacity:
    """How many requests a second can be run here, and at which rate they arrive.

    Attributes:
        reading_cores: Cores that are busy with other work than runs, mostly with reading requests.
        arrival_gap_ms: Mean time between arrivals.
    """

    def __init__(self, cores: int, even_share_per_s: float, costs: CostEstimates) -> None:
        self._cores = cores
        self._even_share_per_s = even_share_per_s
        self._costs = costs
        self._last_arrival = -1.0
        self.reading_cores = 0.0
        self.arrival_gap_ms = 1000.0 / even_share_per_s if even_share_per_s > 0 else 0.0

    def note_arrival(self, arrived: float) -> None:
        """Update the mean gap for a request that arrived at `arrived`."""
        if self._last_arrival >= 0:
            gap_ms = max(0.0, arrived - self._last_arrival)
            self.arrival_gap_ms += FAST_WEIGHT / 3 * (gap_ms - self.arrival_gap_ms)
        self._last_arrival = max(arrived, self._last_arrival)

    def note_other_work(self, runnable_others: float) -> None:
        """Update `reading_cores` from the number of threads other than runs that were ready to use a core."""
        self.reading_cores += READING_WEIGHT * (max(0.0, min(runnable_others, self._cores)) - self.reading_cores)

    def requests_per_s(self) -> float:
        """Return how many requests a second the cores can run besides reading; 0 until costs are known."""
        mean_ms = self._costs.mean_core_ms
        return 1000.0 * (self._cores - self.reading_cores) / max(1.0, mean_ms) if mean_ms else 0.0

    def is_demand_even(self) -> bool:
        """Return whether arrivals are few enough for this server's even share; if not, the fleet is overloaded."""
        return MAX_EVEN_DEMAND * self._even_share_per_s * self.arrival_gap_ms > 1000.0

    def others_have_capacity(self, request: HeldRequest) -> bool:
        """Return whether a rejected request would likely find capacity on another server.

        That is so if this server alone is slow or still warming up: it cannot run its even share of the quotas,
        though it is sent no more than that. For a retry the answer is False, so that it is not sent on once more.
        """
        return not request.is_retry and 0 < self.requests_per_s() < self._even_share_per_s and self.is_demand_even()
