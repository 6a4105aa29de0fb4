"""Three members, the packets between them, and what can go wrong; copied as a whole where runs part."""

from __future__ import annotations

import pickle
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from myrtlespar.membership.member import Member
from myrtlespar.membership.messages import (
    CountEvent,
    MemberChanged,
    MembershipEffect,
    MemberState,
    Packet,
    QuorumChanged,
    RequestSync,
    SendPacket,
    ViewSync,
)
from myrtlespar.membership.quorum import VoterSet
from myrtlespar.membership.settings import MembershipSettings

NAMES = ("a", "b", "c")
HOP_MS = 1.0
BOOT = 1_700_000_000_000
WARM_MS = 1500.0  # from the start of all until faults may come
FAULTS_MS = 1300.0  # for so long
TERMS = MembershipSettings()
Fault = tuple[Any, ...]


class SeededRandom(Random):
    """A small generator whose state is one number, so that worlds copy fast."""

    def __init__(self, seed: int) -> None:
        super().__init__(0)
        self.x = seed

    def random(self) -> float:
        """Uniform in [0, 1)."""
        self.x = (self.x * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.x >> 11) / 2**53

    def getrandbits(self, k: int) -> int:
        """So many bits."""
        return int(self.random() * 2**k)

    def __reduce__(self) -> tuple[Any, ...]:
        return SeededRandom, (self.x,)


