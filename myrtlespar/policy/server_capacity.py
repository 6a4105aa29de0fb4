"""What this server can run and is asked for, next to its even share of the fleet's traffic."""

from __future__ import annotations

from myrtlespar.policy.cost_estimates import CostEstimates
from myrtlespar.policy.held_request import HeldRequest
from myrtlespar.policy.learning import FAST_WEIGHT

MAX_EVEN_DEMAND = 1.25  # times the even share of the quotas: asked for more, all servers are taken for overloaded
READING_WEIGHT = 0.3  # of one gauge reading in the cores taken by reading requests


class ServerCapacity:
    """Requests a second that can be run here, and the rate at which they arrive.

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
        """Take an arrival into the mean gap."""
        if self._last_arrival >= 0:
            gap_ms = max(0.0, arrived - self._last_arrival)
            self.arrival_gap_ms += FAST_WEIGHT / 3 * (gap_ms - self.arrival_gap_ms)
        self._last_arrival = max(arrived, self._last_arrival)

    def note_other_work(self, runnable_others: float) -> None:
        """Take in how many threads other than runs were ready to use a core."""
        self.reading_cores += READING_WEIGHT * (max(0.0, min(runnable_others, self._cores)) - self.reading_cores)

    def requests_per_s(self) -> float:
        """Requests a second that the cores can run besides reading; 0 until costs are known."""
        mean_ms = self._costs.mean_core_ms
        return 1000.0 * (self._cores - self.reading_cores) / max(1.0, mean_ms) if mean_ms else 0.0

    def is_demand_even(self) -> bool:
        """Asked for little more than its even share of the quotas: no flood, no overload of the fleet."""
        return MAX_EVEN_DEMAND * self._even_share_per_s * self.arrival_gap_ms > 1000.0

    def others_have_capacity(self, request: HeldRequest) -> bool:
        """Whether others likely have capacity: this one cannot run its even share of the quotas, nor is asked for more.

        A slow or cold server must not hold what faster ones would serve. Asked for far more, all are taken for
        overloaded; and a retry is not sent on again.
        """
        return not request.is_retry and 0 < self.requests_per_s() < self._even_share_per_s and self.is_demand_even()
