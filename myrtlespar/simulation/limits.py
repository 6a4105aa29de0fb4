"""Simulation of one fleet-wide limit: the limit coordinators of many members, with random demand at each.

It records how much of the limit is used, and the most starts within any window. Membership is not simulated:
each coordinator's set of present members is assigned directly. Each message between members takes `hop_ms`.
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
DETECTION_DELAY_MS = 2000.0  # from a cut or its end until the members' views reflect it
MS_PER_S = 1000


class MemberSecond(NamedTuple):
    """A member and a second of the run, counted from its start."""

    member: str
    second: int


@dataclass(slots=True)
class LimitsResult:
    """Counts of one run."""

    starts: Counter[int] = field(default_factory=Counter)  # by second of the run
    starts_by_member: Counter[MemberSecond] = field(default_factory=Counter)
    attempts: Counter[int] = field(default_factory=Counter)  # by second of the run
    max_in_window: int = 0  # most starts within any window; not measured if the limit applies to each caller
    message_count: int = 0  # messages between members
    byte_count: int = 0  # encoded size of the messages between members; 0 unless bytes are measured


class SimulatedLimits:
    """The limit coordinators of a fleet with one limit, and the requests that arrive at its members.

    Attributes:
        rates: The demand at each member, in requests per second. It may be changed during the run.
        result: The counts so far.
    """

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

        Args:
            members: The number of members.
            limit: The limit that all members share.
            settings: The settings of leases and grants.
            seed: The seed of all random choices.
            hop_ms: How long a message between two members takes.
            callers: If not 0, each request comes from one of this many callers, and the limit applies to each caller.
            measure_bytes: Whether messages are encoded to count their bytes.
            max_wait_ms: How long a request waits for capacity at most.
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
        self._deadlines: dict[str, float] = {}  # deadlines of queued requests in ms, by request ID
        self._recent_starts: deque[float] = deque()  # times within the last window of the limit
        self._start(settings.ask_ms)

    def _start(self, tick_interval_ms: float) -> None:
        for name, coordinator in self.coordinators.items():
            coordinator.present_members = frozenset(self.names)
            self.event_loop.call_at(self.random.uniform(0, tick_interval_ms), self._tick, name)
            self.event_loop.call_at(0.0, self._generate_request, name)

    def run(self, until_ms: float) -> None:
        """Run the simulation until this virtual time (ms)."""
        self.event_loop.run(until_ms)

    def isolate(self, members: frozenset[str]) -> None:
        """Cut off these members from the others; an empty set reconnects all.

        The coordinators' sets of present members follow after DETECTION_DELAY_MS.
        """
        self._isolated = members
        self.event_loop.call_at(self.event_loop.now + DETECTION_DELAY_MS, self._detect_cut, members)

    def _detect_cut(self, isolated: frozenset[str]) -> None:
        for name, coordinator in self.coordinators.items():
            coordinator.present_members = frozenset(
                other for other in self.names if (other in isolated) == (name in isolated)
            )

    # Coordinators and their messages.

    def _tick(self, name: str) -> None:
        coordinator = self.coordinators[name]
        now = self.event_loop.now
        self._apply_effects(name, coordinator.tick(now))
        if self.queues[name].waiting:
            self._admit_ready(name)
        self.event_loop.call_at(max(coordinator.next_at(), now + 1.0), self._tick, name)

    def _apply_effects(self, name: str, effects: list[LimitEffect]) -> None:
        for effect in effects:
            if not isinstance(effect, SendMessage):
                continue
            if (effect.recipient in self._isolated) != (name in self._isolated):
                continue
            self.result.message_count += 1
            if self.measure_bytes:
                self.result.byte_count += len(encode(LimitDatagram("emulated", name, 1, effect.message)))
            arrives_at = self.event_loop.now + self.hop_ms
            self.event_loop.call_at(arrives_at, self._receive, effect.recipient, name, effect.message)

    def _receive(self, recipient: str, sender: str, message: LimitMessage) -> None:
        effects = self.coordinators[recipient].receive(self.event_loop.now, Incarnation(sender, 1), message)
        self._apply_effects(recipient, effects)

    # Requests and their admission.

    def _generate_request(self, name: str) -> None:
        now = self.event_loop.now
        rate = self.rates[name]
        if rate <= 0:
            self.event_loop.call_at(now + IDLE_POLL_MS, self._generate_request, name)
            return
        self.event_loop.call_at(now + self.random.expovariate(rate) * MS_PER_S, self._generate_request, name)
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
            self.event_loop.call_at(deadline, self._expire_request, name, request_id)
            self.event_loop.call_at(now + check.retry_after_ms, self._admit_ready, name)

    def _record_start(self, name: str) -> None:
        now = self.event_loop.now
        second = int(now / MS_PER_S)
        self.result.starts[second] += 1
        self.result.starts_by_member[MemberSecond(name, second)] += 1
        if self.callers:  # the limit applies to each caller; a count over all callers says nothing about it
            return
        while self._recent_starts and self._recent_starts[0] <= now - self.limit.window_ms:
            self._recent_starts.popleft()
        self._recent_starts.append(now)
        self.result.max_in_window = max(self.result.max_in_window, len(self._recent_starts))

    def _admit_ready(self, name: str) -> None:
        for request_id in self.queues[name].take_ready(self.event_loop.now):
            self._try_start(name, request_id, LIMIT_NAME, self._deadlines.pop(request_id, self.event_loop.now))

    def _expire_request(self, name: str, request_id: str) -> None:
        self.queues[name].release(request_id)
        self._deadlines.pop(request_id, None)
