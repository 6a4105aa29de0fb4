"""What a request of each class costs: core time, elapsed time, the server's present pace, weight per cost."""

from __future__ import annotations

from myrtlespar.policy.cost_hints import CostHints
from myrtlespar.policy.drain_deadline import DrainDeadline
from myrtlespar.policy.held_request import HeldRequest
from myrtlespar.policy.learning import FAST_WEIGHT, SLOW_WEIGHT, SURE_RUNS
from myrtlespar.policy.settings import Settings

COSTLY_FACTOR = 1.25  # times the mean cost per weight: above it a class is costly (the costliest always is)
INNER_TIER_FRACTION = 0.5  # fraction of the latency objective left for an inner tier: its caller spends the rest
INITIAL_COST_FRACTION = 0.1  # fraction of the latency objective taken as a class's core time until a run has shown it
MAX_PACE_SAMPLE = 20.0  # times the usual cost: the most that one run counts in the pace
MIN_SLACK_FRACTION = 0.2  # of the latency objective, left for waiting however long runs take
MIN_CORE_MS = 0.001  # core time by which costs are divided at the least


class CostEstimates:
    """Estimates for each class, learned from own runs.

    Attributes:
        objectives_ms: Latency objective of each class as it holds on this tier.
        usual_core_ms: Core time of a run at the server's usual pace, for each class.
        elapsed_ms: Time from start to end of a run, for each class.
        runs_seen: Completed runs of each class that the estimates rest on.
        pace: Present core time of runs as a multiple of the usual one: 2 means twice the core time.
        arrivals: Requests that were taken into the queues so far.
        mean_core_ms: Core time of an arrival on average.
        mean_weight: Priority weight of an arrival on average.
        hints: How far callers' cost hints are believed.
    """

    def __init__(self, settings: Settings, drain: DrainDeadline) -> None:
        self._drain = drain
        self._weighs_by_work = settings.weight_by_work
        self._classes = settings.classes
        self._over_quota_weight = settings.over_quota_weight
        objective_fraction = INNER_TIER_FRACTION if settings.tier > 0 else 1.0
        self.objectives_ms = [
            request_class.latency_objective_ms * objective_fraction for request_class in settings.classes
        ]
        self.usual_core_ms = [INITIAL_COST_FRACTION * objective for objective in self.objectives_ms]
        self.elapsed_ms = [2.0 * cost for cost in self.usual_core_ms]
        self.runs_seen = [0] * len(settings.classes)
        self.pace = 1.0
        self.arrivals = 0
        self.mean_core_ms = 0.0
        self.mean_weight = 0.0
        self.hints = CostHints(len(settings.classes))

    def core_ms(self, class_index: int) -> float:
        """Core time of a run of this class at the present pace."""
        return self.usual_core_ms[class_index] * self.pace

    def weight(self, lane: int) -> float:
        """Priority weight of the work in a lane."""
        return self._classes[lane >> 1].priority_weight * (self._over_quota_weight if lane & 1 else 1.0)

    def weight_per_cost(self, lane: int) -> float:
        """Priority weight for each ms of core time; the weight alone if the settings state weights for each ms."""
        return self.weight(lane) / (1.0 if self._weighs_by_work else max(MIN_CORE_MS, self.core_ms(lane >> 1)))

    def is_costly(self, lane: int) -> bool:
        """Whether cost per weight is well above what arrives on average, or the highest of all classes."""
        worst = min(self.weight_per_cost(2 * class_index) for class_index in range(len(self._classes)))
        mean = self.mean_weight / (1.0 if self._weighs_by_work else max(MIN_CORE_MS, self.mean_core_ms))
        own = self.weight_per_cost(lane)
        return own <= worst or own * COSTLY_FACTOR < mean

    def latest_start(self, request: HeldRequest) -> float:
        """The last moment at which a request may start and still be useful."""
        useful_until = min(request.useful_until, self._drain.answers_due_at)
        return useful_until - self.elapsed_ms[request.class_index] * request.relative_cost

    def tightest_slack_ms(self) -> float:
        """The least time that a class leaves for waiting: latency objective less elapsed time of a run.

        At least a fifth of an objective: on a slowed server a run may take longer than its objective, and without
        any slack the overload flag could hardly fall again.
        """
        return min(
            max(objective * MIN_SLACK_FRACTION, objective - elapsed)
            for objective, elapsed in zip(self.objectives_ms, self.elapsed_ms, strict=True)
        )

    def note_arrival(self, request: HeldRequest) -> None:
        """Take a queued request into the averages of what arrives."""
        self.arrivals += 1
        weight = max(SLOW_WEIGHT, 1.0 / self.arrivals)
        self.mean_core_ms += weight * (self.core_ms(request.class_index) * request.relative_cost - self.mean_core_ms)
        self.mean_weight += weight * (self.weight(request.lane) - self.mean_weight)

    def learn(self, request: HeldRequest, elapsed_ms: float) -> None:
        """Take in a complete run: its core time, its elapsed time, and what they say of the present pace."""
        class_index = request.class_index
        self.runs_seen[class_index] += 1
        seen = self.runs_seen[class_index]
        core_ms = request.core_ms / request.relative_cost
        self.hints.learn(request, request.core_ms / max(MIN_CORE_MS, self.core_ms(class_index)), self.runs_seen)
        self.usual_core_ms[class_index] += max(1.0 / seen, SLOW_WEIGHT) * (
            core_ms / self.pace - self.usual_core_ms[class_index]
        )
        self.elapsed_ms[class_index] += max(1.0 / seen, FAST_WEIGHT / 2) * (
            elapsed_ms / request.relative_cost - self.elapsed_ms[class_index]
        )
        if seen > SURE_RUNS:
            ratio = min(MAX_PACE_SAMPLE, core_ms / max(MIN_CORE_MS, self.usual_core_ms[class_index]))
            self.pace += FAST_WEIGHT / 3 * (ratio - self.pace)

    def lower_elapsed(self, class_index: int) -> None:
        """Lower the elapsed time of a class of which a request could not start, though it hardly waited.

        If one long run has made the estimate too long, no other run would ever start to correct it.
        """
        self.elapsed_ms[class_index] *= 1.0 - FAST_WEIGHT / 2
