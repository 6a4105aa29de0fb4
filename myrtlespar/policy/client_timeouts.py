"""How long callers really wait, learned from the deadlines they pass and from when they leave."""

from __future__ import annotations

import math

from myrtlespar.policy.held_request import HeldRequest
from myrtlespar.policy.learning import FAST_WEIGHT, SURE_RUNS
from myrtlespar.policy.settings import Settings

AGREEMENT_FRACTION = 0.1  # fraction of a learned timeout within which departures count as agreeing with it
MIN_AGREEMENT = 0.4  # fraction of a caller's departures that must agree before its timeout is believed
DISAGREEMENT_WEIGHT = 0.3  # of a departure that is later than learned and does not agree
MAX_KNOWN_CALLERS = 200  # callers and classes whose timeout is remembered; the oldest goes first
SAME_WAIT_FRACTION = 0.01  # fraction by which a passed wait may differ and still be the caller's usual one
MAX_KNOWN_WAITS = 4  # usual waits of a class that are remembered at a time
RARE_WAIT_FRACTION = 0.2  # fraction of the commonest wait's count below which a wait is no first attempt's
MAX_WAIT_COUNT = 5.0 * SURE_RUNS  # a usual wait counts no more than this, so that a new one can replace it


class LearnedTimeout:
    """How long one caller waits for one class, and which fraction of its departures agrees with that."""

    __slots__ = ("agreement", "timeout_ms")

    def __init__(self, timeout_ms: float) -> None:
        self.timeout_ms = timeout_ms
        self.agreement = 0.0


class UsualWait:
    """A time until the deadline that callers of a class pass with first attempts, and how often it was seen."""

    __slots__ = ("count", "wait_ms")

    def __init__(self, wait_ms: float) -> None:
        self.wait_ms = wait_ms
        self.count = 1.0


class ClientTimeouts:
    """Timeouts of callers, and the usual waits by which a retry differs from a first attempt.

    Attributes:
        timeouts: What was learned for each (sender, class index).
        usual_waits: For each class the times left, in ms, that callers pass with first attempts.
    """

    def __init__(self, settings: Settings) -> None:
        self._classes = settings.classes
        self._is_inner_tier = settings.tier > 0
        self.timeouts: dict[tuple[int, int], LearnedTimeout] = {}
        self.usual_waits: list[list[UsualWait]] = [[] for _ in settings.classes]

    def timeout_ms(self, request: HeldRequest) -> float:
        """How long the caller of this request waits for its class; infinity if that is not known."""
        known = self.timeouts.get((request.sender, request.class_index))
        return known.timeout_ms if known is not None and known.agreement > MIN_AGREEMENT else math.inf

    def learn_departure(self, request: HeldRequest, now: float) -> None:
        """Learn how long a caller waits for a class, where its departures agree: a low quantile of their ages.

        Callers may give up before the latency objective; scattered departures (copies answered elsewhere)
        never agree and change nothing.
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
        """How long ago the first attempt of this retry was sent; 0 if it seems to be a first attempt.

        Callers pass the deadline of the first attempt with each retry, so that a retry has less time left than
        first attempts of its class usually have. The time left that is missing from the class's client timeout
        is the age.

        A retry whose latency objective, counted from the first attempt, has passed must not run. The usual waits
        are learned from all callers together, as a server may see each caller only once.
        """
        if deadline <= 0 or self._is_inner_tier:
            return 0.0
        class_index = request.class_index
        wait_ms = deadline - request.arrived
        waits = self.usual_waits[class_index]
        near = next(
            (usual for usual in waits if abs(wait_ms - usual.wait_ms) <= SAME_WAIT_FRACTION * usual.wait_ms), None
        )
        if near is not None:
            near.count = min(near.count + 1.0, MAX_WAIT_COUNT)
        elif len(waits) < MAX_KNOWN_WAITS:
            waits.append(UsualWait(wait_ms))
        else:
            for usual in waits:
                usual.count -= 1.0
            self.usual_waits[class_index] = [usual for usual in waits if usual.count > 0]
        most = max((usual.count for usual in waits), default=0.0)
        if (near.count if near is not None else 0.0) <= RARE_WAIT_FRACTION * most - 1.0:
            return max(0.0, self._classes[class_index].client_timeout_ms - wait_ms)
        return 0.0
