"""What each event of a small world does. The names are those that counter-examples print."""

from __future__ import annotations

from collections.abc import Callable

from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.model_checker.environment import Item
from myrtlespar.model_checker.scenarios import Scenario
from myrtlespar.model_checker.world import (
    DONE,
    DUE_MS,
    IDS,
    MID_READ,
    OUTCOMES,
    TICK_MS,
    UNSENT,
    WAITS,
    Event,
    World,
    nowhere,
)
from myrtlespar.policy.messages import RunOutcome
from myrtlespar.state_machines import dependency_calls as calls
from myrtlespar.state_machines.attempts import STARTED
from myrtlespar.state_machines.client_connection import ConnectionEvent, ConnectionLifecycle, ConnectionState
from myrtlespar.state_machines.command_log import GAP, NEXT, RENUMBERED
from myrtlespar.state_machines.process import ProcessAction, ProcessEvent, ProcessState

REFUSED = Answer(AnswerKind.REFUSED, retry_after_ms=500.0)
HANDOVER_MS = 2700.0  # SIGKILL after a hand-over: the deadline of two ticks, and 0.7 s


def apply(world: World, event: Event) -> None:
    """Make it happen."""
    EVENTS[event[0]](world, *event[1:])


def begin(s: Scenario) -> World:
    """The world at its start."""
    world = World(s)
    if s.begun:
        for n in range(len(s.tries)):
            _send(world, n)
            _whole(world, n)
    return world


def show(event: Event) -> str:
    """The event as a line of a counter-example."""
    return " ".join(IDS[word] if isinstance(word, int) and event[0] in CALLERS else str(word) for word in event)


# Clients.


def _send(w: World, n: int) -> None:
    w.callers[n].stage, w.callers[n].life = MID_READ, w.life
    if not w.conns[w.line(n)].accepts_requests:
        w.conns[w.line(n)] = ConnectionLifecycle(IDS[n])
    if w.s.tries[n].front == "ajp":
        w.be(n, ConnectionEvent.BEGIN)


def _whole(w: World, n: int) -> None:
    one, spec = w.callers[n], w.s.tries[n]
    if not w.conns[w.line(n)].accepts_requests:  # it crossed a close: sent once more, on a new connection
        one.stage = UNSENT
        return
    one.stage = WAITS
    one.late = w.now > w.tracker.process.notice_at + w.tracker.process.grace_ms
    x = w.tries[n] = Exchange(IDS[n], spec.front, int(spec.effectful), b"", w.now, nowhere)
    x.key, x.target = spec.key, spec.target
    w.be(n, ConnectionEvent.REQUEST)
    w.carry(w.tracker.submit(x) or [])


def _cut_short(w: World, n: int) -> None:
    w.spend("give up")
    w.callers[n].stage, w.callers[n].gone = DONE, True
    w.be(n, ConnectionEvent.RESET)


def _spoil(w: World, n: int) -> None:
    w.spend("spoil")
    if w.callers[n].stage == MID_READ:
        w.callers[n].stage = DONE
    w.be(n, ConnectionEvent.SPOILT)


def _turn_away(w: World, n: int) -> None:
    w.spend("spoil")
    w.callers[n].stage = DONE
    w.be(n, ConnectionEvent.TURNED_AWAY)


def _give_up(w: World, n: int) -> None:
    w.spend("give up")
    _leave(w, n, by_message=w.s.tries[n].front == "thrift")


def _reset(w: World, n: int) -> None:
    w.spend("reset")
    _leave(w, n, by_message=False)


def _leave(w: World, n: int, by_message: bool) -> None:
    x = w.tries[n]
    assert x is not None
    if by_message:
        w.be(n, w.answered(n))
        w.callers[n].gone = True
        w.carry(w.tracker.caller_gone(x))
    else:
        w.be(n, ConnectionEvent.RESET)
        w.callers[n].gone = True


def _close(w: World, n: int) -> None:
    w.spend("close")
    w.be(n, ConnectionEvent.CLOSE)


# The policy.


def _run(w: World, id: str) -> None:
    w.policy.ran(id)
    w.carry(w.tracker.start(id, w.now))


def _refuse(w: World, id: str) -> None:
    w.policy.forget(id)
    w.carry(w.tracker.reject(id, REFUSED, w.now))


def _fail(w: World, id: str) -> None:
    w.policy.forget(id)
    w.carry(w.tracker.fail(id, w.now))


def _call(w: World, id: str) -> None:
    w.policy.at_call.remove(id)
    w.carry(w.tracker.start_call(id, DUE_MS))


def _rude(w: World, what: str, id: str) -> None:
    w.spend("rude")
    if what == "run":
        w.carry(w.tracker.start(id, w.now))
    elif what == "call":
        w.carry(w.tracker.start_call(id, DUE_MS))
    else:
        (_refuse if what == "refuse" else _fail)(w, id)


# The link to the kernel.


def _connect(w: World) -> None:
    w.order(w.commands.connected())


def _break(w: World) -> None:
    w.spend("break")
    w.cut()


def _gauges(w: World) -> None:
    w.spend("gauges")
    w.order(w.commands.request_gauges())


