"""Predicts costs from callers' cost hints, by a linear regression of the costs of own runs on their hints.

The regression uses the logarithms of both, so that its slope is the exponent with which a hint scales the cost.
"""

from __future__ import annotations

import math

from myrtlespar.policy.held_request import HeldRequest
from myrtlespar.policy.learning import FAST_WEIGHT, MIN_OBSERVATIONS, SLOW_WEIGHT

MAX_LOG_DEVIATION = 4.0  # natural logarithm of the largest factor by which a hint may raise or lower a cost


class CostHints:
    """The mean hint of each class, and the covariance of hints with the costs of own runs."""

    def __init__(self, classes: int) -> None:
        self._mean_log_hint = [math.nan] * classes
        self._hint_variance = 1.0
        self._hint_cost_covariance = 0.0

    def relative_cost(self, request: HeldRequest) -> float:
        """Return the expected cost of a request as a multiple of its class's mean.

        A hint counts as far as hints have predicted costs so far; without a hint, or without runs to learn from, the
        result is 1. It is rounded to a multiple of 1/16, so that sums of many results are exact.
        """
        mean = self._mean_log_hint[request.class_index]
        if math.isnan(request.log_cost_hint) or math.isnan(mean):
            return 1.0
        slope = max(0.0, min(self._hint_cost_covariance / self._hint_variance, 1.0))
        deviation = max(-MAX_LOG_DEVIATION, min(request.log_cost_hint - mean, MAX_LOG_DEVIATION))
        return max(1.0, round(16 * math.exp(slope * deviation))) / 16

    def learn(self, request: HeldRequest, cost_ratio: float, runs_seen: list[int]) -> None:
        """Update the regression with a completed run.

        Args:
            request: The request that ran.
            cost_ratio: Core time of the run as a multiple of the expected core time of its class.
            runs_seen: Number of completed runs, by class.
        """
        if math.isnan(request.log_cost_hint):
            return
        class_index = request.class_index
        mean = self._mean_log_hint[class_index]
        deviation = 0.0 if math.isnan(mean) else request.log_cost_hint - mean
        self._mean_log_hint[class_index] = request.log_cost_hint if math.isnan(mean) else mean + FAST_WEIGHT * deviation
        weight = max(SLOW_WEIGHT, 1.0 / (MIN_OBSERVATIONS + sum(runs_seen)))
        self._hint_variance += weight * (deviation * deviation - self._hint_variance)
        self._hint_cost_covariance += weight * (
            deviation * math.log(max(0.01, cost_ratio)) - self._hint_cost_covariance
        )
