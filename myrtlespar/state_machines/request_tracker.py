"""The desk: all tries of one server life, their keys and the process; each event becomes effects for the core."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from myrtlespar.exchange import Answer, Exchange, Kind
from myrtlespar.policy.messages import Outcome
from myrtlespar.state_machines.attempts import LAST_OUTWARD, OWED, STARTED, TRY, Do, On, Try
from myrtlespar.state_machines.idempotency_keys import Keys, Slot, Then
from myrtlespar.state_machines.process import Process

# Bound once: looking a member up in its class costs as much as a step of a table.
DO_DELIVER, DO_DELIVER_FAILED, DO_FREE_KEY, DO_LEAVE = Do.DELIVER, Do.DELIVER_FAILED, Do.FREE_KEY, Do.LEAVE
DO_PASS_ON, DO_REMEMBER, DO_UNFOLLOW, DO_WITHDRAW = Do.PASS_ON, Do.REMEMBER, Do.UNFOLLOW, Do.WITHDRAW
ON_ADMIT, ON_BAR, ON_CALL, ON_CALL_BAD = On.ADMIT, On.BAR, On.CALL, On.CALL_BAD
ON_CALL_NEEDED, ON_CALL_OK, ON_ENDED, ON_FAIL = On.CALL_NEEDED, On.CALL_OK, On.ENDED, On.FAIL
ON_FOLLOW, ON_GONE, ON_KNOWN, ON_NEVER_RAN = On.FOLLOW, On.GONE, On.KNOWN, On.NEVER_RAN
ON_OVERDUE, ON_PROMOTE, ON_REFUSE, ON_SHARE = On.OVERDUE, On.PROMOTE, On.REFUSE, On.SHARE
ON_START = On.START
THEN_FOLLOW, THEN_OWN, THEN_TURN_AWAY = Then.FOLLOW, Then.OWN, Then.TURN_AWAY
TRY_READ, TRY_FOLLOWING, TRY_RUNNING_UNWANTED = Try.READ, Try.FOLLOWING, Try.RUNNING_UNWANTED
TRY_AT_CALL_UNWANTED = Try.AT_CALL_UNWANTED
ON_CORES = (Try.RUNNING, Try.RUNNING_UNWANTED)

FAILED = Answer(Kind.FAILED)
LATE = Answer(Kind.FAILED, late=True)
NEVER_RAN = Answer(Kind.FAILED, headers=())  # told apart from others by identity: the kernel began nothing


class Effect(NamedTuple):
    """One thing for the core to carry out. What a kind does not need is left at its default."""

    do: Do
    x: Exchange
    answer: Answer | None = None
    outcome: Outcome = Outcome.OK
    ms: float = 0.0  # elapsed, or the limit of a call
    body: bytes = b""


class Note(NamedTuple):
    """What comes along with an event."""

    answer: Answer | None = None
    outcome: Outcome = Outcome.OK
    ms: float = 0.0
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Terms:
    """What the desk needs to know of classes and settings; times in milliseconds."""

    give_up_ms: Sequence[float]  # by class: due so long after the arrival
    effectful: Sequence[bool]  # by class: must not run twice
    overdue_ms: float  # past its due time a try is failed, whatever else was decided
    retry_after_ms: float  # told when there is no room for a key, or a start comes too late


NOTHING = Note()
_tuple = tuple.__new__  # the same as Effect(...) or Note(...), without the time for defaults


class Desk:
    """Every public method takes one event and returns the effects, in order. Unknown ids are passed over: they
    belong to tries that are over, or to an earlier life of the server."""

    def __init__(self, terms: Terms, keys: Keys, process: Process) -> None:
        self.terms, self.keys, self.process = terms, keys, process
        self.open: dict[str, Exchange] = {}  # by id, until answered and no longer running
        self.owed = 0  # tries without their final answer

    def find(self, id: str) -> Exchange | None:
        """A try that is not over."""
        return self.open.get(id)

    def wanted(self, id: str) -> bool:
        """Whether somebody still waits for this try."""
        x = self.open.get(id)
        return x is not None and x.state in OWED

    # What happened.

    def submit(self, x: Exchange) -> list[Effect] | None:
        """A request was read whole. None: its id is in use, nothing was taken."""
        if x.id in self.open:
            return None
        x.due = x.arrived + self.terms.give_up_ms[x.cls]
        x.state = TRY_READ
        self.open[x.id] = x
        self.owed += 1
        if not x.key or not self.terms.effectful[x.cls]:
            return self._step(x, ON_ADMIT)
        then, outcome = self.keys.arrive(x)
        if then is THEN_OWN:
            return self._step(x, ON_ADMIT)
        if then is THEN_FOLLOW:
            return self._step(x, ON_FOLLOW)
        if then is THEN_TURN_AWAY:
            outcome = self._refusal()
        return self._step(x, ON_KNOWN, Note(outcome or FAILED))

    def gone(self, x: Exchange) -> list[Effect]:
        """Nobody waits for this try any longer."""
        return self._step(x, ON_GONE) if self.open.get(x.id) is x else []

    def call_needed(self, id: str, body: bytes) -> list[Effect]:
        """A run waits for a call."""
        x = self.open.get(id)
        if x is None:
            return []
        x.call_body = body
        return self._step(x, ON_CALL_NEEDED)

    def called(self, id: str, outcome: Outcome, elapsed_ms: float, reply: bytes = b"") -> list[Effect]:
        """A call came back."""
        x = self.open.get(id)
        if x is None:
            return []
        event = ON_CALL_OK if outcome is Outcome.OK else ON_CALL_BAD
        return self._step(x, event, _tuple(Note, (None, outcome, elapsed_ms, reply)))

    def ended(self, id: str, outcome: Outcome, elapsed_ms: float, answer: Answer | None,
              now: float) -> list[Effect]:
        """A run is over; a refusal or NEVER_RAN as its answer proves that it never began."""
        x = self.open.get(id)
        if x is None or x.state not in STARTED:
            return []
        final = answer or FAILED
        event = ON_NEVER_RAN if final.kind is Kind.REFUSED or final is NEVER_RAN else ON_ENDED
        return self._step(x, event, _tuple(Note, (final, outcome, elapsed_ms, b"")), now)

    def sweep(self, now: float) -> list[Effect]:
        """Guards against anything that leaves a try open: a lost run, a policy that forgot it."""
        out: list[Effect] = []
        end = self.process.answer_by(self.owed)
        for x in list(self.open.values()):
            if x.state in OWED:
                slack = 0.0 if x.state == TRY_FOLLOWING else self.terms.overdue_ms
                if now >= min(x.due + slack, end) and x.state in OWED:
                    out += self._step(x, ON_OVERDUE, Note(LATE), now)
        self.keys.expire(now)
        return out

    def on_cores(self) -> tuple[int, list[Exchange]]:
        """How many runs are on the kernel's cores, and those of them that nobody waits for, the oldest first."""
        running = [x for x in self.open.values() if x.state in ON_CORES and not x.target]
        return len(running), [x for x in running if x.state == TRY_RUNNING_UNWANTED]

    def at_calls_unwanted(self) -> list[Exchange]:
        """Runs at a call that nobody waits for. The kernel ends them by itself and says so."""
        return [x for x in self.open.values() if x.state == TRY_AT_CALL_UNWANTED and not x.target]

    def end_all(self, now: float) -> list[Effect]:
        """The process ends: fail every try that is owed its answer."""
        out: list[Effect] = []
        for x in list(self.open.values()):
            if x.state in OWED:  # one that follows another may have been answered with it
                out += self._step(x, ON_OVERDUE, Note(LATE), now)
        return out

    def left(self, now: float) -> list[tuple[Slot, Answer, float]]:
        """Keys for a process that takes over, with their outcomes and when they lapse. A run that nobody waits for
        goes on in the kernel without us: its key stands for a failure, as nothing can be promised of it."""
        running = [((x.cls, x.key), FAILED, now + self.keys.key_ms) for x in self.open.values()
                   if x.key and x.state in STARTED and self.keys.owns(x)]
        return self.keys.known() + running

    # What the policy decided.

    def start(self, id: str, now: float) -> list[Effect]:
        """Run it, unless it came too long after the notice to leave."""
        x = self.open.get(id)
        if x is None:
            return []
        if not self.process.may_start(x.arrived):
            return self._step(x, ON_BAR, Note(self._refusal(), Outcome.MOOT), now)
        return self._step(x, ON_START)

    def refuse(self, id: str, answer: Answer, now: float) -> list[Effect]:
        """Turn it away. What has started fails instead."""
        x = self.open.get(id)
        return [] if x is None else self._step(x, ON_REFUSE, Note(answer), now)

    def fail(self, id: str, now: float) -> list[Effect]:
        """Give it up."""
        x = self.open.get(id)
        return [] if x is None else self._step(x, ON_FAIL, Note(LATE), now)

    def call(self, id: str, limit_ms: float) -> list[Effect]:
        """Make the call that it waits for."""
        x = self.open.get(id)
        return [] if x is None else self._step(x, ON_CALL, Note(ms=limit_ms))

    # How a step is carried out.

    def _refusal(self) -> Answer:
        return Answer(Kind.REFUSED, retry_after_ms=self.terms.retry_after_ms)

    def _step(self, x: Exchange, event: On, note: Note = NOTHING, now: float = 0.0) -> list[Effect]:
        row = TRY.step(x.state, event, x.id)
        x.state = row.next
        out: list[Effect] = []
        for do in row.effects:
            if do is DO_DELIVER:
                self.owed -= 1
                out.append(_tuple(Effect, (do, x, note.answer, note.outcome, 0.0, b"")))
            elif do <= LAST_OUTWARD:
                out.append(_tuple(Effect, (do, x, note.answer, note.outcome, note.ms, note.body)))
            else:
                self._inward(do, x, note, now, out)
        return out

    def _inward(self, do: Do, x: Exchange, note: Note, now: float, out: list[Effect]) -> None:
        if do is DO_LEAVE:
            del self.open[x.id]
        elif do is DO_WITHDRAW:
            self.owed -= 1
        elif do is DO_DELIVER_FAILED:
            self.owed -= 1
            out.append(Effect(DO_DELIVER, x, FAILED))
        elif not x.key:
            return
        elif do is DO_REMEMBER or do is DO_FREE_KEY:
            answer = note.answer or FAILED
            for one in self.keys.conclude(x, answer, do is DO_REMEMBER, now):
                out += self._step(one, ON_SHARE, Note(answer), now)
        elif do is DO_PASS_ON or do is DO_UNFOLLOW:
            heir = self.keys.leave(x)
            if heir is not None:
                out += self._step(heir, ON_PROMOTE)
