"""One small world: the server's machines, wired as the server wires them, and all that surrounds them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.model_checker.environment import KernelModel, PolicyModel
from myrtlespar.model_checker.scenarios import Scenario
from myrtlespar.policy.messages import RunOutcome
from myrtlespar.state_machines import command_log, dependency_tables, engine_link
from myrtlespar.state_machines import dependency_calls as calls
from myrtlespar.state_machines.attempts import AttemptAction
from myrtlespar.state_machines.attempts import AttemptState as State
from myrtlespar.state_machines.client_connection import ConnectionAction as ConnDo
from myrtlespar.state_machines.client_connection import ConnectionEvent, ConnectionLifecycle, ConnectionState
from myrtlespar.state_machines.idempotency_keys import IdempotencyKeyTable
from myrtlespar.state_machines.process import ProcessLifecycle, ProcessState
from myrtlespar.state_machines.request_effects import RequestEffect, RequestTerms
from myrtlespar.state_machines.request_tracker import RequestTracker

Event = tuple[Any, ...]
TICK_MS = 1000.0
DUE_MS, OVERDUE_MS, GRACE_MS, STOP_MS, SWEEP_MS = 2000.0, 60.0, 1000.0, 3000.0, 50.0
FLUSH_MS, CALL_MS = 600.0, 900.0
OUTCOMES = {"PASS": RunOutcome.OK, "FAIL": RunOutcome.ERROR, "KILLED": RunOutcome.STOPPED, "NOOP": RunOutcome.MOOT}
IDS = "abcdefgh"
UNSENT, MID_READ, WAITS, DONE = range(4)


def nowhere(exchange: Exchange, answer: Answer) -> None:
    """Delivery is done by the world itself."""


def quiet(wire: calls.DependencyConnection) -> bool:
    """Nothing comes unasked on a store's connection here but what the world delivers."""
    return True


TERMS = RequestTerms((DUE_MS, DUE_MS), (False, True), OVERDUE_MS, 500.0)


def bounds(s: Scenario) -> calls.CallLimits:
    """The limits of calls in this scenario."""
    return calls.CallLimits(s.store_links, s.store_waiting, 5000.0, s.served, 60.0)


@dataclass(slots=True)
class Caller:
    """The client of one try."""

    stage: int = UNSENT
    answers: list[str] = field(default_factory=list)
    gone: bool = False
    life: int = 0  # of the server that it is or was sent to
    late: bool = False  # reached the machine later than the grace after the notice


