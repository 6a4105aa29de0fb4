"""Explores the hand-over between an old and a new process of one server, breadth first, with one idempotency key.

Request tracker, key table, process lifecycle and hand-over file are those of the server. The engine continues the runs
of the old process. The file may be torn once; then the new process waits until the old one has exited.
"""

from __future__ import annotations

import pickle
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.handover.keys_file import answer_of, encode, key_outcomes
from myrtlespar.handover.receiver import HandoverReceiver, HandoverState
from myrtlespar.policy.messages import RunOutcome
from myrtlespar.state_machines.attempts import STARTED, AttemptAction, AttemptState
from myrtlespar.state_machines.idempotency_keys import IdempotencyKeyTable
from myrtlespar.state_machines.process import ProcessAction, ProcessLifecycle
from myrtlespar.state_machines.request_effects import FAILED, RequestEffect, RequestTrackerSettings
from myrtlespar.state_machines.request_tracker import RequestTracker

Event = tuple[str, ...]
MAX_ATTEMPTS = 3  # attempts with the idempotency key, in one path
MAX_WAITS = 2  # wait events in one path
KILL_AFTER_MS = 3700.0  # from SIGTERM to SIGKILL
KEY_MS = 60_000.0  # how long a key is remembered
RUN_MS = 5.0  # duration of each run
WAITS_MS = {"a while": 200.0, "long": 9000.0}
RULES = {  # the meaning of each rule by its name
    "one start a key": "An order with an idempotency key never runs twice, not even across a hand-over.",
    "all read are answered": "A process answers every request that it has read before it exits.",
    "keys open": "The new process accepts idempotency keys once the old one has exited.",
    "no refusal after a start": "Once an order has run, the new process rejects no attempt of it.",
    "known stays known": "Once keys are accepted, a retry of a served order gets its answer and is not rejected.",
}


def discard_answer(_: Exchange, __: Answer) -> None:
    """Do nothing: the `deliver` callback of each exchange, as answers are checked in `ProcessPair`."""


@dataclass(slots=True)
class ProcessSide:
    """One of the two processes.

    Attributes:
        stopped_reading: Whether the process reads no more requests.
        gone: Whether the process has exited.
        keys_written: Whether the process has written the hand-over file.
    """

    name: str
    tracker: RequestTracker
    stopped_reading: bool = False
    gone: bool = False
    keys_written: bool = False


def new_process_side(name: str) -> ProcessSide:
    """Return a process that has just started."""
    process = ProcessLifecycle(10_000.0, 1000.0, 50.0, 300.0, 50.0)
    return ProcessSide(
        name,
        RequestTracker(
            RequestTrackerSettings([8000.0], [True], 100.0, 1000.0), IdempotencyKeyTable(8, KEY_MS, 4, 1000), process
        ),
    )


