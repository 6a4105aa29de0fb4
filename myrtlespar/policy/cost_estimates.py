"""Estimates of what requests cost: core time and elapsed time by class, current slowdown, weight per cost."""

from __future__ import annotations

from myrtlespar.policy.cost_hints import CostHints
from myrtlespar.policy.drain_deadline import DrainDeadline
from myrtlespar.policy.held_request import HeldRequest
from myrtlespar.policy.learning import FAST_WEIGHT, MIN_OBSERVATIONS, SLOW_WEIGHT
from myrtlespar.policy.settings import Settings

COSTLY_FACTOR = 1.25  # a class is costly above this multiple of the mean cost per weight; the costliest class always is
INNER_TIER_FRACTION = 0.5  # fraction of the latency objective that an inner tier may use; its caller needs the rest
INITIAL_COST_FRACTION = 0.1  # fraction of the latency objective assumed as core time until a run of the class has ended
MAX_SLOWDOWN_SAMPLE = 20.0  # upper bound of one run's ratio of core time to usual core time
MIN_SLACK_FRACTION = 0.2  # fraction of the latency objective assumed as slack even if runs take longer
MIN_CORE_MS = 0.001  # lower bound of core times that are divided by


class CostEstimates:
    """Cost estimates for each class, learned from this server's own runs.

    Attributes:
        objectives_ms: Latency objective on this server's tier, by class.
        usual_core_ms: Core time of a run at the usual speed of this server, by class.
        elapsed_ms: Time from start to end of a run, by class.
        runs_seen: Number of completed runs that the estimates are based on, by class.
        slowdown: Current core time of runs as a multiple of the usual one: 2 means twice the core time.
        arrivals: Number of requests admitted so far.
        mean_core_ms: Mean core time of an arrival.
        mean_weight: Mean priority weight of an arrival.
        hints: How well callers' cost hints predict costs.
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
        self.slowdown = 1.0
        self.arrivals = 0
        self.mean_core_ms = 0.0
        self.mean_weight = 0.0
        self.hints = CostHints(len(settings.classes))

    def core_ms(self, class_index: int) -> float:
        """Return the core time in ms of a run of this class at the current slowdown."""
        return self.usual_core_ms[class_index] * self.slowdown

    def weight(self, lane: int) -> float:
        """Return the priority weight of requests in a lane."""
        return self._classes[lane >> 1].priority_weight * (self._over_quota_weight if lane & 1 else 1.0)

    def weight_per_cost(self, lane: int) -> float:
        """Return the priority weight per ms of core time; the weight itself if the settings give it per ms."""
        return self.weight(lane) / (1.0 if self._weighs_by_work else max(MIN_CORE_MS, self.core_ms(lane >> 1)))

    def is_costly(self, lane: int) -> bool:
        """Return whether a lane's cost per weight is well above the average, or the highest of all classes."""
        worst = min(self.weight_per_cost(2 * class_index) for class_index in range(len(self._classes)))
        mean = self.mean_weight / (1.0 if self._weighs_by_work else max(MIN_CORE_MS, self.mean_core_ms))
        own = self.weight_per_cost(lane)
        return own <= worst or own * COSTLY_FACTOR < mean

    def latest_start(self, request: HeldRequest) -> float:
        """Return the latest time at which a request can start and still be answered usefully, on the policy's clock."""
        useful_until = min(request.useful_until, self._drain.answers_due_at)
        return useful_until - self.elapsed_ms[request.class_index] * request.relative_cost

    def tightest_slack_ms(self) -> float:
        """Return the smallest slack of all classes: the latency objective less the elapsed time of a run.

        The slack is at least a fifth of the objective: on a slowed server runs may take longer than their objective,
        and without slack the overload flag could hardly be cleared again.
        """
        return min(
            max(objective * MIN_SLACK_FRACTION, objective - elapsed)
            for objective, elapsed in zip(self.objectives_ms, self.elapsed_ms, strict=True)
        )

    def note_arrival(self, request: HeldRequest) -> None:
        """Update the averages of arrivals with an admitted request."""
        self.arrivals += 1
        weight = max(SLOW_WEIGHT, 1.0 / self.arrivals)
        self.mean_core_ms += weight * (self.core_ms(request.class_index) * request.relative_cost - self.mean_core_ms)
        self.mean_weight += weight * (self.weight(request.lane) - self.mean_weight)

    def learn(self, request: HeldRequest, elapsed_ms: float) -> None:
        """Update core time, elapsed time and slowdown from a run that has ended."""
        class_index = request.class_index
        self.runs_seen[class_index] += 1
        seen = self.runs_seen[class_index]
        core_ms = request.core_ms / request.relative_cost
        self.hints.learn(request, request.core_ms / max(MIN_CORE_MS, self.core_ms(class_index)), self.runs_seen)
        self.usual_core_ms[class_index] += max(1.0 / seen, SLOW_WEIGHT) * (
            core_ms / self.slowdown - self.usual_core_ms[class_index]
        )
        self.elapsed_ms[class_index] += max(1.0 / seen, FAST_WEIGHT / 2) * (
            elapsed_ms / request.relative_cost - self.elapsed_ms[class_index]
        )
        if seen > MIN_OBSERVATIONS:
            ratio = min(MAX_SLOWDOWN_SAMPLE, core_ms / max(MIN_CORE_MS, self.usual_core_ms[class_index]))
            self.slowdown += FAST_WEIGHT / 3 * (ratio - self.slowdown)

    def lower_elapsed(self, class_index: int) -> None:
        """Lower the elapsed time of a class after a request was rejected as too late though it had hardly waited.

        Otherwise, once a long run has made the estimate too high, no other run would ever start to correct it.
        """
        self.elapsed_ms[class_index] *= 1.0 - FAST_WEIGHT / 2
