"""Fleet limits in virtual time: many coordinators, random demand at each, and how much of the limit is used.

Membership is not simulated: what members believe of it is set. Messages take `hop_ms`. The starts in any window are
counted as well.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from myrtlespar.net.codec.limits import LimitDatagram, encode
from myrtlespar.quota.admission_queue import AdmissionQueue
from myrtlespar.quota.lease import Incarnation
from myrtlespar.quota.limit_coordinator import LimitCoordinator
from myrtlespar.quota.messages import LimitEffect, LimitMessage, SendMessage
from myrtlespar.quota.settings import GrantSettings, Limit
from myrtlespar.simulation.event_loop import EventLoop

LIMIT_NAME = "x"
IDLE_POLL_MS = 20.0  # interval at which a member without demand checks for new demand
BELIEF_DELAY_MS = 2000.0  # from a cut until membership detects it
MS_PER_S = 1000


class MemberSecond(NamedTuple):
    """One second of the run at one member."""

    member: str
    second: int


@dataclass(slots=True)
class LimitsResult:
    """What was observed of a run."""

    starts: Counter[int] = field(default_factory=Counter)  # by second
    starts_by_member: Counter[MemberSecond] = field(default_factory=Counter)
    attempts: Counter[int] = field(default_factory=Counter)  # by second
    max_in_window: int = 0
    messages: int = 0
    bytes: int = 0  # of datagrams, if they are measured


class SimulatedLimits:
    """The coordinators of one fleet with one limit, and the demand at each member in requests a second (`rates`)."""

    def __init__(
        self,
        members: int,
        limit: Limit,
        settings: GrantSettings,
        seed: int,
        hop_ms: float = 1.0,
        callers: int = 0,
        measure_bytes: bool = False,
        max_wait_ms: float = 0.0,
    ) -> None:
        """Create a fleet without demand.

        With `callers`, each request is of one of so many, and the limit applies to each of them separately. A request
        waits up to `max_wait_ms` for capacity.
        """
        self.callers = callers
        self.measure_bytes = measure_bytes
        self.max_wait_ms = max_wait_ms
        self.event_loop = EventLoop()
        self.random = Random(seed)
        self.limit = limit
        self.hop_ms = hop_ms
        self.names = [f"m{number}" for number in range(members)]
        voters = frozenset(self.names)
        limits = {LIMIT_NAME: limit}
        self.coordinators = {
            name: LimitCoordinator(Incarnation(name, 1), settings, limits, voters, 0.0) for name in self.names
        }
        self.queues = {name: AdmissionQueue(coordinator) for name, coordinator in self.coordinators.items()}
        self.rates = dict.fromkeys(self.names, 0.0)
        self.result = LimitsResult()
        self._request_count = 0
        self._isolated: frozenset[str] = frozenset()
        self._deadlines: dict[str, float] = {}  # of waiting requests
        self._recent_starts: deque[float] = deque()  # within the last window
        self._start(settings.ask_ms)

    def _start(self, tick_interval_ms: float) -> None:
        for name, coordinator in self.coordinators.items():
            coordinator.present_members = frozenset(self.names)
            self.event_loop.at(self.random.uniform(0, tick_interval_ms), self._tick, name)
            self.event_loop.at(0.0, self._generate_request, name)

    def run(self, until_ms: float) -> None:
        """Run until that virtual time."""
        self.event_loop.run(until_ms)

    def isolate(self, members: frozenset[str]) -> None:
        """Cut these members off from the others; without any, all are connected again. Membership detects it later."""
        self._isolated = members
        self.event_loop.at(self.event_loop.now + BELIEF_DELAY_MS, self._detect_cut, members)

    def _detect_cut(self, isolated: frozenset[str]) -> None:
        for name, coordinator in self.coordinators.items():
            coordinator.present_members = frozenset(
                other for other in self.names if (other in isolated) == (name in isolated)
            )

    # Coordinators.

    def _tick(self, name: str) -> None:
        coordinator = self.coordinators[name]
        now = self.event_loop.now
        self._carry_out(name, coordinator.tick(now))
        if self.queues[name].waiting:
            self._admit_ready(name)
        self.event_loop.at(max(coordinator.next_at(), now + 1.0), self._tick, name)

    def _carry_out(self, name: str, effects: list[LimitEffect]) -> None:
        for effect in effects:
            if not isinstance(effect, SendMessage):
                continue
            if (effect.recipient in self._isolated) != (name in self._isolated):
                continue
            self.result.messages += 1
            if self.measure_bytes:
                self.result.bytes += len(encode(LimitDatagram("emulated", name, 1, effect.message)))
            arrives_at = self.event_loop.now + self.hop_ms
            self.event_loop.at(arrives_at, self._receive, effect.recipient, name, effect.message)

    def _receive(self, recipient: str, sender: str, message: LimitMessage) -> None:
        effects = self.coordinators[recipient].receive(self.event_loop.now, Incarnation(sender, 1), message)
        self._carry_out(recipient, effects)

    # Requests.

    def _generate_request(self, name: str) -> None:
        now = self.event_loop.now
        rate = self.rates[name]
        if rate <= 0:
            self.event_loop.at(now + IDLE_POLL_MS, self._generate_request, name)
            return
        self.event_loop.at(now + self.random.expovariate(rate) * MS_PER_S, self._generate_request, name)
        self.result.attempts[int(now / MS_PER_S)] += 1
        key = f"{LIMIT_NAME}/{self.random.randrange(self.callers)}" if self.callers else LIMIT_NAME
        self._request_count += 1
        self._try_start(name, f"{self._request_count}", key, now + self.max_wait_ms)

    def _try_start(self, name: str, request_id: str, key: str, deadline: float) -> None:
        now = self.event_loop.now
        queue = self.queues[name]
        rejecting_key, check = queue.try_acquire(now, request_id, (key,))
        if not rejecting_key:
            self._record_start(name)
        elif now + check.retry_after_ms <= deadline:
            queue.enqueue(request_id, deadline, (key,))
            self._deadlines[request_id] = deadline
            self.event_loop.at(deadline, self._abandon, name, request_id)
            self.event_loop.at(now + check.retry_after_ms, self._admit_ready, name)

    def _record_start(self, name: str) -> None:
        now = self.event_loop.now
        second = int(now / MS_PER_S)
        self.result.starts[second] += 1
        self.result.starts_by_member[MemberSecond(name, second)] += 1
        if self.callers:  # the limit applies to each of them, not to the sum
            return
        while self._recent_starts and self._recent_starts[0] <= now - self.limit.window_ms:
            self._recent_starts.popleft()
        self._recent_starts.append(now)
        self.result.max_in_window = max(self.result.max_in_window, len(self._recent_starts))

    def _admit_ready(self, name: str) -> None:
        for request_id in self.queues[name].take_ready(self.event_loop.now):
            self._try_start(name, request_id, LIMIT_NAME, self._deadlines.pop(request_id, self.event_loop.now))

    def _abandon(self, name: str, request_id: str) -> None:
        self.queues[name].release(request_id)
        self._deadlines.pop(request_id, None)