@dataclass(slots=True)
class ProcessPair:
    """The two processes, the hand-over file between them, and what has happened until `now`, in milliseconds.

    Attributes:
        receiver: Reads the hand-over file in the new process.
        file: The content of the hand-over file; None until it is written.
        torn: Whether the file was torn (truncated).
        sent: The number of attempts sent.
        waits: The number of wait events.
        runs: The number of runs started.
        served: Whether a caller has received a served answer.
        violations: The names of the rules that the newest event broke.
    """

    now: float = 1000.0
    old: ProcessSide = field(default_factory=lambda: new_process_side("old"))
    new: ProcessSide = field(default_factory=lambda: new_process_side("new"))
    receiver: HandoverReceiver = field(default_factory=lambda: HandoverReceiver(HandoverState.WAITING))
    file: bytes | None = None
    torn: bool = False
    sent: int = 0
    waits: int = 0
    runs: int = 0
    served: bool = False
    violations: list[str] = field(default_factory=list)

    def enabled(self) -> list[Event]:
        """Return every event that may happen next."""
        events: list[Event] = []
        for side in (self.old, self.new):
            if not side.gone:
                events += self._events_of(side)
        if not self.old.gone:
            if self.old.keys_written:
                events.append(("exit",))
            elif not self.old.tracker.process.draining:
                events.append(("term",))
            else:
                events.append(("look",))
        if self.receiver.state is HandoverState.WAITING:
            events.append(("take",))
            if self.file is not None and not self.torn and not self.old.gone:
                events.append(("tear",))
        if self.waits < MAX_WAITS:
            events += [("wait", name) for name in WAITS_MS]
        return events

    def _events_of(self, side: ProcessSide) -> list[Event]:
        events: list[Event] = []
        if not side.stopped_reading and self.sent < MAX_ATTEMPTS:
            events.append(("send", side.name))
        for id, exchange in sorted(side.tracker.requests.items()):
            if exchange.state == AttemptState.HELD:
                events += [("start", side.name, id), ("refuse", side.name, id)]
            if exchange.state in STARTED:
                events += [("serve", side.name, id), ("lose", side.name, id)]
            if side.tracker.is_wanted(id):
                events.append(("gone", side.name, id))
        return events

    def apply(self, event: Event) -> None:
        """Apply an event to the two processes."""
        kind, *rest = event
        if kind in PROCESS_EVENTS:
            PROCESS_EVENTS[kind](self)
        elif kind == "wait":
            self._wait(WAITS_MS[rest[0]])
        else:
            side = self.old if rest[0] == "old" else self.new
            if kind == "send":
                self._send_attempt(side)
            else:
                self._apply_effects(side, self._effects_of(kind, side.tracker, rest[1]))

    def _send_attempt(self, side: ProcessSide) -> None:
        self.sent += 1
        exchange = Exchange(f"t{self.sent}", "thrift", 0, b"", self.now, discard_answer)
        exchange.key = "k"
        exchange.may_have_run = self.sent > 1
        self._apply_effects(side, side.tracker.submit(exchange) or [])

    def _effects_of(self, kind: str, tracker: RequestTracker, id: str) -> list[RequestEffect]:
        """Apply an event of one request to the tracker, and return the resulting effects."""
        if kind == "start":
            return tracker.start(id, self.now)
        if kind == "refuse":
            return tracker.reject(id, Answer(AnswerKind.REFUSED), self.now)
        if kind == "serve":
            return tracker.run_ended(id, RunOutcome.OK, RUN_MS, Answer(AnswerKind.SERVED, b"r"), self.now)
        if kind == "lose":
            return tracker.run_ended(id, RunOutcome.OK, RUN_MS, FAILED, self.now)
        return tracker.caller_gone(tracker.requests[id])

    def _wait(self, wait_ms: float) -> None:
        self.waits += 1
        self.now += wait_ms
        for side in (self.old, self.new):
            if not side.gone:
                self._apply_effects(side, side.tracker.fail_overdue(self.now))

    def _terminate_old_process(self) -> None:
        self.old.tracker.process.handover(self.now, KILL_AFTER_MS)

    def _exit_old_process(self) -> None:
        # While answers are flushed, the request coordinator still fails overdue requests.
        self._apply_effects(self.old, self.old.tracker.fail_overdue(self.now))
        self.old.gone = True
        if self.old.tracker.unanswered:
            self.violations.append("all read are answered")

    def _tear_file(self) -> None:
        assert self.file is not None
        self.file = self.file[:-1]
        self.torn = True

    def _poll_old_process(self) -> None:
        old = self.old
        for action in old.tracker.process.poll(self.now, old.tracker.unanswered):
            if action is ProcessAction.FLUSH:  # as in the server: stop reading first, then write the hand-over file
                old.stopped_reading = True
                old.keys_written = True
                self.file = encode(key_outcomes(old.tracker.keys_to_hand_over(self.now)))

    def _poll_receiver(self) -> None:
        received = self.receiver.poll(not self.old.gone, self.file, self.now, 1)
        for outcome in received.outcomes:
            slot = (outcome.class_index, outcome.key)
            effects = self.new.tracker.import_outcome(slot, answer_of(outcome), outcome.expires_at, self.now)
            self._apply_effects(self.new, effects)
        if self.receiver.state is HandoverState.OPEN:
            keys_arrived = self.file is not None and not self.receiver.rejection
            effects = self.new.tracker.end_wait_for_handover(keys_arrived, self.now)
            self._apply_effects(self.new, effects)
        if self.old.gone and self.new.tracker.keys.awaiting_handover and not (self.torn and self.file):
            self.violations.append("keys open")

    def _apply_effects(self, side: ProcessSide, effects: list[RequestEffect]) -> None:
        for effect in effects:
            if effect.action is AttemptAction.START_RUN:
                self.runs += 1
                if self.runs > 1 and not self.torn:
                    self.violations.append("one start a key")
            elif effect.action is AttemptAction.DELIVER and effect.answer is not None:
                open_keys = side is self.new and self.receiver.state is HandoverState.OPEN
                if self.served and effect.answer.kind is AnswerKind.REFUSED and open_keys and not self.torn:
                    self.violations.append("known stays known")
                refused_by_new = side is self.new and effect.answer.kind is AnswerKind.REFUSED
                if self.runs and refused_by_new and not self.torn:
                    self.violations.append("no refusal after a start")
                self.served = self.served or effect.answer.kind is AnswerKind.SERVED


