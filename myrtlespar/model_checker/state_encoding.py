"""Worlds as plain tuples and back. One form serves for storing a state, comparing it and copying it: numbers that
only grow (marks, places in the order of sending) are taken relatively, so that equal futures have equal forms.
"""

from __future__ import annotations

import marshal
from collections import deque
from typing import Any

import xxhash

from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.model_checker.environment import KernelModel, PolicyModel
from myrtlespar.model_checker.scenarios import Scenario
from myrtlespar.model_checker.world import (
    FLUSH_MS,
    GRACE_MS,
    IDS,
    OVERDUE_MS,
    STOP_MS,
    SWEEP_MS,
    TERMS,
    Caller,
    World,
    bounds,
    nowhere,
    quiet,
)
from myrtlespar.state_machines.client_connection import ConnectionLifecycle
from myrtlespar.state_machines.command_log import Command, CommandLog
from myrtlespar.state_machines.dependency_calls import DependencyCall, DependencyCalls, DependencyConnection
from myrtlespar.state_machines.idempotency_keys import IdempotencyKeyTable, KeyEntry
from myrtlespar.state_machines.process import ProcessLifecycle
from myrtlespar.state_machines.request_tracker import RequestTracker

Plain = tuple[Any, ...]
KINDS = {kind.value: kind for kind in AnswerKind}
__all__ = ["OVERDUE_MS", "digest", "freeze", "pack", "thaw", "unpack"]


def freeze(world: World) -> bytes:
    """The state as bytes; equal states give equal bytes."""
    return marshal.dumps(pack(world), 2)


def thaw(data: bytes) -> Plain:
    """The plain form of frozen bytes."""
    plain: Plain = marshal.loads(data)
    return plain


def digest(data: bytes) -> int:
    """64 bits for a state: among 10 million, two share theirs by chance with a probability of 3 in a million."""
    return int(xxhash.xxh3_64_intdigest(data))


def pack(w: World) -> Plain:
    """The state as a plain tuple."""
    k, c, d = w.kernel, w.commands, w.tracker
    p, keys = d.process, d.keys
    names = {name: f"{name.partition('-')[0]}-{n}" for n, name in enumerate(c.pending_marks, 1)}
    ranks = sorted(one.sequence_number for one in c.unconfirmed.values() if one.sequence_number)
    return (
        w.now,
        w.life,
        w.listening,
        w.stopped,
        w.known_kernel,
        tuple((one.stage, tuple(one.answers), one.gone, one.life, one.late) for one in w.callers),
        tuple(sorted(w.spent.items())),
        tuple(sorted(w.concluded.items())),
        (tuple(w.policy.held), tuple(w.policy.running), tuple(w.policy.at_call)),
        tuple([int(conn.state) for conn in w.conns]),
        tuple(sorted(w.pending.items())),
        tuple(w.copies),
        tuple(w.workers),
        (
            k.life,
            k.linked,
            tuple([(rid, *run) for rid, run in sorted(k.runs.items())]),
            tuple(sorted(k.starts.items())),
            tuple(sorted(k.passed)),
            k.wrong_reply,
            tuple(k.notices),
            _renamed(k.up, names),
            _renamed(k.down, names),
        ),
        tuple(
            [
                None
                if x is None
                else (x.id, x.front, x.class_index, x.arrived_at, x.due_at, x.key, x.target, x.call_body, int(x.state))
                for x in w.tries
            ]
        ),
        tuple(d.requests),
        d.unanswered,
        (int(p.state), p.notice_at, p.kill_at, p.closed_at),
        tuple(
            [
                (
                    slot,
                    int(e.state),
                    e.owner.id if e.owner else "",
                    tuple([x.id for x in e.followers]),
                    _answer(e.outcome),
                )
                for slot, e in keys.entries.items()
            ]
        ),
        tuple(keys.expiry),
        (
            int(c.state),
            c.last_notice,
            c.gap_after,
            c.awaits_first_notice,
            sum(rank <= c.sent_before_link for rank in ranks),
        ),
        tuple(
            [
                (
                    rid,
                    one.line,
                    one.is_start,
                    one.is_idempotent,
                    ranks.index(one.sequence_number) + 1 if one.sequence_number else 0,
                    int(one.state),
                )
                for rid, one in c.unconfirmed.items()
            ]
        ),
        tuple([(names[name], sum(rank <= newest for rank in ranks)) for name, newest in c.pending_marks.items()]),
        _pack_calls(w.calls, w.wires),
        w.deaf,
    )


def _renamed(items: list[Any], names: dict[str, str]) -> Plain:
    return tuple([(item[0], names.get(item[1], "lost-0")) if item[0] in ("MARK", "INFO") else item for item in items])


def _answer(answer: Answer | None) -> Plain | None:
    return None if answer is None else (answer.kind.value, answer.body, answer.retry_after_ms, answer.late)


