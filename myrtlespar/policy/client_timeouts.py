"""Learns how long callers wait for an answer, from the deadlines that they pass and from when they disconnect."""

from __future__ import annotations

import math

from myrtlespar.policy.held_request import HeldRequest
from myrtlespar.policy.learning import FAST_WEIGHT, MIN_OBSERVATIONS
from myrtlespar.policy.settings import Settings

AGREEMENT_FRACTION = 0.1  # relative difference up to which a departure agrees with the learned timeout
MIN_AGREEMENT = 0.4  # fraction of a caller's departures that must agree before its learned timeout is used
DISAGREEMENT_WEIGHT = 0.3  # weight of a departure that is later than the learned timeout and does not agree with it
MAX_KNOWN_CALLERS = 200  # pairs of caller and class whose timeout is stored; the oldest is evicted first
SAME_WAIT_FRACTION = 0.01  # fraction by which two waits may differ and still count as the same
MAX_KNOWN_WAITS = 4  # usual waits that are stored for each class
RARE_WAIT_FRACTION = 0.2  # fraction of the highest count below which a wait is taken to be that of a retry
MAX_WAIT_COUNT = 5.0 * MIN_OBSERVATIONS  # upper bound of a wait's count, so that a new wait can replace it


class LearnedTimeout:
    """The timeout of one caller for one class, and the fraction of the caller's departures that agree with it."""

    __slots__ = ("agreement", "timeout_ms")

    def __init__(self, timeout_ms: float) -> None:
        self.timeout_ms = timeout_ms
        self.agreement = 0.0


class UsualWait:
    """The time until the deadline that callers pass with first attempts of a class, and how often it was seen."""

    __slots__ = ("count", "wait_ms")

    def __init__(self, wait_ms: float) -> None:
        self.wait_ms = wait_ms
        self.count = 1.0


class ClientTimeouts:
    """Learned timeouts of callers, and the usual waits that distinguish retries from first attempts.

    Attributes:
        timeouts: The learned timeout of each pair of sender and class index.
        usual_waits: Times until the deadline that callers pass with first attempts, by class.
    """

    def __init__(self, settings: Settings) -> None:
        self._classes = settings.classes
        self._is_inner_tier = settings.tier > 0
        self.timeouts: dict[tuple[int, int], LearnedTimeout] = {}
        self.usual_waits: list[list[UsualWait]] = [[] for _ in settings.classes]

    def timeout_ms(self, request: HeldRequest) -> float:
        """Return how long in ms the caller of a request waits for its class; infinity if that is not known."""
        known = self.timeouts.get((request.sender, request.class_index))
        return known.timeout_ms if known is not None and known.agreement > MIN_AGREEMENT else math.inf

    def learn_departure(self, request: HeldRequest, now: float) -> None:
        """Update the learned timeout of a caller whose request was abandoned: a low quantile of its departures' ages.

        The learned timeout is used only if enough departures agree with it. Callers may time out before the latency
        objective. Departures at scattered ages, as of requests that the caller also sent to another server, which
        answered first, never agree and have no effect.
        """
        age_ms = max(1.0, now - request.arrived)
        key = (request.sender, request.class_index)
        known = self.timeouts.get(key)
        if known is None:
            known = self.timeouts[key] = LearnedTimeout(age_ms)
        if len(self.timeouts) > MAX_KNOWN_CALLERS:
            self.timeouts.pop(next(iter(self.timeouts)))
        agrees = abs(age_ms - known.timeout_ms) < AGREEMENT_FRACTION * known.timeout_ms
        known.agreement += FAST_WEIGHT * (float(agrees) - known.agreement)
        weight = 1.0 if age_ms < known.timeout_ms or agrees else DISAGREEMENT_WEIGHT
        known.timeout_ms += FAST_WEIGHT * (age_ms - known.timeout_ms) * weight

    def retry_age_ms(self, request: HeldRequest, deadline: float) -> float:
        """Return how many ms ago the first attempt of a retry was sent; 0 for what seems to be a first attempt.

        Callers pass the deadline of the first attempt with each retry, so that a retry has less time left than first
        attempts of its class usually have. Its age is the client timeout of its class less the time left.

        The age matters because a retry must not run once its latency objective, counted from the first attempt, has
        passed. The usual waits are learned from all callers together, as a server may see each caller only once.
        """
        if deadline <= 0 or self._is_inner_tier:
            return 0.0
        class_index = request.class_index
        wait_ms = deadline - request.arrived
        waits = self.usual_waits[class_index]
        matching = next(
            (usual for usual in waits if abs(wait_ms - usual.wait_ms) <= SAME_WAIT_FRACTION * usual.wait_ms), None
        )
        if matching is not None:
            matching.count = min(matching.count + 1.0, MAX_WAIT_COUNT)
        elif len(waits) < MAX_KNOWN_WAITS:
            waits.append(UsualWait(wait_ms))
        else:
            for usual in waits:
                usual.count -= 1.0
            self.usual_waits[class_index] = [usual for usual in waits if usual.count > 0]
        highest_count = max((usual.count for usual in waits), default=0.0)
        if (matching.count if matching is not None else 0.0) <= RARE_WAIT_FRACTION * highest_count - 1.0:
            return max(0.0, self._classes[class_index].client_timeout_ms - wait_ms)
        return 0.0
