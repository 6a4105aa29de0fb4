"""Fleet limits in virtual time: many agents, demand by chance at each, and how much of the limit is used.

Membership is taken as known; messages take `hop_ms`. The sum of starts in any window is judged as well.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from random import Random

from myrtlespar.net.codec.limits import LimitDatagram, encode
from myrtlespar.quota.admission_queue import AdmissionQueue
from myrtlespar.quota.lease import Incarnation
from myrtlespar.quota.limit_coordinator import LimitCoordinator
from myrtlespar.quota.messages import LimitEffect, LimitMessage, SendMessage
from myrtlespar.quota.settings import GrantSettings, Limit
from myrtlespar.simulation.event_loop import EventLoop


@dataclass(slots=True)
class LimitsResult:
    """What was seen of a run."""

    starts: Counter[int] = field(default_factory=Counter)  # by second
    tries: Counter[int] = field(default_factory=Counter)
    most: int = 0
    messages: int = 0
    bytes: int = 0  # of datagrams


class SimulatedLimits:
    """Agents of one fleet with one limit, all here, under one demand function."""

    def __init__(
        self,
        members: int,
        limit: Limit,
        terms: GrantSettings,
        seed: int,
        hop_ms: float = 1.0,
        keys: int = 0,
        sizes: bool = False,
        hold_ms: float = 0.0,
    ) -> None:
        """With `keys`, each request is of one of so many callers, each with the limit by itself. A request waits up
        to `hold_ms` for its place.
        """
        self.keys, self.sizes, self.hold_ms = keys, sizes, hold_ms
        self.engine, self.dice, self.limit, self.hop_ms = EventLoop(), Random(seed), limit, hop_ms
        self.names = [f"m{n}" for n in range(members)]
        self.agents = {
            name: LimitCoordinator(Incarnation(name, 1), terms, {"x": limit}, frozenset(self.names), 0.0)
            for name in self.names
        }
        self.places = {name: AdmissionQueue(agent) for name, agent in self.agents.items()}
        self.rates = dict.fromkeys(self.names, 0.0)
        self._count = 0
        self.lone: frozenset[str] = frozenset()
        self.starts_by: Counter[tuple[str, int]] = Counter()  # by member and second
        self._until: dict[str, float] = {}  # of those that wait
        self.seen = LimitsResult()
        self._window: deque[float] = deque()
        for agent in self.agents.values():
            agent.present_members = frozenset(self.names)
        for name in self.names:
            self.engine.at(self.dice.uniform(0, terms.ask_ms), self._tick, name)
            self.engine.at(0.0, self._want, name)

    def _tick(self, name: str) -> None:
        agent, now = self.agents[name], self.engine.now
        self._carry(name, agent.tick(now))
        if self.places[name].waiting:
            self._ready(name)
        self.engine.at(max(agent.next_at(), now + 1.0), self._tick, name)

    def _carry(self, name: str, effects: list[LimitEffect]) -> None:
        for effect in effects:
            if isinstance(effect, SendMessage) and (effect.recipient in self.lone) == (name in self.lone):
                self.seen.messages += 1
                if self.sizes:
                    self.seen.bytes += len(encode(LimitDatagram("emulated", name, 1, effect.message)))
                self.engine.at(self.engine.now + self.hop_ms, self._heard, effect.recipient, name, effect.message)

    def part(self, lone: frozenset[str], noticed_ms: float = 2000.0) -> None:
        """These are cut off from the rest from now on (nobody: all are joined again); membership notices later."""
        self.lone = lone
        self.engine.at(self.engine.now + noticed_ms, self._noticed, lone)

    def _noticed(self, lone: frozenset[str]) -> None:
        for name, agent in self.agents.items():
            agent.present_members = frozenset(other for other in self.names if (other in lone) == (name in lone))

    def _heard(self, to: str, sender: str, message: LimitMessage) -> None:
        self._carry(to, self.agents[to].receive(self.engine.now, Incarnation(sender, 1), message))

    def _want(self, name: str) -> None:
        now, rate = self.engine.now, self.rates[name]
        if rate <= 0:
            self.engine.at(now + 20.0, self._want, name)
            return
        self.engine.at(now + self.dice.expovariate(rate) * 1000, self._want, name)
        self.seen.tries[int(now / 1000)] += 1
        key = f"x/{self.dice.randrange(self.keys)}" if self.keys else "x"
        self._count += 1
        self._ask(name, f"{self._count}", key, now + self.hold_ms)

    def _ask(self, name: str, id: str, key: str, until: float) -> None:
        now, places = self.engine.now, self.places[name]
        refused, room = places.try_acquire(now, id, (key,))
        if refused:
            if now + room.retry_after_ms <= until:
                places.enqueue(id, until, (key,))
                self._until[id] = until
                self.engine.at(until, self._late, name, id)
                self.engine.at(now + room.retry_after_ms, self._ready, name)
            return
        self.seen.starts[int(now / 1000)] += 1
        self.starts_by[name, int(now / 1000)] += 1
        if self.keys:
            return
        while self._window and self._window[0] <= now - self.limit.window_ms:
            self._window.popleft()
        self._window.append(now)
        self.seen.most = max(self.seen.most, len(self._window))

    def _ready(self, name: str) -> None:
        places = self.places[name]
        for id in places.take_ready(self.engine.now):
            self._ask(name, id, "x", self._until.pop(id, self.engine.now))

    def _late(self, name: str, id: str) -> None:
        self.places[name].release(id)
        self._until.pop(id, None)

    def run(self, until_ms: float) -> None:
        """On to that time."""
        self.engine.run(until_ms)