def _pack_calls(c: DependencyCalls, wires: list[DependencyConnection]) -> Plain:
    if not wires and not c.calls and not c.waiting:
        return (c.connection_count, c.last_connection_number, c.address_epoch)
    every = {call: n for n, call in enumerate(dict.fromkeys((*c.calls.values(), *c.waiting)))}
    return (
        c.connection_count,
        c.last_connection_number,
        c.address_epoch,
        tuple(
            [
                (
                    call.id,
                    call.body,
                    call.started_at,
                    call.limit_ms,
                    int(call.state),
                    call.connection.number if call.connection else 0,
                )
                for call in every
            ]
        ),
        tuple([every[call] for call in c.calls.values()]),
        tuple([every[call] for call in c.waiting]),
        tuple(
            [
                (
                    wire.number,
                    wire.address_epoch,
                    tuple(wire.recent_requests),
                    int(wire.state),
                    every[wire.call] if wire.call else -1,
                    wire.idle_since,
                )
                for wire in wires
            ]
        ),
        tuple([wire.number for wire in c.idle]),
    )


def unpack(s: Scenario, plain: Plain) -> World:
    """The world of a plain form. It shares nothing that may change."""
    (
        now,
        life,
        listening,
        stopped,
        known,
        callers,
        spent,
        concluded,
        policy,
        conns,
        pending,
        copies,
        workers,
        kernel,
        tries,
        opened,
        owed,
        process,
        entries,
        expiry,
        link,
        commands,
        marks,
        calls,
        deaf,
    ) = plain
    w = World.__new__(World)
    w.s, w.fell = s, []
    w.now, w.life, w.listening, w.stopped, w.known_kernel = now, life, listening, stopped, known
    w.callers = [Caller(stage, list(answers), gone, at, late) for stage, answers, gone, at, late in callers]
    w.spent, w.concluded = dict(spent), dict(concluded)
    w.policy = PolicyModel(*map(list, policy))
    w.conns = [_conn(n, state) for n, state in enumerate(conns)]
    w.pending, w.copies, w.workers = dict(pending), list(copies), list(workers)
    lives, linked, runs, starts, passed, wrong, notices, up, down = kernel
    w.kernel = KernelModel(
        lives,
        linked,
        {rid: [waits, made] for rid, waits, made in runs},
        dict(starts),
        set(passed),
        wrong,
        list(notices),
        list(up),
        list(down),
    )
    w.tries = [None if row is None else _exchange(row) for row in tries]
    named = {x.id: x for x in w.tries if x is not None}
    p = ProcessLifecycle(STOP_MS, GRACE_MS, SWEEP_MS, FLUSH_MS, 0.0)
    p.state, p.notice_at, p.kill_at, p.closed_at = process
    keys = IdempotencyKeyTable(s.keys_most, s.key_ms, s.followers, 64)
    keys.expiry = deque(expiry)
    for slot, state, owner, followers, outcome in entries:
        keys.entries[slot] = KeyEntry(
            state,
            named[owner] if owner else None,
            [named[id] for id in followers],
            None if outcome is None else Answer(KINDS[outcome[0]], outcome[1], outcome[2], late=outcome[3]),
        )
    w.tracker = RequestTracker(TERMS, keys, p)
    w.tracker.unanswered = owed
    w.tracker.requests = {id: named[id] for id in opened}
    c = w.commands = CommandLog(w.tracker.is_wanted, 8)
    c.state, c.last_notice, c.gap_after, c.awaits_first_notice, c.sent_before_link = link
    c.unconfirmed = {
        rid: Command(rid, line, start, harmless, sent, state) for rid, line, start, harmless, sent, state in commands
    }
    c.pending_marks, c.last_mark_number, c.sent_count = dict(marks), len(marks), len(commands)
    w.calls, w.wires = _unpack_calls(s, calls)
    w.deaf = deaf
    return w


def _conn(n: int, state: int) -> ConnectionLifecycle:
    conn = ConnectionLifecycle(IDS[n])
    conn.state = state
    return conn


def _exchange(row: Plain) -> Exchange:
    id, front, cls, arrived, due, key, target, body, state = row
    x = Exchange(id, front, cls, b"", arrived, nowhere)
    x.due_at, x.key, x.target, x.call_body, x.state = due, key, target, body, state
    return x


def _unpack_calls(s: Scenario, plain: Plain) -> tuple[DependencyCalls, list[DependencyConnection]]:
    out = DependencyCalls(
        bounds(s), quiet, connection_count=plain[0], last_connection_number=plain[1], address_epoch=plain[2]
    )
    if len(plain) == 3:
        return out, []
    rows, by_id, waiting, wires, idle = plain[3:]
    links = {
        number: DependencyConnection(number, epoch, deque(served, s.served), state, None, used)
        for number, epoch, served, state, _, used in wires
    }
    every = [
        DependencyCall(id, body, made, limit, state, links.get(wire)) for id, body, made, limit, state, wire in rows
    ]
    for number, _, _, _, call, _ in wires:
        links[number].call = every[call] if call >= 0 else None
    out.calls = {every[n].id: every[n] for n in by_id}
    out.waiting = deque(every[n] for n in waiting)
    out.idle = deque(links[number] for number in idle)
    return out, list(links.values())
