"""Converts packed states back to worlds, the inverse of `state_encoding`."""

from __future__ import annotations

from collections import deque

from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.model_checker.environment import EngineModel, PolicyModel
from myrtlespar.model_checker.scenarios import Scenario
from myrtlespar.model_checker.state_encoding import PackedState
from myrtlespar.model_checker.world import (
    ATTEMPT_IDS,
    FLUSH_MS,
    GRACE_MS,
    STOP_MS,
    SWEEP_MS,
    TERMS,
    Caller,
    World,
    call_limits,
    discard_answer,
    has_no_unread_input,
)
from myrtlespar.state_machines.client_connection import ConnectionLifecycle
from myrtlespar.state_machines.command_log import Command, CommandLog
from myrtlespar.state_machines.dependency_calls import DependencyCall, DependencyCalls, DependencyConnection
from myrtlespar.state_machines.idempotency_keys import IdempotencyKeyTable, KeyEntry
from myrtlespar.state_machines.process import ProcessLifecycle
from myrtlespar.state_machines.request_tracker import RequestTracker

KINDS = {kind.value: kind for kind in AnswerKind}


def unpack(scenario: Scenario, packed: PackedState) -> World:
    """Return a new world for a packed state; it shares no mutable value with other worlds."""
    # This function is long because it has one line for each field, in the order of `state_encoding.pack`.
    (
        now,
        incarnation,
        listening,
        stopped,
        known_engine,
        callers,
        fault_counts,
        concluded_at,
        policy,
        connections,
        pending,
        duplicate_replies,
        workers,
        engine,
        exchanges,
        requests,
        unanswered,
        process,
        keys,
        expiry,
        commands,
        calls,
        stalled,
    ) = packed
    world = World.__new__(World)
    world.scenario = scenario
    world.violations = []
    world.now = now
    world.incarnation = incarnation
    world.listening = listening
    world.stopped = stopped
    world.known_engine = known_engine
    world.callers = [
        Caller(stage, list(answers), gone, sent_to, late) for stage, answers, gone, sent_to, late in callers
    ]
    world.fault_counts = dict(fault_counts)
    world.concluded_at = dict(concluded_at)
    world.policy = PolicyModel(*map(list, policy))
    world.connections = [_unpack_connection(n, state) for n, state in enumerate(connections)]
    world.pending = dict(pending)
    world.duplicate_replies = list(duplicate_replies)
    world.workers = list(workers)
    world.engine = _unpack_engine(engine)
    world.exchanges = [None if row is None else _unpack_exchange(row) for row in exchanges]
    by_id = {exchange.id: exchange for exchange in world.exchanges if exchange is not None}
    world.tracker = RequestTracker(TERMS, _unpack_keys(scenario, keys, expiry, by_id), _unpack_process(process))
    world.tracker.unanswered = unanswered
    world.tracker.requests = {id: by_id[id] for id in requests}
    world.commands = CommandLog(world.tracker.is_wanted, 8)
    _unpack_commands(world.commands, commands)
    world.calls, world.dependency_connections = _unpack_calls(scenario, calls)
    world.stalled = stalled
    return world


def _unpack_connection(n: int, state: int) -> ConnectionLifecycle:
    connection = ConnectionLifecycle(ATTEMPT_IDS[n])
    connection.state = state
    return connection


def _unpack_engine(row: PackedState) -> EngineModel:
    incarnation, linked, runs, starts, passed, wrong_reply, notices, lines_to_engine, lines_to_server = row
    return EngineModel(
        incarnation,
        linked,
        {rid: [at_call, calls_made] for rid, at_call, calls_made in runs},
        dict(starts),
        set(passed),
        wrong_reply,
        list(notices),
        list(lines_to_engine),
        list(lines_to_server),
    )


def _unpack_exchange(row: PackedState) -> Exchange:
    id, front, class_index, arrived_at, due_at, key, target, call_body, state = row
    exchange = Exchange(id, front, class_index, b"", arrived_at, discard_answer)
    exchange.due_at = due_at
    exchange.key = key
    exchange.target = target
    exchange.call_body = call_body
    exchange.state = state
    return exchange


def _unpack_process(row: PackedState) -> ProcessLifecycle:
    process = ProcessLifecycle(STOP_MS, GRACE_MS, SWEEP_MS, FLUSH_MS, 0.0)
    process.state, process.shutdown_signal_at, process.kill_at, process.closed_at = row
    return process


def _unpack_keys(
    scenario: Scenario, rows: PackedState, expiry: PackedState, by_id: dict[str, Exchange]
) -> IdempotencyKeyTable:
    keys = IdempotencyKeyTable(scenario.max_keys, scenario.key_ms, scenario.max_followers, 64)
    keys.expiry = deque(expiry)
    for slot, state, owner, followers, outcome in rows:
        keys.entries[slot] = KeyEntry(
            state,
            by_id[owner] if owner else None,
            [by_id[id] for id in followers],
            None if outcome is None else Answer(KINDS[outcome[0]], outcome[1], outcome[2], late=outcome[3]),
        )
    return keys


def _unpack_commands(log: CommandLog, row: PackedState) -> None:
    link, commands, marks = row
    log.state, log.last_notice, log.gap_after, log.awaits_first_notice, log.sent_before_link = link
    log.unconfirmed = {
        rid: Command(rid, line, is_start, is_idempotent, sequence_number, state)
        for rid, line, is_start, is_idempotent, sequence_number, state in commands
    }
    log.pending_marks = dict(marks)
    log.last_mark_number = len(marks)
    log.sent_count = len(commands)


def _unpack_calls(scenario: Scenario, packed: PackedState) -> tuple[DependencyCalls, list[DependencyConnection]]:
    out = DependencyCalls(
        call_limits(scenario),
        has_no_unread_input,
        connection_count=packed[0],
        last_connection_number=packed[1],
        address_epoch=packed[2],
    )
    if len(packed) == 3:
        return out, []
    rows, by_id, waiting, connection_rows, idle = packed[3:]
    connections = {
        number: DependencyConnection(
            number, epoch, deque(recent, scenario.remembered_requests), state, None, idle_since
        )
        for number, epoch, recent, state, _, idle_since in connection_rows
    }
    calls = [
        DependencyCall(id, body, started_at, limit_ms, state, connections.get(number))
        for id, body, started_at, limit_ms, state, number in rows
    ]
    for number, _, _, _, call, _ in connection_rows:
        connections[number].call = calls[call] if call >= 0 else None
    out.calls = {calls[n].id: calls[n] for n in by_id}
    out.waiting = deque(calls[n] for n in waiting)
    out.idle = deque(connections[number] for number in idle)
    return out, list(connections.values())
