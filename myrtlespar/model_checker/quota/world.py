"""Three members that all want more than there is, their clocks, the messages between them, and what can go wrong.

Times of the world are true; each member reads a clock of its own that runs fast or slow. What any member believes of
who is here is no promise of membership: it may be wrong in any way for a while.
"""

from __future__ import annotations

import pickle
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from myrtlespar.model_checker.quota.engine import Engine
from myrtlespar.quota.budget import BudgetPeriod, period_number
from myrtlespar.quota.lease import Incarnation
from myrtlespar.quota.limit_coordinator import LimitCoordinator
from myrtlespar.quota.messages import LimitCounter, LimitEffect, PersistThenSend, SendMessage
from myrtlespar.quota.settings import GrantSettings, Limit, LimitKind

NAMES = ("a", "b", "c")
HOP_MS = 1.0
TERMS = GrantSettings(drift=0.02, ask_ms=50, grant_ms=300, lease_ms=200, ranges=1, cold_ms=500)
RATE = Limit(per_s=35.0, window_ms=200, standing=0.5)  # 7 a window: a pool of 4, standing 1 each
LOOSE = Limit(per_s=35.0, window_ms=200, standing=0.5, kind=LimitKind.BOUNDED)
HAND = Limit(at_once=7, run_most_ms=450, standing=0.5)  # longer than a lease: voters' silence does not cover it
# A tenth less or more, at the place where a whole part moves from all standing shares to the pool
LESS, MORE = (Limit(per_s=now * 5.0, before=was * 5.0, window_ms=200, standing=0.5) for now, was in ((5, 6), (6, 5)))
WAS = {limit.amount: Limit(per_s=limit.before, window_ms=200, standing=0.5) for limit in (LESS, MORE)}
BUDGET = Limit(per_day=150, period_ms=2000)  # members' clocks are a second apart
DISK_MS = 3.0
WARM_MS = 900.0
LOST_MS = 45.0  # after which an answer of the engine is taken for lost
FLOOD_MS = 11.0  # between the tries of a member
Fault = tuple[Any, ...]
Row = tuple[float, int, str, str, Any, Any]


@dataclass(frozen=True, slots=True)
class Setting:
    """What a world is about."""

    limit: Limit = RATE
    rates: tuple[float, float, float] = (1.0, 1.0, 1.0)  # of the members' clocks
    terms: GrantSettings = TERMS
    engine: bool = False  # an engine says who keeps what
    later: Limit | None = None  # version 2 of the limit, for plans that change it

    @property
    def most(self) -> int:
        """What may be in use at a time: the greater number of the two."""
        return max(self.limit.amount, self.later.amount if self.later else 0) + self.terms.max_excess(self.limit)