class World:
    """Everything. `apply` makes one event happen; `fell` names the rules that fell with it."""

    def __init__(self, s: Scenario) -> None:
        self.s = s
        self.now, self.life, self.listening, self.stopped = 0.0, 1, True, False
        self.kernel, self.known_kernel = KernelModel(), -1
        self.callers = [Caller() for _ in s.tries]
        self.spent: dict[str, int] = {}  # how often each thing went wrong
        self.fell: list[str] = []
        self.concluded: dict[str, float] = {}  # when the server held a run for over
        self.start()
        self._shake_hands()

    def _shake_hands(self) -> None:
        """The first link stands when the world begins: what can go wrong on it does so on later ones too."""
        c, kernel = self.commands, self.kernel
        self.order(c.connected())
        kernel.read(False, False)
        self.known_kernel = kernel.down.pop(0)[1]
        self.order(c.booted())
        kernel.read(False, False)
        self.order(c.mark_received(kernel.down.pop(0)[1]) or [])

    def start(self) -> None:
        """A new life of the server."""
        s = self.s
        self.policy = PolicyModel()
        self.tracker = RequestTracker(
            TERMS,
            IdempotencyKeyTable(s.keys_most, s.key_ms, s.followers, 64),
            ProcessLifecycle(STOP_MS, GRACE_MS, SWEEP_MS, FLUSH_MS, 0.0),
        )
        self.commands = command_log.CommandLog(self.tracker.is_wanted, 8)
        self.calls = calls.DependencyCalls(bounds(s), quiet)
        self.conns = [ConnectionLifecycle(IDS[n]) for n in range(len(s.tries))]
        self.tries: list[Exchange | None] = [None for _ in s.tries]
        self.pending: dict[str, int] = {}  # calls made of an abstract store: the number of the call
        self.wires: list[calls.DependencyConnection] = []  # store connections, open or being opened
        self.copies: list[tuple[int, str, bytes]] = []  # second copies of replies still to come on a connection
        self.workers: list[str] = []
        self.deaf = False  # the link takes nothing more

    # What may happen.

    def left(self, what: str, most: int) -> bool:
        """Whether a thing may still go wrong."""
        return self.spent.get(what, 0) < most

    def spend(self, what: str) -> None:
        """One thing went wrong once more."""
        self.spent[what] = self.spent.get(what, 0) + 1

    def enabled(self) -> list[Event]:
        """Every event that may come next, in a fixed order."""
        out: list[Event] = []
        if not self.stopped:
            self._client_events(out)
            self._policy_events(out)
            self._link_events(out)
            self._store_events(out)
            if self.s.drain and self.left("notice", self.s.notices):
                out.append(("hand over",) if self.s.handover else ("notice",))
            if self.left("move", self.s.moves):
                out.append(("move",))
            if self.left("bad reload", self.s.bad_reloads):
                out.append(("bad reload",))
            if self._may_look():
                out.append(("look",))
            if self.tracker.process.state == ProcessState.FLUSHING:
                out.append(("flushed",))
        if self.life < self.s.lives:
            out.append(("kill",))
        self._kernel_events(out)
        if self.now < self.s.ticks * TICK_MS:
            out.append(("tick",))
        return out

    def _client_events(self, out: list[Event]) -> None:
        for n, one in enumerate(self.callers):
            x, conn = self.tries[n], self.conns[self.line(n)]
            if one.stage < WAITS and conn.state == ConnectionState.IDLE and self.left("close", self.s.closes):
                out.append(("close", n))
            if one.stage == UNSENT:
                before = self.s.alike(n)
                turn = before < 0 or self.callers[before].stage != UNSENT
                if self.listening and conn.state != ConnectionState.ENDING and turn:
                    out.append(("send", n))
            elif one.stage == MID_READ:
                out.append(("whole", n))
                if self.left("give up", self.s.give_ups):
                    out.append(("cut short", n))
                if conn.accepts_requests and self.left("spoil", self.s.spoils):
                    out.append(("spoil", n))
                    if conn.state == ConnectionState.READING:
                        out.append(("turn away", n))
            elif one.stage == WAITS and x is not None and not one.gone:
                if not one.answers and self.left("give up", self.s.give_ups):
                    out.append(("give up", n))
                if self.left("reset", self.s.resets):
                    out.append(("reset", n))
                if not one.answers and self.left("spoil", self.s.spoils) and conn.state == ConnectionState.OWING:
                    out.append(("spoil", n))

    def _policy_events(self, out: list[Event]) -> None:
        if not self.s.silent:
            for id in self.policy.held:
                out += [("run", id), ("refuse", id), ("fail", id)]
            for id in self.policy.running:
                if id in self.policy.at_call:
                    out.append(("call", id))
                out.append(("fail", id))
        if self.left("rude", self.s.rude):
            for id in self.tracker.requests:
                out += [("rude", what, id) for what in ("run", "refuse", "fail", "call")]

    def _link_events(self, out: list[Event]) -> None:
        c = self.commands
        if c.state == engine_link.LinkState.DOWN:
            out.append(("connect",))
        else:
            if self.kernel.down:
                out.append(("hear",))
                if self.kernel.down[0][0] == "N":
                    if self.left("double", self.s.doubled):
                        out.append(("double",))
                    if self.left("gap", self.s.gaps):
                        out.append(("gap",))
            if self.left("gauges", self.s.asks):
                out.append(("gauges",))
            if self.left("deaf", self.s.deaf):
                out.append(("deaf",))
            if self.deaf or self.left("break", self.s.breaks):
                out.append(("break",))
            doubt = any(one.state == engine_link.CommandState.DOUBTFUL for one in c.unconfirmed.values())
            if (
                doubt
                and c.state == engine_link.LinkState.READY
                and not any(m.startswith("doubt") for m in c.pending_marks)
            ):
                out.append(("settle",))

    def _kernel_events(self, out: list[Event]) -> None:
        kernel = self.kernel
        if kernel.up:
            out.append(("read",))
            if kernel.up[0][0] == "SCHED":
                if self.left("einval", self.s.einvals):
                    out.append(("read einval",))
                if self._over(kernel.up[0][1]):
                    out.append(("read over",))
        for rid, (waits, made) in kernel.runs.items():
            if waits:
                if self._over(rid):
                    out.append(("end", rid, "KILLED"))
            else:
                out += [("end", rid, "PASS"), ("end", rid, "FAIL")]
                if made < self.s.calls:
                    out.append(("ask", rid))
        if self.left("kernel", self.s.kernels):
            out.append(("kernel restart",))

    def _store_events(self, out: list[Event]) -> None:
        for id in self.pending:
            out.append(("reply", id, "OK"))
            if self.left("bad reply", self.s.bad_replies):
                out += [("reply", id, "BUSY"), ("reply", id, "ERR")]
        for id in self.workers:
            out += [("worker", id, end) for end in ("PASS", "FAIL", "UNREACHED")]
        for wire in self.wires:
            fault = self.left("store", self.s.store_faults)
            if wire.state == dependency_tables.DependencyConnectionState.OPENING:
                out.append(("wire opened", wire.number))
                if fault:
                    out.append(("wire refused", wire.number))
            elif wire.state == dependency_tables.DependencyConnectionState.SPENT:
                out.append(("wire over", wire.number))
            else:
                if wire.state == dependency_tables.DependencyConnectionState.BUSY:
                    out.append(("wire reply", wire.number, "OK"))
                    if fault:
                        out += [("wire reply", wire.number, "BUSY"), ("wire doubled", wire.number)]
                if fault:
                    out.append(("wire broken", wire.number))
        out += [("wire copy", n) for n in range(len(self.copies))]

    def _over(self, rid: str) -> bool:
        one = self.callers[IDS.index(rid)]
        return one.gone or bool(one.answers) or one.life != self.life or self.stopped

    def _may_look(self) -> bool:
        p = self.tracker.process
        return p.state == ProcessState.CROSSING or (
            p.state == ProcessState.DRAINING and self.now > p.notice_at + GRACE_MS
        )

    # What follows from it, as `core.py`, `net/kernel.py`, `net/store.py` and the fronts carry it out.

    def carry(self, effects: list[RequestEffect]) -> None:
        """The core's part."""
        for do, x, answer, outcome, _, body in effects:
            if do is AttemptAction.DELIVER:
                assert answer is not None
                self._deliver(x, answer)
            elif do is AttemptAction.TELL_ARRIVAL:
                self.policy.arrival(x.id)
            elif do is AttemptAction.START_RUN:
                if x.target:
                    self.workers.append(x.id)
                else:
                    self.order(self.commands.send(command_log.Command(x.id, b"", True, x.class_index == 0)))
            elif do is AttemptAction.MAKE_CALL:
                if self.s.store:
                    self.order_calls(self.calls.start_call(x.id, CALL_MS, x.call_body, self.now))
                else:
                    self.pending[x.id] = int(x.call_body)
            elif do is AttemptAction.DROP_CALL:
                self.pending.pop(x.id, None)
                if self.s.store:
                    self.order_calls(self.calls.cancel(x.id))
            elif do is AttemptAction.RESUME:
                self.order(self.commands.send(command_log.Command(x.id, body, False)))
            elif do is AttemptAction.TELL_CALL_NEEDED:
                self.policy.call_needed(x.id)
            elif do is AttemptAction.TELL_CALL_ENDED:
                if outcome is not RunOutcome.OK:
                    self.policy.call_needed(x.id)
            elif do in (AttemptAction.TELL_GONE, AttemptAction.TELL_ENDED):
                self.policy.forget(x.id)

    def _deliver(self, x: Exchange, answer: Answer) -> None:
        n = IDS.index(x.id)
        one = self.callers[n]
        one.answers.append(answer.kind.value)
        if one.gone:
            self.fell.append("answer to nobody")
        linked = [
            m for m, other in enumerate(self.s.tries) if m == n or (other.key and other.key == self.s.tries[n].key)
        ]
        if answer.kind is AnswerKind.SERVED and not any(
            IDS[m] in self.kernel.passed or answer.body == b"w" + IDS[m].encode() for m in linked
        ):
            self.fell.append("true answers")
        if answer.kind is AnswerKind.REFUSED and self.s.tries[n].effectful and self.kernel.starts.get(x.id):
            self.fell.append("no refusal after a start")
        self.be(n, self.answered(n))

    def line(self, n: int) -> int:
        """The connection of a caller."""
        link = self.s.tries[n].link
        return n if link < 0 else link

    def sharing(self, n: int) -> list[int]:
        """All callers on its connection that wait."""
        return [
            m
            for m, one in enumerate(self.callers)
            if self.line(m) == self.line(n) and one.stage == WAITS and not one.answers and not one.gone
        ]

    def answered(self, n: int) -> ConnectionEvent:
        """What the end of this caller's wait is for its connection."""
        return ConnectionEvent.ANSWERED if any(m != n for m in self.sharing(n)) else ConnectionEvent.LAST_ANSWERED

    def be(self, n: int, event: ConnectionEvent) -> None:
        """The front's part: something happens to the connection of a caller."""
        for do in self.conns[self.line(n)].handle(event):
            if do is ConnDo.GONE:
                for m in self.sharing(n):
                    x = self.tries[m]
                    self.callers[m].gone = True
                    if x is not None:
                        self.carry(self.tracker.caller_gone(x))

    def order(self, orders: list[command_log.LinkEffect]) -> None:
        """The kernel link's part."""
        up = self.kernel.up
        for one in orders:
            if isinstance(one, command_log.EndRun):
                self.ended(one.request_id, RunOutcome.MOOT, None)
            elif isinstance(one, command_log.WriteCommand):
                command = one.command
                if self.deaf:
                    self.commands.send_failed(command)
                    continue
                up.append(
                    ("SCHED", command.request_id)
                    if command.is_start
                    else ("IODONE", command.request_id, int(command.line))
                )
            elif self.deaf and not isinstance(one, command_log.CloseLink):
                continue
            elif isinstance(one, command_log.RequestMark):
                up.append(("MARK", one.name))
            elif isinstance(one, command_log.SendOpen):
                up.append(("OPEN", one.last_notice))
            else:
                self.cut()

    def cut(self) -> None:
        """The link to the kernel is over."""
        self.kernel.cut()
        self.deaf = False
        if self.commands.state != engine_link.LinkState.DOWN:
            self.commands.broken()

    def order_calls(self, orders: list[calls.CallEffect]) -> None:
        """The store's part."""
        for one in orders:
            if isinstance(one, calls.OpenConnection):
                self.wires.append(one.connection)
            elif isinstance(one, calls.EndCall):
                self.carry(self.tracker.call_ended(one.call.id, one.outcome, 0.0, one.reply))

    def ended(self, rid: str, outcome: RunOutcome, answer: Answer | None) -> None:
        """A run is over as far as the server is concerned."""
        self.concluded.setdefault(rid, self.now)
        self.carry(self.tracker.run_ended(rid, outcome, 0.0, answer, self.now))

    def describe(self) -> str:
        """The state in one line, for counter-examples."""
        p, c = self.tracker.process, self.commands
        tries = " ".join(f"{x.id}={State(x.state).name}" for x in self.tries if x is not None)
        answers = " ".join(f"{IDS[n]}:{','.join(one.answers)}" for n, one in enumerate(self.callers) if one.answers)
        runs = " ".join(f"{rid}x{count}" for rid, count in sorted(self.kernel.starts.items()))
        return (
            f"{self.now / TICK_MS:.0f}s {ProcessState(p.state).name} link={engine_link.LinkState(c.state).name} {tries}"
            f"{' answers ' + answers if answers else ''}{' starts ' + runs if runs else ''}"
        )
