"""The core: owns the policy, feeds it what happened, carries out what it decides. It knows no wire."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import gevent
import structlog
from gevent.event import Event

from myrtlespar import interface as api
from myrtlespar.counters import Counters
from myrtlespar.decide import Policy
from myrtlespar.exchange import Answer, Exchange, Kind
from myrtlespar.interface import Effect, Outcome
from myrtlespar.limits import Limits

log = structlog.get_logger()


def unix_ms() -> float:
    """The Unix clock, in milliseconds."""
    return time.time() * 1000.0


class Engine(Protocol):
    """What runs requests."""

    def run(self, exchange: Exchange) -> None:
        """Start it; the core hears of its end by `ended`."""

    def resume(self, exchange: Exchange, reply: bytes) -> None:
        """Hand a run the reply to the call it waits for."""


class Dependency(Protocol):
    """What runs call."""

    def call(self, id: str, limit_ms: float, body: bytes) -> None:
        """Make a call; the core hears of its end by `called`."""

    def drop(self, id: str) -> None:
        """Nobody needs this call any longer."""


class Gauges(Protocol):
    """Where the gauges for ticks come from."""

    def ask(self) -> None:
        """Ask for fresh ones."""

    def latest(self, now: float) -> list[float]:
        """The freshest there are, or none."""


@dataclass(slots=True)
class Known:
    """What an idempotency key stands for: the try that may run, then its outcome."""

    owner: Exchange
    outcome: Answer | None = None


class Core:
    """One greenlet that takes events in batches and acts on what the policy says."""

    def __init__(self, settings: api.Settings, seed: int, limits: Limits, counters: Counters) -> None:
        self.settings, self.limits, self.counters = settings, limits, counters
        self.policy = Policy(settings, seed)
        self.engines: dict[str, Engine] = {}
        self.dependency: Dependency | None = None
        self.gauges: Gauges | None = None
        self.close_idle: Callable[[float], None] = lambda after_ms: None
        self.value = 1.0  # what is advertised with every answer
        self.healthy = True
        self.draining = False
        self.kill_at = float("inf")
        self.open: dict[str, Exchange] = {}  # by id, until answered and no longer running
        self.owed = 0  # exchanges without their final answer
        self._mail: list[api.Event | Exchange] = []
        self._ready = Event()
        self._wakes: list[tuple[float, int]] = [(unix_ms(), 0)]
        self._asked = False
        self._sweep_at = 0.0
        self._keys: dict[tuple[int, str], Known] = {}
        self._expiry: deque[tuple[float, tuple[int, str]]] = deque()
        self._stop = False

    # What happened, told by the fronts and back ends.

    def submit(self, exchange: Exchange) -> bool:
        """A request was read whole. False: its id is in use, nothing was taken."""
        if exchange.id in self.open:
            return False
        exchange.due = exchange.arrived + self.settings.classes[exchange.cls].give_up_ms
        self.open[exchange.id] = exchange
        self.owed += 1
        self.counters.add(f"in.request.{exchange.front}")
        if not self._known(exchange):
            self._post(exchange)
        return True

    def gone(self, exchange: Exchange) -> None:
        """Nobody waits for this request any longer."""
        if not self._settle(exchange, Answer(Kind.GONE)):
            return
        if not exchange.started:  # held: it will never start now
            self.open.pop(exchange.id, None)
            self._pass_on(exchange)
        self._post(api.CallerGone(exchange.id))

    def ended(self, id: str, outcome: Outcome, elapsed_ms: float, answer: Answer | None = None) -> None:
        """A run is over; `answer` is its result, or how it failed."""
        exchange = self.open.get(id)
        if exchange is None or not exchange.started:
            return
        del self.open[id]
        if self.dependency:
            self.dependency.drop(id)  # guards the store against calls of a run that was ended at its call
        final = answer or Answer(Kind.FAILED)
        self._settle(exchange, final)
        self._conclude(exchange, final)
        self._post(api.RunEnded(id, outcome, elapsed_ms))

    def call_needed(self, id: str, body: bytes) -> None:
        """A run waits for a call."""
        if (exchange := self.open.get(id)) is not None:
            exchange.call_body = body
            self._post(api.CallNeeded(id))

    def called(self, id: str, outcome: Outcome, elapsed_ms: float, reply: bytes = b"") -> None:
        """A call came back."""
        self.counters.add(f"store.{outcome.value.replace(' ', '_')}")
        exchange = self.open.get(id)
        if exchange is None:
            return
        if outcome is Outcome.OK:
            self.engines[exchange.target].resume(exchange, reply)
        self._post(api.CallEnded(id, outcome, elapsed_ms))

    def drain(self) -> None:
        """Notice to leave."""
        if not self.draining:
            self.draining = True
            self.kill_at = unix_ms() + self.limits.stop_ms
            self._post(api.Drain(self.kill_at))

    def _post(self, event: api.Event | Exchange) -> None:
        self._mail.append(event)
        self._ready.set()

    # The greenlet.

    def run(self) -> None:
        """Take batches until told to stop."""
        while not self._stop:
            self._turn()
            if self._mail:
                gevent.sleep(0)  # guards against a stream of events that lets nothing else run
            else:
                self._ready.wait(max(0.0, self._next_turn() - unix_ms()) / 1000.0)
            self._ready.clear()

    def _next_turn(self) -> float:
        """When something is due if nothing happens. Guards against turns that come early and find nothing."""
        wake = min(at for at, _ in self._wakes)
        return min(self._sweep_at, wake if self._asked else wake - self.limits.gauge_lead_ms)

    def stop(self) -> None:
        """End the greenlet after its present turn."""
        self._stop = True
        self._ready.set()

    def _turn(self) -> None:
        now = unix_ms()
        self.counters.add("core.turn")
        if not self._asked and now >= min(at for at, _ in self._wakes) - self.limits.gauge_lead_ms:
            self._asked = True
            if self.gauges:
                self.gauges.ask()
        mail, self._mail = self._mail, []
        events = [self._arrival(item, now) if isinstance(item, Exchange) else item
                  for item in mail if not (isinstance(item, Exchange) and item.answer)]
        ticks = [wake for wake in self._wakes if wake[0] <= now]
        if ticks:
            self._wakes = [wake for wake in self._wakes if wake[0] > now]
            self._asked = False
            self.counters.add("core.tick", len(ticks))
            seen = self.gauges.latest(now) if self.gauges else []
            events.extend(api.Tick(token, seen) for _, token in ticks)
        if events:
            for action in self._decide(now, events):
                self._act(action, now)
            if not self._wakes:  # guards against housekeeping that ends for good with one lost tick
                self._wakes.append((now + self.limits.sweep_ms, 0))
        if now >= self._sweep_at:
            self._sweep_at = now + self.limits.sweep_ms
            self._sweep(now)

    def _decide(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Guards against a fault of the module: the sweep still answers what it leaves open."""
        try:
            return self.policy.handle(now, events)
        except Exception:
            self.counters.add("core.fault")
            log.exception("the module failed", events=len(events))
            return []

    def _arrival(self, exchange: Exchange, now: float) -> api.Arrival:
        return api.Arrival(exchange.id, exchange.cls, exchange.kb, max(0.0, now - exchange.arrived),
                           sender=exchange.sender, rank=exchange.rank, further_try=exchange.again)

    def _act(self, action: api.Action, now: float) -> None:
        match action:
            case api.Run(id):
                self._run(self.open.get(id))
            case api.Refuse(id, retry_after_ms, last):
                self._finish(id, Answer(Kind.REFUSED, retry_after_ms=retry_after_ms, last=last))
            case api.Fail(id):
                self._finish(id, Answer(Kind.FAILED, late=True))
            case api.Call(id, limit_ms):
                if self.dependency and (exchange := self.open.get(id)):
                    self.counters.add("store.call")
                    self.dependency.call(id, limit_ms, exchange.call_body)
            case api.Advertise(value):
                self.value = value
            case api.SetHealth(good, _):
                self.healthy = good
            case api.CloseIdle(after_ms):
                self.close_idle(after_ms)
            case api.Wake(after_ms, token):
                self._wakes.append((now + after_ms, token))
            case api.Log(text):
                log.info("policy", text=text)
            case _:  # stops, joins, keys and skipped calls: no setting of this site leads to them
                log.error("action not served", action=repr(action))

    def _run(self, exchange: Exchange | None) -> None:
        if exchange is not None and not exchange.started:  # guards against a second start of one request
            exchange.started = True
            self.counters.add("run.started")
            self.engines[exchange.target].run(exchange)

    def _finish(self, id: str, answer: Answer) -> None:
        """A final answer by the policy. What runs stays known until its run ends."""
        exchange = self.open.get(id)
        if exchange is None:
            return
        self._settle(exchange, answer)
        if exchange.started:
            if self.dependency:
                self.dependency.drop(id)
            return
        del self.open[id]
        self._conclude(exchange, answer)

    def _settle(self, exchange: Exchange, answer: Answer) -> bool:
        if not exchange.settle(answer):
            self.counters.add(f"answer.dropped.{exchange.front}")
            return False
        self.owed -= 1
        self.counters.add(f"answer.{answer.kind.value}.{exchange.front}")
        if answer.kind is Kind.GONE and exchange.started and self.dependency:
            self.dependency.drop(exchange.id)
        return True

    def _sweep(self, now: float) -> None:
        """Guards against anything that leaves a request open: a lost run, a policy that forgot it."""
        end = self.kill_at - self.limits.sweep_ms if self.draining else float("inf")
        for exchange in list(self.open.values()):
            follows = self._waits_for_another(exchange)
            last = min(exchange.due + (0.0 if follows else self.limits.overdue_ms), end)
            if exchange.answer is None and now >= last:
                if follows:
                    del self.open[exchange.id]
                else:
                    self.counters.add("answer.overdue")
                self._settle(exchange, Answer(Kind.FAILED, late=True))
        while self._expiry and self._expiry[0][0] <= now:
            self._keys.pop(self._expiry.popleft()[1], None)

    # Idempotency keys: a repeat of a started order never starts again.

    def _known(self, exchange: Exchange) -> bool:
        """Whether the outcome of another try answers this one, now or later."""
        if not exchange.key or self.settings.classes[exchange.cls].effect is Effect.SAFE:
            return False
        slot = (exchange.cls, exchange.key)
        known = self._keys.get(slot)
        if known is None:
            if len(self._keys) >= self.limits.keys:  # guards against a flood of keys: none is forgotten early
                self._turn_away(exchange, Answer(Kind.REFUSED, retry_after_ms=self._retry_after()))
                return True
            self._keys[slot] = Known(exchange)
            return False
        self.counters.add(f"in.repeat.{exchange.front}")
        if known.outcome is not None:
            self._turn_away(exchange, known.outcome)
        elif len(known.owner.followers) >= self.limits.followers:
            self._turn_away(exchange, Answer(Kind.FAILED))
        else:
            known.owner.followers.append(exchange)
        return True

    def _retry_after(self) -> float:
        return self.settings.max_retry_after_ms or 1000.0

    def _turn_away(self, exchange: Exchange, answer: Answer) -> None:
        del self.open[exchange.id]
        self._settle(exchange, answer)

    def _waits_for_another(self, exchange: Exchange) -> bool:
        known = self._keys.get((exchange.cls, exchange.key)) if exchange.key else None
        return known is not None and known.owner is not exchange

    def _conclude(self, exchange: Exchange, outcome: Answer) -> None:
        """A keyed try is over: its followers share the outcome; what never ran frees its key."""
        slot = (exchange.cls, exchange.key)
        known = self._keys.get(slot) if exchange.key else None
        if known is None or known.owner is not exchange:
            return
        waiting = [one for one in exchange.followers if one.answer is None]
        exchange.followers = []
        if exchange.started and outcome.kind is not Kind.REFUSED:
            # Guards memory: long results are not remembered, a late repeat of those is failed.
            short = len(outcome.body) <= self.limits.result_bytes
            known.outcome = outcome if short else Answer(Kind.FAILED)
            self._expiry.append((unix_ms() + self.limits.key_ms, slot))
        else:
            del self._keys[slot]
        for one in waiting:
            del self.open[one.id]
            self._settle(one, outcome)

    def _pass_on(self, exchange: Exchange) -> None:
        """A held try's caller left before it started: its first follower takes its place."""
        slot = (exchange.cls, exchange.key)
        known = self._keys.get(slot) if exchange.key else None
        if known is None:
            return
        if known.owner is not exchange:
            known.owner.followers = [one for one in known.owner.followers if one is not exchange]
            return
        waiting = [one for one in exchange.followers if one.answer is None]
        exchange.followers = []
        if not waiting:
            del self._keys[slot]
            return
        known.owner = waiting[0]
        waiting[0].followers = waiting[1:]
        self._post(waiting[0])
