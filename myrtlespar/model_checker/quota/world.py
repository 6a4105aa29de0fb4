"""The explored state: three members whose demand exceeds the limit, their clocks, and the messages between them.

Times of the world are true milliseconds; each member reads a clock of its own, which may run fast or slow. A member's
belief about which members are present may be wrong in any way for a while, as membership does not exclude that.
"""

from __future__ import annotations

import pickle
from dataclasses import dataclass, field
from typing import Any

from myrtlespar.model_checker.quota.events import Event, EventKind
from myrtlespar.model_checker.quota.fault import Fault
from myrtlespar.model_checker.quota.simulated_engine import SimulatedEngine
from myrtlespar.model_checker.quota.usage_record import UsageRecord
from myrtlespar.model_checker.quota.world_settings import (
    DEMAND_INTERVAL_MS,
    DISK_MS,
    ENGINE_TIMEOUT_MS,
    HOP_MS,
    MEMBER_NAMES,
    WARM_UP_MS,
    WorldSettings,
    clock,
)
from myrtlespar.quota.budget import BudgetPeriod
from myrtlespar.quota.lease import Incarnation
from myrtlespar.quota.limit_coordinator import LimitCoordinator
from myrtlespar.quota.messages import LimitEffect, PersistThenSend, SendMessage
from myrtlespar.quota.settings import CountedUnit

ENGINE = "engine"  # name of the engine in `World.cuts`
KEY = "x"  # the only key whose use is limited