@dataclass(slots=True)
class World:
    """All there is. `queue` holds (time, number, kind, receiver, message, sender)."""

    now: float = 0.0
    count: int = 0
    members: dict[str, Member | None] = field(default_factory=dict)
    queue: list[tuple[float, int, str, str, Any, str]] = field(default_factory=list)
    stopped: set[str] = field(default_factory=set)
    kept: dict[str, list[tuple[str, Any, str]]] = field(default_factory=dict)  # packets that wait for a stopped one
    cuts: set[tuple[str, str]] = field(default_factory=set)  # directed
    gone: set[str] = field(default_factory=set)  # said goodbye
    touched: set[str] = field(default_factory=set)  # anything but lost packets happened to them or their links
    changed_at: float = 0.0  # last change of who runs and who hears whom
    faults: list[tuple[float, Fault]] = field(default_factory=list)
    lost: int = 0
    boots: int = 0
    fell: list[str] = field(default_factory=list)
    beliefs: dict[tuple[str, str], tuple[int, int, int]] = field(default_factory=dict)  # greatest key seen
    left: dict[tuple[str, str], int] = field(default_factory=dict)  # observer, member: boot of the life that left
    stands: dict[tuple[str, str], int] = field(default_factory=dict)
    doubled: dict[tuple[str, str, int], bool] = field(default_factory=dict)  # to, from, number: the first came
    lives: dict[str, tuple[int, int]] = field(default_factory=dict)  # the greatest each ever gave itself
    steps: int = 0

    def copy(self) -> World:
        """A whole copy."""
        world: World = pickle.loads(pickle.dumps(self, 5))
        return world

    # Events.

    def put(self, after: float, kind: str, to: str, message: Any = None, sender: str = "") -> None:
        """Something comes."""
        self.count += 1
        self.queue.append((self.now + after, self.count, kind, to, message, sender))

    def next(self) -> tuple[str, Any]:
        """What comes by default: the earliest packet or event, else the earliest timer."""
        first = min(self.queue, default=None, key=lambda row: row[:2])
        timers = [
            (member.next_at(), name)
            for name, member in self.members.items()
            if member is not None and name not in self.stopped
        ]
        timer = min(timers, default=None)
        if first is None or (timer is not None and timer[0] < first[0]):
            return "tick", timer
        return first[2], first

    def go(self) -> None:
        """One step of the default order."""
        self.steps += 1
        kind, what = self.next()
        if kind == "tick":
            at, name = what
            self.now = max(self.now, at)
            member = self.members[name]
            assert member is not None
            self.carry(name, member.tick(self.now))
            return
        self.queue.remove(what)
        at, _, kind, to, message, sender = what
        self.now = max(self.now, at)
        if kind in ("packet", "ask", "reply"):
            self.arrive(kind, to, message, sender)
        else:
            getattr(self, f"do_{kind}")(to, message)

    def arrive(self, kind: str, to: str, message: Any, sender: str, again: bool = False) -> None:
        """A message reaches a member's process."""
        member = self.members.get(to)
        if member is None or (sender, to) in self.cuts:
            return
        if to in self.stopped:
            self.kept.setdefault(to, []).append((kind, message, sender))
            return
        if kind == "packet":
            label = to, sender, message.sequence_number
            if label in self.doubled:
                again, self.doubled[label] = again and self.doubled[label], True
            before, known = member.view.hash, member.view.entries.get(sender)
            old = known is not None and message.sender.incarnation < known.packet_incarnation
            effects = member.receive(self.now, message)
            if again and (
                member.view.hash != before
                or any(isinstance(e, MemberChanged | QuorumChanged) for e in effects)
                or not any(isinstance(e, CountEvent) and e.counter == "replayed" for e in effects)
            ):
                self.fall("a doubled packet changes nothing", f"{to} took one of {sender} twice")
            if old and not any(isinstance(e, CountEvent) and e.counter == "replayed" for e in effects):
                self.fall("a packet of an old life changes nothing", f"{to} took one of {sender}")
            self.carry(to, effects)
        elif kind == "ask":
            reply, effects = member.sync_requested(self.now, message)
            self.carry(to, effects)
            if reply is not None:
                self.put(HOP_MS, "reply", sender, reply, to)
        else:
            self.carry(to, member.sync_received(self.now, message))

    def carry(self, name: str, effects: list[MembershipEffect]) -> None:
        """Carry out what a member says, and look at the promises of single steps."""
        member = self.members[name]
        if member is not None:
            self.lives[name] = max(self.lives.get(name, (0, 0)), member.self_update.precedence[:2])
        for effect in effects:
            if isinstance(effect, SendPacket):
                self.route("packet", name, effect.address, effect.packet)
            elif isinstance(effect, RequestSync):
                self.route("ask", name, effect.address, effect.sync)
            elif isinstance(effect, MemberChanged):
                self.look(name, effect)
            elif isinstance(effect, QuorumChanged):
                before = self.stands.get((name, effect.scope), effect.old_status)
                if before != effect.old_status:
                    self.fall("changes of standing come in order", f"{name} told {effect}")
                self.stands[name, effect.scope] = effect.new_status

    def route(self, kind: str, sender: str, address: str, message: Packet | ViewSync) -> None:
        """On its way, unless nobody is there."""
        to = next((name for name in NAMES if address_of(name) == address), "")
        if to:
            self.put(HOP_MS, kind, to, message, sender)

    def look(self, name: str, effect: MemberChanged) -> None:
        """Promises about one change of one view."""
        pair, key = (name, effect.name), (effect.incarnation, effect.refutation, effect.new_state or 0)
        if effect.new_state is None:
            self.beliefs.pop(pair, None)
            return
        known = self.beliefs.get(pair)
        if known is not None and key < known:
            self.fall("an old life never beats a new one", f"{name} went from {known} to {key} of {effect.name}")
        self.beliefs[pair] = max(key, known or key)
        if effect.new_state == MemberState.LEFT:
            self.left[pair] = effect.incarnation
        elif (
            effect.new_state in (MemberState.ALIVE, MemberState.SUSPECT)
            and self.left.get(pair, -1) >= effect.incarnation
        ):
            self.fall("nobody is brought back after it left", f"{name} believes {effect.name} back")
        if (effect.incarnation, effect.refutation) > self.lives[effect.name]:
            self.fall(
                "only a member raises its own counter",
                f"{name} has {effect.incarnation, effect.refutation} of "
                f"{effect.name}, it had {self.lives[effect.name]}",
            )
        if (
            effect.new_state == MemberState.SUSPECT
            and len(self.faults) == 1
            and self.faults[0][1][0] == "cut"
            and len({end for pair in self.faults[0][1][1] for end in pair}) == 2
        ):
            self.fall("who answers another is not suspected", f"{name} suspects {effect.name}")
        if (
            effect.new_state == MemberState.SUSPECT
            and effect.accuser == name
            and effect.name not in self.touched
            and self.lost <= 1
            and all(fault[0] in ("lose", "stop") for _, fault in self.faults)
        ):
            self.fall("one lost packet and a stop blame nobody", f"{name} suspects {effect.name}")
        if effect.new_state == MemberState.FAILED and not {name, effect.name} & self.touched and self.lost <= 2:
            self.fall("who is well is not failed", f"{name} failed {effect.name}")

    def fall(self, rule: str, text: str) -> None:
        """A promise is broken."""
        self.fell.append(f"{rule}: {text} at {self.now:.0f} ms")

    # What can go wrong.

    def start(self, name: str, boot: int) -> None:
        """A process of it."""
        self.boots += 1
        number = NAMES.index(name)
        roll = VoterSet(1, {"x": NAMES})
        member = Member(
            name,
            "x",
            address_of(name),
            boot,
            "small",
            TERMS,
            roll,
            [address_of("a")],
            SeededRandom(self.boots * 77 + number),
            self.now,
        )
        self.members[name] = member
        for pair in [pair for pair in self.beliefs if pair[0] == name]:
            del self.beliefs[pair]
        for pair in [pair for pair in self.left if pair[0] == name]:
            del self.left[pair]
        for pair in [pair for pair in self.stands if pair[0] == name]:
            del self.stands[pair]
        self.carry(name, member.start(self.now))

    def change(self, *names: str) -> None:
        """Something but a lost packet happened to these."""
        self.touched.update(names)
        self.changed_at = self.now

    def do_start(self, name: str, boot: int) -> None:
        self.change(name)
        self.gone.discard(name)
        self.start(name, boot)

    def do_heal(self, _: str, pairs: Sequence[tuple[str, str]]) -> None:
        self.change()
        self.cuts -= set(pairs)

    def do_resume(self, name: str, _: Any) -> None:
        self.stopped.discard(name)
        self.change()
        for kind, message, sender in self.kept.pop(name, []):
            self.arrive(kind, name, message, sender)
        member = self.members[name]
        if member is not None and member.next_at() <= self.now:
            self.carry(name, member.tick(self.now))

    def do_end(self, name: str, _: Any) -> None:
        self.members[name] = None

    def do_release(self, to: str, held: tuple[str, Any, str]) -> None:
        self.arrive(held[0], to, held[1], held[2])

    def do_again(self, to: str, held: tuple[str, Any, str]) -> None:
        self.arrive(held[0], to, held[1], held[2], to not in self.touched)

    def apply(self, fault: Fault) -> None:
        """One fault."""
        self.faults.append((self.now, fault))
        kind = fault[0]
        if kind in ("lose", "double", "hold"):
            what = min(self.queue, key=lambda row: row[:2])
            if kind == "double":
                self.doubled[what[3], what[5], what[4].sequence_number] = False
                self.put(what[0] - self.now + fault[1], "again", what[3], (what[2], what[4], what[5]))
                return
            self.queue.remove(what)
            self.lost += 1
            if kind == "hold":
                self.put(fault[1], "release", what[3], (what[2], what[4], what[5]))
        elif kind == "crash":
            _, name, back, clock = fault
            self.change(name)
            boot = max((key[0] for (_, other), key in self.beliefs.items() if other == name), default=BOOT)
            self.members[name] = None
            if back is not None:
                self.put(back, "start", name, boot + clock)
        elif kind == "cut":
            _, pairs, for_ms = fault
            self.change(*{name for pair in pairs for name in pair} if len(pairs) < 4 else {pairs[0][0]})
            self.cuts |= set(pairs)
            self.put(for_ms, "heal", "", pairs)
        elif kind == "stop":
            self.change(fault[1])
            self.stopped.add(fault[1])
            self.put(fault[2], "resume", fault[1])
        else:
            self.change(fault[1])
            member = self.members[fault[1]]
            assert member is not None
            self.gone.add(fault[1])
            self.carry(fault[1], member.leave(self.now))
            self.put(300.0, "end", fault[1])