def _settle(w: World) -> None:
    w.order(w.commands.request_doubt_mark())


def _hear(w: World) -> None:
    _notice(w, w.kernel.down.pop(0))


def _double(w: World) -> None:
    w.spend("double")
    _notice(w, w.kernel.down[0])


def _gap(w: World) -> None:
    w.spend("gap")
    w.kernel.down.pop(0)


def _notice(w: World, item: Item) -> None:
    c = w.commands
    if item[0] == "BOOTED":
        if item[1] != w.known_kernel and w.known_kernel >= 0:
            c.restarted()
            for id, x in list(w.tracker.requests.items()):
                if x.state in STARTED and not x.target and id not in c.unconfirmed:
                    w.ended(id, RunOutcome.ERROR, None)
        w.known_kernel = item[1]
        w.order(c.booted())
    elif item[0] == "INFO":
        w.order(c.mark_received(item[1]) or [])
    elif item[0] == "EINVAL":
        c.run_reported(item[1])
        w.ended(item[1], RunOutcome.MOOT, None)
    else:
        kind = c.classify_notice(item[1])
        if kind == RENUMBERED:  # this kernel is known by its id: its numbers must not contradict that
            w.fell.append("no kernel taken for another")
        elif kind == GAP:
            w.cut()
        elif kind == NEXT:
            c.run_reported(item[3])
            if item[2] == "IOREQ":
                w.carry(w.tracker.call_needed(item[3], b"%d" % item[4]))
            else:
                served = Answer(AnswerKind.SERVED, b"r" + item[3].encode()) if item[4] == "PASS" else None
                w.ended(item[3], OUTCOMES[item[4]], served)


# The kernel.


def _read(w: World, refuse: bool = False, over: bool = False) -> None:
    before = sum(w.kernel.starts.values())
    rid = w.kernel.up[0][1] if w.kernel.up[0][0] == "SCHED" else ""
    w.kernel.read(refuse, over)
    if sum(w.kernel.starts.values()) > before:
        began(w, rid)


def began(w: World, rid: str) -> None:
    """A run has begun: does any rule forbid it?"""
    n = IDS.index(rid)
    spec, one = w.s.tries[n], w.callers[n]
    if one.late and one.life == w.life:
        w.fell.append("no start after the grace")
    if not spec.effectful:
        return
    if w.kernel.starts[rid] > 1:
        w.fell.append("one start a try")
    for m, other in enumerate(w.s.tries):
        twin = IDS[m]
        if m != n and spec.key and other.key == spec.key and w.kernel.starts.get(twin):
            over = w.concluded.get(twin, float("inf")) + w.s.key_ms
            if w.callers[m].life == one.life and w.now < over:
                w.fell.append("one start a key")


def _read_einval(w: World) -> None:
    w.spend("einval")
    _read(w, refuse=True)


def _read_over(w: World) -> None:
    _read(w, over=True)


def _end(w: World, rid: str, status: str) -> None:
    w.kernel.end(rid, status)


def _ask(w: World, rid: str) -> None:
    w.kernel.ask(rid)


def _kernel_restart(w: World) -> None:
    w.spend("kernel")
    w.cut()
    w.kernel.restart()


# The store and the workers.


def _reply(w: World, id: str, end: str) -> None:
    number = w.pending.pop(id)
    if end == "OK":
        w.carry(w.tracker.call_ended(id, RunOutcome.OK, 0.0, b"%d" % number))
        return
    w.spend("bad reply")
    w.carry(w.tracker.call_ended(id, RunOutcome.REJECTED if end == "BUSY" else RunOutcome.ERROR, 0.0))


def _worker(w: World, id: str, end: str) -> None:
    w.workers.remove(id)
    if end == "UNREACHED":
        return w.ended(id, RunOutcome.ERROR, REFUSED)
    w.kernel.starts[id] = w.kernel.starts.get(id, 0) + 1
    began(w, id)
    served = Answer(AnswerKind.SERVED, b"w" + id.encode())
    w.ended(id, RunOutcome.OK if end == "PASS" else RunOutcome.ERROR, served if end == "PASS" else None)
    return None


def _wire(w: World, number: int) -> calls.DependencyConnection:
    return next(wire for wire in w.wires if wire.number == number)


def _wire_opened(w: World, number: int) -> None:
    w.order_calls(w.calls.opened(_wire(w, number), w.now))


def _wire_refused(w: World, number: int) -> None:
    w.spend("store")
    wire = _wire(w, number)
    w.wires.remove(wire)
    w.order_calls(w.calls.open_failed(wire))


def _wire_over(w: World, number: int) -> None:
    wire = _wire(w, number)
    w.wires.remove(wire)
    w.copies = [copy for copy in w.copies if copy[0] != number]
    w.order_calls(w.calls.connection_lost(wire))


def _wire_broken(w: World, number: int) -> None:
    w.spend("store")
    _wire_over(w, number)


def _wire_reply(w: World, number: int, end: str) -> None:
    wire = _wire(w, number)
    assert wire.call is not None
    if end != "OK":
        w.spend("store")
    outcome = RunOutcome.OK if end == "OK" else RunOutcome.REJECTED
    w.order_calls(w.calls.reply_received(wire, wire.call.id, outcome, wire.call.body, w.now) or [])