@dataclass(slots=True)
class World:
    """The complete state of a run; it is copied where runs branch."""

    settings: WorldSettings
    now: float = 0.0
    event_count: int = 0
    members: dict[str, LimitCoordinator | None] = field(default_factory=dict)  # None while a member's process is down
    incarnations: dict[str, int] = field(default_factory=dict)
    queue: list[Event] = field(default_factory=list)
    stopped: set[str] = field(default_factory=set)
    delayed: dict[str, list[Event]] = field(default_factory=dict)  # events that wait for a stopped member
    cuts: set[tuple[str, str]] = field(default_factory=set)  # (sender, recipient) pairs whose messages are lost
    beliefs: dict[str, frozenset[str]] = field(default_factory=dict)  # the members that each member believes present
    without_demand: set[str] = field(default_factory=set)  # members that make no requests
    faults: list[tuple[float, Fault]] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    usage: UsageRecord = field(default_factory=UsageRecord)
    engine: SimulatedEngine = field(default_factory=SimulatedEngine)
    disks: dict[str, dict[BudgetPeriod, int]] = field(default_factory=dict)  # budget totals on each member's disk
    engine_requests: dict[str, int] = field(default_factory=dict)  # incarnation of each member with a pending request
    adopted: set[str] = field(default_factory=set)  # members whose settings file has the later limit
    steps: int = 0

    def copy(self) -> World:
        """Return a complete copy."""
        world: World = pickle.loads(pickle.dumps(self, 5))
        return world

    def clock(self, name: str) -> float:
        """Return the time that a member's clock shows, in milliseconds."""
        return clock(self.settings, name, self.now)

    def schedule(self, after_ms: float, kind: EventKind, member: str, payload: Any = None, detail: Any = None) -> None:
        """Schedule an event after `after_ms`."""
        self.event_count += 1
        self.queue.append(Event(self.now + after_ms, self.event_count, kind, member, payload, detail))

    def next_event(self) -> Event:
        """Return the event that happens next."""
        return min(self.queue)

    def step(self) -> None:
        """Advance the time to the next event and apply it."""
        self.steps += 1
        event = self.next_event()
        self.queue.remove(event)
        self.now = max(self.now, event.at)
        self.handle(event)

    def handle(self, event: Event) -> None:
        """Apply an event now."""
        getattr(self, f"_on_{event.kind}")(event)

    def apply(self, fault: Fault) -> None:
        """Apply a fault now."""
        self.faults.append((self.now, fault))
        fault.apply(self)

    def set_belief(self, name: str, present: frozenset[str]) -> None:
        """Set which members a member believes present."""
        self.beliefs[name] = present
        coordinator = self.members[name]
        if coordinator is not None:
            coordinator.present_members = present

    def _running(self, event: Event) -> LimitCoordinator | None:
        """Return the coordinator that an event is for, or None if its incarnation has ended or is stopped.

        Events for a stopped member are delayed until it continues.
        """
        coordinator = self.members[event.member]
        if coordinator is None or self.incarnations[event.member] != event.payload:
            return None
        return None if self._delay_if_stopped(event) else coordinator

    def _delay_if_stopped(self, event: Event) -> bool:
        if event.member not in self.stopped:
            return False
        self.delayed.setdefault(event.member, []).append(event)
        return True

    def _on_start(self, event: Event) -> None:
        name = event.member
        incarnation = self.incarnations.get(name, 0) + 1
        self.incarnations[name] = incarnation
        settings = self.settings
        limit = settings.later_limit if name in self.adopted and settings.later_limit else settings.limit
        coordinator = LimitCoordinator(
            Incarnation(name, incarnation),
            settings.grant_settings,
            {KEY: limit},
            frozenset(MEMBER_NAMES),
            self.clock(name),
            1 + (name in self.adopted),
            settings.engine,
            self.disks.get(name),
        )
        self.members[name] = coordinator
        self.engine_requests.pop(name, None)
        coordinator.present_members = self.beliefs.get(name, frozenset(MEMBER_NAMES))
        self.schedule(0.0, EventKind.TICK, name, incarnation)
        self.schedule(MEMBER_NAMES.index(name) * 3.0, EventKind.WANT, name, incarnation)

    def _on_tick(self, event: Event) -> None:
        coordinator = self._running(event)
        if coordinator is None:
            return
        name = event.member
        self._carry_out(name, coordinator.tick(self.clock(name)))
        self._send_engine_request(name, event.payload)
        rate = self.settings.clock_rates[MEMBER_NAMES.index(name)]
        due_in_ms = (coordinator.next_at() - self.clock(name)) / rate
        self.schedule(max(1.0, due_in_ms), EventKind.TICK, name, event.payload)

    def _on_want(self, event: Event) -> None:
        coordinator = self._running(event)
        if coordinator is None:
            return
        name = event.member
        if name not in self.without_demand and coordinator.check_admission(self.clock(name), KEY).admitted:
            coordinator.consume(self.clock(name), KEY)
            self._start_run(name, event.payload)
        self.schedule(DEMAND_INTERVAL_MS, EventKind.WANT, name, event.payload)

    def _on_packet(self, event: Event) -> None:
        coordinator = self.members[event.member]
        if coordinator is None or (event.detail.name, event.member) in self.cuts:
            return
        if not self._delay_if_stopped(event):
            now = self.clock(event.member)
            self._carry_out(event.member, coordinator.receive(now, event.detail, event.payload))

    def _on_disk(self, event: Event) -> None:
        coordinator = self._running(event)
        if coordinator is None:
            return
        totals, effect = event.detail
        self.disks[event.member] = totals
        self._carry_out(event.member, coordinator.persisted(self.clock(event.member), effect))

    def _on_resume(self, event: Event) -> None:
        """Continue a stopped member; the payload tells whether its delayed events happen in reverse order."""
        self.stopped.discard(event.member)
        delayed = self.delayed.pop(event.member, [])
        for waiting in reversed(delayed) if event.payload else delayed:
            self.handle(waiting)

    def _on_heal(self, event: Event) -> None:
        self.cuts -= set(event.payload)

    def _on_believe(self, event: Event) -> None:
        self.set_belief(event.member, frozenset(MEMBER_NAMES))

    def _on_shun(self, event: Event) -> None:
        self.set_belief(event.member, frozenset(MEMBER_NAMES) - {event.payload})

    def _on_adopt(self, event: Event) -> None:
        """Change a member's settings file to the later limit, and let its process adopt it."""
        name = event.member
        coordinator = self.members[name]
        later_limit = self.settings.later_limit
        self.adopted.add(name)
        if self._delay_if_stopped(event):
            return
        if coordinator is not None and coordinator.version == 1 and later_limit is not None:
            self._carry_out(name, coordinator.adopt_limits(self.clock(name), {KEY: later_limit}, 2))

    def _on_loud(self, event: Event) -> None:
        self.without_demand.discard(event.member)

    def _start_run(self, name: str, incarnation: int) -> None:
        """Start a run that was admitted, and check that no more than `max_in_use` is in use."""
        limit = self.settings.limit
        in_use = self.usage.record_start(limit, name, self.now, self.clock(name))
        if limit.counted_unit is CountedUnit.AT_ONCE:
            # The durations of runs vary in a reproducible way.
            run_ms = limit.run_most_ms - (self.event_count % 5) * 12.0
            self.schedule(run_ms, EventKind.END, name, incarnation)
        if in_use > self.settings.max_in_use:
            self.violations.append(
                f"never over: {in_use} of {self.settings.max_in_use} in use as {name} admitted one at {self.now:.0f} ms"
            )

    def _on_end(self, event: Event) -> None:
        """End a run, and notify the member that admitted it if that incarnation still runs."""
        self.usage.in_flight -= 1
        coordinator = self.members[event.member]
        if coordinator is not None and self.incarnations[event.member] == event.payload:
            coordinator.run_ended(KEY)

    def _carry_out(self, name: str, effects: list[LimitEffect]) -> None:
        incarnation = self.incarnations[name]
        for effect in effects:
            if isinstance(effect, SendMessage):
                sender = Incarnation(name, incarnation)
                self.schedule(HOP_MS, EventKind.PACKET, effect.recipient, effect.message, sender)
            elif isinstance(effect, PersistThenSend):
                coordinator = self.members[name]
                assert coordinator is not None
                totals = dict(coordinator.budget_journal.totals)
                self.schedule(DISK_MS, EventKind.DISK, name, incarnation, (totals, effect))
        self._check_single_leader()

    def _check_single_leader(self) -> None:
        leaders = [
            name
            for name, coordinator in self.members.items()
            if coordinator is not None
            and name not in self.stopped
            and coordinator.shards[0].election.holds_lease(self.clock(name))
        ]
        if len(leaders) > 1:
            self.violations.append(f"one keeper: {' '.join(leaders)} at {self.now:.0f} ms")

    def _send_engine_request(self, name: str, incarnation: int) -> None:
        """Send the next due request to the engine unless one is pending, as a member's driver does."""
        coordinator = self.members[name]
        if coordinator is None or coordinator.lease_session is None or name in self.engine_requests:
            return
        request, effects = coordinator.next_engine_request(self.clock(name))
        self._carry_out(name, effects)
        if request is not None:
            self.engine_requests[name] = incarnation
            self.schedule(HOP_MS, EventKind.REQUEST, name, incarnation, request)

    def _on_request(self, event: Event) -> None:
        request = event.detail
        reply = None if (event.member, ENGINE) in self.cuts else self.engine.execute(self.now, request)
        if reply is None or (ENGINE, event.member) in self.cuts:
            self.schedule(ENGINE_TIMEOUT_MS, EventKind.REPLY, event.member, event.payload, (request, None))
        else:
            self.schedule(HOP_MS, EventKind.REPLY, event.member, event.payload, (request, reply))

    def _on_reply(self, event: Event) -> None:
        coordinator = self._running(event)
        if coordinator is None:
            return
        name = event.member
        request, reply = event.detail
        self.engine_requests.pop(name, None)
        self._carry_out(name, coordinator.engine_replied(self.clock(name), request, reply))
        if reply is not None:
            self._send_engine_request(name, event.payload)


def begin(settings: WorldSettings) -> World:
    """Return a world in which all members have started, a leader holds its lease, and members hold grants."""
    world = World(settings, members=dict.fromkeys(MEMBER_NAMES))
    for name in MEMBER_NAMES:
        world.schedule(0.0, EventKind.START, name)
    while world.now < WARM_UP_MS:
        world.step()
    return world