def address_of(name: str) -> str:
    """Where a member is reached."""
    return f"127.8.0.{NAMES.index(name) + 1}:7000"


def begin() -> World:
    """All three started a little apart, and settled."""
    world = World(members=dict.fromkeys(NAMES))
    for n, name in enumerate(NAMES):
        world.put(40.0 * n, "start", name, BOOT)
    while world.now < WARM_MS:
        world.go()
    world.touched.clear()
    world.changed_at = 0.0
    return world


def cut_off(name: str, ways: str) -> tuple[tuple[str, str], ...]:
    """The directed pairs that cut one member off: out, in, or both."""
    others = [other for other in NAMES if other != name]
    out = tuple((name, other) for other in others) if ways in ("out", "both") else ()
    return out + (tuple((other, name) for other in others) if ways in ("in", "both") else ())


def faults(world: World, kinds: frozenset[str]) -> list[Fault]:
    """What can go wrong now. What happens to members comes at steps of time only, what happens to packets at each."""
    out: list[Fault] = []
    kind, _ = world.next()
    if kind == "packet":
        if "losses" in kinds:
            out += [("lose",)]
        if "packets" in kinds:
            out += [("double", 0.5), ("double", 700.0), ("hold", 150.0), ("hold", 1500.0)]
        return out
    if kind != "tick":
        return out
    up = [
        name
        for name, member in world.members.items()
        if member is not None and name not in world.gone and name not in world.stopped
    ]
    if "crash" in kinds:
        out += [
            ("crash", name, back, clock)
            for name in up
            for back, clock in ((5.0, 10), (500.0, 10), (500.0, -3_600_000), (4000.0, 10), (None, 0))
        ]
    if "cut" in kinds:
        out += [
            ("cut", cut_off(name, ways), ms)
            for name in up
            for ways, ms in (("both", 700.0), ("both", 7000.0), ("out", 7000.0), ("in", 7000.0))
        ]
        out += [("cut", pairs, 7000.0) for pairs in ((("a", "b"), ("b", "a")), (("a", "b"),), (("b", "c"),))]
    if "stop" in kinds:
        out += [("stop", name, ms) for name in up for ms in (900.0, 3000.0, 6000.0)]
    if "leave" in kinds:
        out += [("leave", name) for name in up]
    return out
