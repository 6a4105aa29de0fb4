"""An old and a new process of one server, and one idempotency key: every order of a hand-over, breadth first.

The desk, its keys, the process and the hand-over file are those that the server runs on. The kernel goes on with what
an old process gave it. Files may be torn once; then the new process waits until the old one is gone and promises
nothing about the old one's runs.
"""

from __future__ import annotations

import pickle
import time
from dataclasses import dataclass, field

from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.handover.keys_file import answer_of, encode, key_outcomes
from myrtlespar.handover.receiver import HandoverReceiver, HandoverState
from myrtlespar.policy.messages import RunOutcome
from myrtlespar.state_machines.attempts import STARTED, AttemptAction, AttemptState
from myrtlespar.state_machines.idempotency_keys import IdempotencyKeyTable
from myrtlespar.state_machines.process import ProcessAction, ProcessLifecycle
from myrtlespar.state_machines.request_effects import FAILED, RequestEffect, RequestTerms
from myrtlespar.state_machines.request_tracker import RequestTracker

Event = tuple[str, ...]
SENT_MOST = 3  # tries of the key in a run
KILL_IN_MS = 3700.0
KEY_MS = 60_000.0
WAITS = {"a while": 200.0, "long": 9000.0}
RULES = {
    "one start a key": "An order with a key never runs twice, also across a replacement.",
    "all read are answered": "What a process has read is answered before it goes.",
    "keys open": "The new process takes keys once the old one is gone.",
    "known stays known": "A repeat of what was served is answered with it, not turned away, once keys are open.",
}


def nobody(_: Exchange, __: Answer) -> None:
    """Where answers go."""


@dataclass(slots=True)
class ProcessSide:
    """One process. `ends`: it reads no more; `gone`: it has exited."""

    name: str
    tracker: RequestTracker
    ends: bool = False
    gone: bool = False
    left: bool = False


def side(name: str) -> ProcessSide:
    """A process at its start."""
    process = ProcessLifecycle(10_000.0, 1000.0, 50.0, 300.0, 50.0)
    return ProcessSide(
        name,
        RequestTracker(RequestTerms([8000.0], [True], 100.0, 1000.0), IdempotencyKeyTable(8, KEY_MS, 4, 1000), process),
    )


@dataclass(slots=True)
class ProcessPair:
    """All there is."""

    now: float = 1000.0
    old: ProcessSide = field(default_factory=lambda: side("old"))
    new: ProcessSide = field(default_factory=lambda: side("new"))
    receiver: HandoverReceiver = field(default_factory=lambda: HandoverReceiver(HandoverState.WAITING))
    file: bytes | None = None
    torn: bool = False
    sent: int = 0
    waited: int = 0
    runs: int = 0
    served: bool = False  # some caller holds the outcome
    fell: list[str] = field(default_factory=list)

    def enabled(self) -> list[Event]:
        """What can come now."""
        out: list[Event] = []
        for one in (self.old, self.new):
            if one.gone:
                continue
            if not one.ends and self.sent < SENT_MOST:
                out.append(("send", one.name))
            for id, x in sorted(one.tracker.requests.items()):
                if x.state == AttemptState.HELD:
                    out += [("start", one.name, id), ("refuse", one.name, id)]
                if x.state in STARTED:
                    out += [("serve", one.name, id), ("lose", one.name, id)]
                if one.tracker.is_wanted(id):
                    out.append(("gone", one.name, id))
        if not self.old.gone:
            if self.old.left:
                out.append(("exit",))
            elif not self.old.tracker.process.draining:
                out.append(("term",))
            else:
                out.append(("look",))
        if self.receiver.state is HandoverState.WAITING:
            out.append(("take",))
            if self.file is not None and not self.torn and not self.old.gone:
                out.append(("tear",))
        if self.waited < 2:
            out += [("wait", name) for name in WAITS]
        return out

    def apply(self, event: Event) -> None:
        """One event."""
        kind, *rest = event
        one = self.old if rest and rest[0] == "old" else self.new
        tracker = one.tracker
        if kind == "send":
            self.sent += 1
            x = Exchange(f"t{self.sent}", "thrift", 0, b"", self.now, nobody)
            x.key = "k"
            self._carry(one, tracker.submit(x) or [])
        elif kind == "start":
            self._carry(one, tracker.start(rest[1], self.now))
        elif kind == "refuse":
            self._carry(one, tracker.reject(rest[1], Answer(AnswerKind.REFUSED), self.now))
        elif kind == "serve":
            self._carry(one, tracker.run_ended(rest[1], RunOutcome.OK, 5.0, Answer(AnswerKind.SERVED, b"r"), self.now))
        elif kind == "lose":
            self._carry(one, tracker.run_ended(rest[1], RunOutcome.OK, 5.0, FAILED, self.now))
        elif kind == "gone":
            self._carry(one, tracker.caller_gone(tracker.requests[rest[1]]))
        elif kind == "wait":
            self.waited += 1
            self.now += WAITS[rest[0]]
            for each in (self.old, self.new):
                if not each.gone:
                    self._carry(each, each.tracker.fail_overdue(self.now))
        elif kind == "term":
            self.old.tracker.process.handover(self.now, KILL_IN_MS)
        elif kind == "look":
            self._look()
        elif kind == "exit":
            self._carry(self.old, self.old.tracker.fail_overdue(self.now))  # the core goes on while answers are flushed
            self.old.gone = True
            if self.old.tracker.unanswered:
                self.fell.append("all read are answered")
        elif kind == "tear":
            assert self.file is not None
            self.file, self.torn = self.file[:-1], True
        else:
            self._take()

    def _look(self) -> None:
        old = self.old
        for act in old.tracker.process.poll(self.now, old.tracker.unanswered):
            if act is ProcessAction.FLUSH:  # as the server: read no more, then leave the keys
                old.ends = old.left = True
                self.file = encode(key_outcomes(old.tracker.keys_to_hand_over(self.now)))

    def _take(self) -> None:
        received = self.receiver.poll(not self.old.gone, self.file, self.now, 1)
        for each in received.outcomes:
            self.new.tracker.keys.import_outcome((each.class_index, each.key), answer_of(each), each.expires_at)
        self.new.tracker.keys.awaiting_handover = self.receiver.state is HandoverState.WAITING
        if self.old.gone and self.new.tracker.keys.awaiting_handover and not (self.torn and self.file):
            self.fell.append("keys open")

    def _carry(self, one: ProcessSide, effects: list[RequestEffect]) -> None:
        for effect in effects:
            if effect.action is AttemptAction.START_RUN:
                self.runs += 1
                if self.runs > 1 and not self.torn:
                    self.fell.append("one start a key")
            elif effect.action is AttemptAction.DELIVER and effect.answer is not None:
                open_keys = one is self.new and self.receiver.state is HandoverState.OPEN
                if self.served and effect.answer.kind is AnswerKind.REFUSED and open_keys and not self.torn:
                    self.fell.append("known stays known")
                self.served = self.served or effect.answer.kind is AnswerKind.SERVED