PROCESS_EVENTS: dict[str, Callable[[ProcessPair], None]] = {
    "term": ProcessPair._terminate_old_process,
    "look": ProcessPair._poll_old_process,
    "exit": ProcessPair._exit_old_process,
    "tear": ProcessPair._tear_file,
    "take": ProcessPair._poll_receiver,
}


@dataclass(slots=True)
class PairResult:
    """The result of an exploration; `path` holds the events up to the first broken rule."""

    states: int = 0
    steps: int = 0
    depth: int = 0
    seconds: float = 0.0
    violations: list[str] = field(default_factory=list)
    path: list[Event] = field(default_factory=list)


def begin() -> ProcessPair:
    """Return the initial state: the old process serves, and the new one has just started beside it."""
    world = ProcessPair()
    world.new.tracker.keys.awaiting_handover = True
    return world


def explore() -> PairResult:
    """Visit every state, or stop at the first broken rule with a shortest path to it."""
    began = time.monotonic()
    result = PairResult()
    first = pickle.dumps(begin(), 5)
    visited = {first}
    frontier: list[tuple[bytes, tuple[Event, ...]]] = [(first, ())]
    while frontier:
        next_frontier: list[tuple[bytes, tuple[Event, ...]]] = []
        for data, path in frontier:
            for event in pickle.loads(data).enabled():
                world: ProcessPair = pickle.loads(data)
                result.steps += 1
                try:
                    world.apply(event)
                except (AssertionError, AttributeError, IndexError, KeyError, TypeError, ValueError) as error:
                    world.violations.append(f"no machine fails: {type(error).__name__}")
                if world.violations:
                    result.violations = world.violations
                    result.path = [*path, event]
                    result.states = len(visited)
                    result.seconds = time.monotonic() - began
                    return result
                after = pickle.dumps(world, 5)
                if after not in visited:
                    visited.add(after)
                    next_frontier.append((after, (*path, event)))
        result.depth += bool(next_frontier)
        frontier = next_frontier
    result.states = len(visited)
    result.seconds = time.monotonic() - began
    return result


def print_result(result: PairResult) -> int:
    """Print the result of an exploration, and return the exit status."""
    print(
        f"{'twins':10} {result.states:>10,} states {result.steps:>11,} steps  depth {result.depth:>3} "
        f"{result.seconds:7.1f} s  {'fell' if result.violations else 'holds'}",
        flush=True,
    )
    for rule in result.violations:
        print(f"  fell: {rule}: {RULES.get(rule, '')}")
    for number, event in enumerate(result.path, 1):
        print(f"  {number:3} {' '.join(event)}")
    return int(bool(result.violations))


def print_mutation_result(result: PairResult, longest: int) -> int:
    """Print whether a mutation was found with at most `longest` events, and return the exit status."""
    if not result.violations:
        print(f"survived {result.states:,} states of twins")
        return 1
    long = len(result.path) > longest
    print(
        f"{'too long' if long else 'found'}: {', '.join(result.violations)} after {len(result.path)} events, "
        f"{result.states:,} states of twins"
    )
    return int(long)