def _wire_doubled(w: World, number: int) -> None:
    w.spend("store")
    wire = _wire(w, number)
    assert wire.call is not None
    w.copies.append((number, wire.call.id, wire.call.body))
    w.order_calls(w.calls.reply_received(wire, wire.call.id, RunOutcome.OK, wire.call.body, w.now) or [])


def _wire_copy(w: World, n: int) -> None:
    number, id, body = w.copies.pop(n)
    w.order_calls(w.calls.reply_received(_wire(w, number), id, RunOutcome.OK, body, w.now) or [])


# The process and time.


def _notice_to_leave(w: World) -> None:
    w.spend("notice")
    _acts(w, w.tracker.process.drain_notice(w.now))


def _hand_over(w: World) -> None:
    """SIGTERM while a second process serves beside this one; it is killed as the drain would be."""
    w.spend("notice")
    _acts(w, w.tracker.process.handover(w.now, HANDOVER_MS))


def _move(w: World) -> None:
    w.spend("move")
    _acts(w, w.tracker.process.handle(ProcessEvent.RELOAD))


def _bad_reload(w: World) -> None:
    w.spend("bad reload")
    _acts(w, w.tracker.process.handle(ProcessEvent.BAD_RELOAD))


def _look(w: World) -> None:
    _acts(w, w.tracker.process.poll(w.now, w.tracker.unanswered))


def _acts(w: World, acts: tuple[ProcessAction, ...]) -> None:
    for act in acts:
        if act is ProcessAction.ASK_CLIENTS:
            for n, spec in enumerate(w.s.tries):
                if spec.front == "ajp":
                    w.be(n, ConnectionEvent.CLOSE)
        elif act is ProcessAction.MOVE_LINKS:
            w.order(w.commands.move())
            w.order_calls(w.calls.change_address())
        elif act is ProcessAction.CLOSE_LISTENERS:
            w.listening = False
        elif act is ProcessAction.FLUSH:
            for n in range(len(w.s.tries)):
                if w.line(n) == n:
                    w.be(n, ConnectionEvent.END)
        elif act is ProcessAction.STOP:
            w.stopped = True
            for n, one in enumerate(w.callers):
                if one.stage == WAITS and one.life == w.life and not one.answers and not one.gone:
                    w.fell.append("the drain answers all")
                w.be(
                    n,
                    ConnectionEvent.RESET
                    if w.conns[w.line(n)].state != ConnectionState.CLOSED
                    else ConnectionEvent.CLOSE,
                )


def _flushed(w: World) -> None:
    _acts(w, w.tracker.process.handle(ProcessEvent.FLUSHED))


def _deaf(w: World) -> None:
    w.spend("deaf")
    w.deaf = True


def _tick(w: World) -> None:
    w.now += TICK_MS
    if w.stopped:
        return
    w.carry(w.tracker.fail_overdue(w.now))
    w.order_calls(w.calls.expire(w.now))
    p = w.tracker.process
    for _ in range(3):
        if w.now >= p.kill_at and p.state == ProcessState.FLUSHING:
            _flushed(w)
        elif w.now >= p.kill_at and p.state != ProcessState.STOPPED:
            _look(w)
    if w.now >= p.kill_at and not w.stopped:
        w.fell.append("the drain ends")


def _kill(w: World) -> None:
    w.life += 1
    for one in w.callers:
        if one.stage in (MID_READ, WAITS):
            one.stage, one.gone = DONE, True
    w.kernel.new_server()
    w.known_kernel, w.listening, w.stopped = -1, True, False
    w.spent.pop("notice", None)
    w.start()


EVENTS: dict[str, Callable[..., None]] = {
    "send": _send,
    "whole": _whole,
    "cut short": _cut_short,
    "spoil": _spoil,
    "give up": _give_up,
    "reset": _reset,
    "close": _close,
    "run": _run,
    "refuse": _refuse,
    "fail": _fail,
    "call": _call,
    "rude": _rude,
    "connect": _connect,
    "break": _break,
    "settle": _settle,
    "gauges": _gauges,
    "hear": _hear,
    "double": _double,
    "gap": _gap,
    "read": _read,
    "read einval": _read_einval,
    "read over": _read_over,
    "end": _end,
    "ask": _ask,
    "kernel restart": _kernel_restart,
    "reply": _reply,
    "worker": _worker,
    "wire opened": _wire_opened,
    "wire refused": _wire_refused,
    "wire over": _wire_over,
    "wire broken": _wire_broken,
    "wire reply": _wire_reply,
    "wire doubled": _wire_doubled,
    "wire copy": _wire_copy,
    "notice": _notice_to_leave,
    "hand over": _hand_over,
    "move": _move,
    "bad reload": _bad_reload,
    "look": _look,
    "flushed": _flushed,
    "deaf": _deaf,
    "turn away": _turn_away,
    "tick": _tick,
    "kill": _kill,
}
CALLERS = frozenset({"send", "whole", "cut short", "spoil", "turn away", "give up", "reset", "close"})