@dataclass(slots=True)
class PairResult:
    """What an exploration found."""

    states: int = 0
    steps: int = 0
    depth: int = 0
    seconds: float = 0.0
    fell: list[str] = field(default_factory=list)
    path: list[Event] = field(default_factory=list)


def begin() -> ProcessPair:
    """The old process serves, the new one has just started beside it."""
    world = ProcessPair()
    world.new.tracker.keys.awaiting_handover = True
    return world


def explore() -> PairResult:
    """Every state, or the shortest way to break a rule."""
    began, out = time.monotonic(), PairResult()
    first = pickle.dumps(begin(), 5)
    seen, frontier = {first}, list[tuple[bytes, tuple[Event, ...]]]([(first, ())])
    while frontier:
        following: list[tuple[bytes, tuple[Event, ...]]] = []
        for data, path in frontier:
            for event in pickle.loads(data).enabled():
                world: ProcessPair = pickle.loads(data)
                out.steps += 1
                try:
                    world.apply(event)
                except (AssertionError, AttributeError, IndexError, KeyError, TypeError, ValueError) as error:
                    world.fell.append(f"no machine fails: {type(error).__name__}")
                if world.fell:
                    out.fell, out.path = world.fell, [*path, event]
                    out.states, out.seconds = len(seen), time.monotonic() - began
                    return out
                after = pickle.dumps(world, 5)
                if after not in seen:
                    seen.add(after)
                    following.append((after, (*path, event)))
        out.depth += bool(following)
        frontier = following
    out.states, out.seconds = len(seen), time.monotonic() - began
    return out


def shown(found: PairResult) -> int:
    """Print what was found; the exit status."""
    print(
        f"{'twins':10} {found.states:>10,} states {found.steps:>11,} steps  depth {found.depth:>3} "
        f"{found.seconds:7.1f} s  {'fell' if found.fell else 'holds'}",
        flush=True,
    )
    for rule in found.fell:
        print(f"  fell: {rule}: {RULES.get(rule, '')}")
    for number, event in enumerate(found.path, 1):
        print(f"  {number:3} {' '.join(event)}")
    return int(bool(found.fell))


def hunted(found: PairResult, longest: int) -> int:
    """Print one line on a planted bug; the exit status."""
    if not found.fell:
        print(f"survived {found.states:,} states of twins")
        return 1
    long = len(found.path) > longest
    print(
        f"{'too long' if long else 'found'}: {', '.join(found.fell)} after {len(found.path)} events, "
        f"{found.states:,} states of twins"
    )
    return int(long)