@dataclass(slots=True)
class World:
    """All there is. `queue` holds (time, number, kind, receiver, what, sender)."""

    setting: Setting
    now: float = 0.0
    count: int = 0
    members: dict[str, LimitCoordinator | None] = field(default_factory=dict)
    lives: dict[str, int] = field(default_factory=dict)
    queue: list[Row] = field(default_factory=list)
    stopped: set[str] = field(default_factory=set)
    kept: dict[str, list[Row]] = field(default_factory=dict)
    cuts: set[tuple[str, str]] = field(default_factory=set)
    belief: dict[str, frozenset[str]] = field(default_factory=dict)
    quiet: set[str] = field(default_factory=set)  # members without demand
    faults: list[tuple[float, Fault]] = field(default_factory=list)
    fell: list[str] = field(default_factory=list)
    starts: deque[float] = field(default_factory=deque)  # within the last window
    hand: int = 0
    most: int = 0  # in use at a time, the greatest
    used: dict[str, int] = field(default_factory=dict)  # starts by member
    engine: Engine = field(default_factory=Engine)
    disks: dict[str, dict[BudgetPeriod, int]] = field(default_factory=dict)
    spent: dict[int, int] = field(default_factory=dict)  # of a budget, by period
    asking: dict[str, int] = field(default_factory=dict)  # members with a request at the engine: their life
    adopted: set[str] = field(default_factory=set)  # members whose file has the later version
    began: list[float] = field(default_factory=list)  # when leases began
    steps: int = 0

    def copy(self) -> World:
        """A whole copy."""
        world: World = pickle.loads(pickle.dumps(self, 5))
        return world

    def clock(self, name: str) -> float:
        """What a member's clock shows."""
        return self.now * self.setting.rates[NAMES.index(name)] + 1000.0 * NAMES.index(name)

    def put(self, after: float, kind: str, to: str, what: Any = None, sender: Any = None) -> None:
        """Something comes."""
        self.count += 1
        self.queue.append((self.now + after, self.count, kind, to, what, sender))

    def next(self) -> Row:
        """What comes first."""
        return min(self.queue)

    def go(self) -> None:
        """One step."""
        self.steps += 1
        row = self.next()
        self.queue.remove(row)
        self.now = max(self.now, row[0])
        getattr(self, f"do_{row[2]}")(row)

    # What comes.

    def do_tick(self, row: Row) -> None:
        """A member's clock is due. One that is stopped is late."""
        _, _, _, name, life, _ = row
        agent = self.members[name]
        if agent is None or self.lives[name] != life:
            return
        if name in self.stopped:
            self.kept.setdefault(name, []).append(row)
            return
        self.carry(name, agent.tick(self.clock(name)))
        self.ask_engine(name, life)
        rate = self.setting.rates[NAMES.index(name)]
        self.put(max(1.0, (agent.next_at() - self.clock(name)) / rate), "tick", name, life)

    def ask_engine(self, name: str, life: int) -> None:
        """A member's driver sends what is due, one request at a time."""
        agent = self.members[name]
        if agent is None or agent.lease_session is None or name in self.asking:
            return
        request, effects = agent.next_engine_request(self.clock(name))
        self.carry(name, effects)
        if request is not None:
            self.asking[name] = life
            self.put(HOP_MS, "request", name, life, request)

    def do_request(self, row: Row) -> None:
        """A request reaches the engine, or does not."""
        _, _, _, name, life, request = row
        reply = None if (name, "engine") in self.cuts else self.engine.carry(self.now, request)
        lost = reply is None or ("engine", name) in self.cuts
        self.put(LOST_MS if lost else HOP_MS, "reply", name, life, (request, None if lost else reply))

    def do_reply(self, row: Row) -> None:
        """The answer reaches the member's process, if that is still there."""
        _, _, _, name, life, (request, reply) = row
        agent = self.members[name]
        if agent is None or self.lives[name] != life or agent.lease_session is None:
            return
        if name in self.stopped:
            self.kept.setdefault(name, []).append(row)
            return
        self.asking.pop(name, None)
        self.carry(name, agent.engine_replied(self.clock(name), request, reply))
        if reply is not None:
            self.ask_engine(name, life)

    def do_want(self, row: Row) -> None:
        """A request of a member's callers."""
        _, _, _, name, life, _ = row
        agent = self.members[name]
        if agent is None or self.lives[name] != life:
            return
        if name in self.stopped:
            self.kept.setdefault(name, []).append(row)
            return
        if name not in self.quiet and agent.check_admission(self.clock(name), "x").admitted:
            agent.consume(self.clock(name), "x")
            self.start(name, life)
        self.put(FLOOD_MS, "want", name, life)

    def start(self, name: str, life: int) -> None:
        """One is let in; the promise is judged."""
        limit = self.setting.limit
        self.used[name] = self.used.get(name, 0) + 1
        if limit.per_day is not None:
            number = period_number(limit, self.clock(name))
            self.spent[number] = in_use = self.spent.get(number, 0) + 1
        elif limit.at_once is None:
            while self.starts and self.starts[0] <= self.now - limit.window_ms:
                self.starts.popleft()
            self.starts.append(self.now)
            in_use = len(self.starts)
        else:
            self.hand += 1
            in_use = self.hand
            self.put(limit.run_most_ms - (self.count % 5) * 12.0, "end", name, life)
        self.most = max(self.most, in_use)
        if in_use > self.setting.most:
            self.fell.append(
                f"never over: {in_use} of {self.setting.most} in use as {name} let one in at " f"{self.now:.0f} ms"
            )

    def do_end(self, row: Row) -> None:
        """A run ends, in the kernel; its member hears of it if it is still there."""
        self.hand -= 1
        agent = self.members[row[3]]
        if agent is not None and self.lives[row[3]] == row[4]:
            agent.run_ended("x")

    def do_packet(self, row: Row) -> None:
        """A message reaches a member's process."""
        _, _, _, name, message, sender = row
        agent = self.members[name]
        if agent is None or (sender[0], name) in self.cuts:
            return
        if name in self.stopped:
            self.kept.setdefault(name, []).append(row)
            return
        self.carry(name, agent.receive(self.clock(name), sender, message))

    def carry(self, name: str, effects: list[LimitEffect]) -> None:
        """Carry out what a member says."""
        for effect in effects:
            if isinstance(effect, SendMessage):
                self.put(HOP_MS, "packet", effect.recipient, effect.message, Incarnation(name, self.lives[name]))
            elif isinstance(effect, PersistThenSend):
                agent = self.members[name]
                assert agent is not None
                self.put(DISK_MS, "disk", name, self.lives[name], (dict(agent.budget_journal.totals), effect))
            elif effect.counter is LimitCounter.LEADERSHIP_BEGAN:
                self.began.append(self.now)
        keepers = [
            one
            for one, agent in self.members.items()
            if agent is not None and one not in self.stopped and agent.shards[0].election.holds_lease(self.clock(one))
        ]
        if len(keepers) > 1:
            self.fell.append(f"one keeper: {' '.join(keepers)} at {self.now:.0f} ms")

    def do_disk(self, row: Row) -> None:
        """What a member's vault held is on its disk, if its process was there to the end."""
        _, _, _, name, life, (rows, keep) = row
        agent = self.members[name]
        if agent is None or self.lives[name] != life:
            return
        if name in self.stopped:
            self.kept.setdefault(name, []).append(row)
            return
        self.disks[name] = rows
        self.carry(name, agent.persisted(self.clock(name), keep))

    def do_start(self, row: Row) -> None:
        """A new life of a member."""
        name = row[3]
        life = self.lives[name] = self.lives.get(name, 0) + 1
        limit = self.setting.later if name in self.adopted and self.setting.later else self.setting.limit
        agent = self.members[name] = LimitCoordinator(
            Incarnation(name, life),
            self.setting.terms,
            {"x": limit},
            frozenset(NAMES),
            self.clock(name),
            1 + (name in self.adopted),
            self.setting.engine,
            self.disks.get(name),
        )
        self.asking.pop(name, None)
        agent.present_members = self.belief.get(name, frozenset(NAMES))
        self.put(0.0, "tick", name, life)
        self.put(NAMES.index(name) * 3.0, "want", name, life)

    def do_resume(self, row: Row) -> None:
        """A stopped one goes on: what waited for it comes first, in any order the fault says."""
        name = row[3]
        self.stopped.discard(name)
        kept = self.kept.pop(name, [])
        for one in reversed(kept) if row[4] else kept:
            getattr(self, f"do_{one[2]}")(one)

    def do_heal(self, row: Row) -> None:
        """A cut ends."""
        self.cuts -= set(row[4])

    def do_believe(self, row: Row) -> None:
        """A member's belief of who is here becomes right again."""
        self.set_belief(row[3], frozenset(NAMES))

    def do_shun(self, row: Row) -> None:
        """A member comes to believe another gone."""
        self.set_belief(row[3], frozenset(NAMES) - {row[4]})

    def do_adopt(self, row: Row) -> None:
        """A member's file has the later limit, and its process is told to read it."""
        name, agent = row[3], self.members[row[3]]
        self.adopted.add(name)
        if name in self.stopped:
            self.kept.setdefault(name, []).append(row)
        elif agent is not None and agent.version == 1 and self.setting.later is not None:
            self.carry(name, agent.adopt_limits(self.clock(name), {"x": self.setting.later}, 2))

    def do_loud(self, row: Row) -> None:
        """Demand comes back."""
        self.quiet.discard(row[3])

    def set_belief(self, name: str, here: frozenset[str]) -> None:
        """What a member believes."""
        self.belief[name] = here
        agent = self.members[name]
        if agent is not None:
            agent.present_members = here

    # What can go wrong.

    def apply(self, fault: Fault) -> None:
        """One fault."""
        self.faults.append((self.now, fault))
        kind = fault[0]
        if kind in ("lose", "double", "hold"):
            row = self.next()
            if kind != "double":
                self.queue.remove(row)
            if kind != "lose":
                self.put(row[0] - self.now + fault[1], "packet", *row[3:])
        elif kind == "crash":
            self.members[fault[1]] = None
            self.put(fault[2], "start", fault[1])
        elif kind == "outage":
            for name in NAMES:
                self.members[name] = None
                self.put(fault[1] + fault[2] * NAMES.index(name), "start", name)
        elif kind == "stop":
            self.stopped.add(fault[1])
            self.put(fault[2], "resume", fault[1], fault[3])
        elif kind == "sleep":  # stopped, and believed gone by the others from soon after on
            self.stopped.add(fault[1])
            self.put(fault[2], "resume", fault[1], False)
            for name in NAMES:
                if name != fault[1]:
                    self.put(100.0, "shun", name, fault[1])
                    self.put(fault[2], "believe", name)
        elif kind == "shun":  # two are cut from one another, and the first believes the second gone
            self.cuts |= {(fault[1], fault[2]), (fault[2], fault[1])}
            self.set_belief(fault[1], frozenset(NAMES) - {fault[2]})
            self.put(fault[3], "heal", "", ((fault[1], fault[2]), (fault[2], fault[1])))
            self.put(fault[3], "believe", fault[1])
        elif kind == "away":  # cut off from the engine: both ways, or its answers are lost
            pairs = {(fault[1], "engine"), ("engine", fault[1])} if fault[3] else {("engine", fault[1])}
            self.cuts |= pairs
            self.put(fault[2], "heal", "", tuple(pairs))
        elif kind == "cut":
            self.cuts |= set(fault[1])
            self.put(fault[2], "heal", "", fault[1])
        elif kind == "part":  # cut off, and believed so on both sides
            self.cuts |= set(fault[1])
            lone = fault[2]
            for name in NAMES:
                self.set_belief(name, frozenset({lone} if name == lone else set(NAMES) - {lone}))
                self.put(fault[3], "believe", name)
            self.put(fault[3], "heal", "", fault[1])
        elif kind == "change":
            for n, name in enumerate(fault[1]):
                self.put(n * fault[2], "adopt", name)
        elif kind == "believe":
            self.set_belief(fault[1], frozenset(fault[2]))
            self.put(fault[3], "believe", fault[1])
        else:
            self.quiet.add(fault[1])
            self.put(fault[2], "loud", fault[1])


def begin(setting: Setting) -> World:
    """All three have started, a keeper has its lease, and grants are out."""
    world = World(setting, members=dict.fromkeys(NAMES))
    for name in NAMES:
        world.put(0.0, "start", name)
    while world.now < WARM_MS:
        world.go()
    return world
