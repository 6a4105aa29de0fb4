"""Packs worlds into nested tuples of plain values, in which states are stored, compared and copied.

Numbers that only grow (those of marks and of sent commands) are replaced by their ranks, so that states that differ
only in these numbers have the same packed form.
"""

from __future__ import annotations

import marshal
from typing import Any

import xxhash

from myrtlespar.exchange import Answer, Exchange
from myrtlespar.model_checker.environment import EngineModel
from myrtlespar.model_checker.world import World
from myrtlespar.state_machines.command_log import CommandLog
from myrtlespar.state_machines.dependency_calls import DependencyCalls, DependencyConnection
from myrtlespar.state_machines.idempotency_keys import KeyEntry

PackedState = tuple[Any, ...]


def serialize(world: World) -> bytes:
    """Return the state as bytes; equal states give equal bytes."""
    return marshal.dumps(pack(world), 2)


def deserialize(data: bytes) -> PackedState:
    """Return the packed state of serialized bytes."""
    packed: PackedState = marshal.loads(data)
    return packed


def digest(data: bytes) -> int:
    """Return a 64-bit hash of a serialized state.

    With 10 million states, the probability that any two of them have the same hash is 3 in a million.
    """
    return int(xxhash.xxh3_64_intdigest(data))


def pack(world: World) -> PackedState:
    """Return the state as a tuple; `state_decoding.unpack` reads the fields in the same order."""
    tracker = world.tracker
    process = tracker.process
    mark_names = {name: f"{name.partition('-')[0]}-{n}" for n, name in enumerate(world.commands.pending_marks, 1)}
    return (
        world.now,
        world.incarnation,
        world.listening,
        world.stopped,
        world.known_engine,
        tuple(
            [
                (caller.stage, tuple(caller.answers), caller.gone, caller.incarnation, caller.late)
                for caller in world.callers
            ]
        ),
        tuple(sorted(world.fault_counts.items())),
        tuple(sorted(world.concluded_at.items())),
        (tuple(world.policy.held), tuple(world.policy.running), tuple(world.policy.at_call)),
        tuple([int(connection.state) for connection in world.connections]),
        tuple(sorted(world.pending.items())),
        tuple(world.duplicate_replies),
        tuple(world.workers),
        _pack_engine(world.engine, mark_names),
        tuple([None if exchange is None else _pack_exchange(exchange) for exchange in world.exchanges]),
        tuple(tracker.requests),
        tracker.unanswered,
        (int(process.state), process.shutdown_signal_at, process.kill_at, process.closed_at),
        tuple([_pack_key(slot, entry) for slot, entry in tracker.keys.entries.items()]),
        tuple(tracker.keys.expiry),
        _pack_commands(world.commands, mark_names),
        _pack_calls(world.calls, world.dependency_connections),
        world.stalled,
    )


def _pack_engine(engine: EngineModel, mark_names: dict[str, str]) -> PackedState:
    return (
        engine.incarnation,
        engine.linked,
        tuple([(rid, *run) for rid, run in sorted(engine.runs.items())]),
        tuple(sorted(engine.starts.items())),
        tuple(sorted(engine.passed)),
        engine.wrong_reply,
        tuple(engine.notices),
        _with_ranked_marks(engine.lines_to_engine, mark_names),
        _with_ranked_marks(engine.lines_to_server, mark_names),
    )


def _pack_exchange(exchange: Exchange) -> PackedState:
    return (
        exchange.id,
        exchange.front,
        exchange.class_index,
        exchange.arrived_at,
        exchange.due_at,
        exchange.key,
        exchange.target,
        exchange.call_body,
        int(exchange.state),
    )


def _pack_key(slot: Any, entry: KeyEntry) -> PackedState:
    return (
        slot,
        int(entry.state),
        entry.owner.id if entry.owner else "",
        tuple([exchange.id for exchange in entry.followers]),
        _pack_answer(entry.outcome),
    )


def _pack_commands(log: CommandLog, mark_names: dict[str, str]) -> PackedState:
    """Pack link, commands and marks. Sequence numbers are replaced by their ranks, as only their order matters."""
    ranks = sorted(command.sequence_number for command in log.unconfirmed.values() if command.sequence_number)
    sent_before_link = sum(rank <= log.sent_before_link for rank in ranks)
    return (
        (int(log.state), log.last_notice, log.gap_after, log.awaits_first_notice, sent_before_link),
        tuple(
            [
                (
                    rid,
                    command.line,
                    command.is_start,
                    command.is_idempotent,
                    ranks.index(command.sequence_number) + 1 if command.sequence_number else 0,
                    int(command.state),
                )
                for rid, command in log.unconfirmed.items()
            ]
        ),
        tuple(
            [(mark_names[name], sum(rank <= newest for rank in ranks)) for name, newest in log.pending_marks.items()]
        ),
    )


def _with_ranked_marks(items: list[Any], mark_names: dict[str, str]) -> PackedState:
    """Rename the marks in lines of the link; all marks that are no longer pending get one name."""
    return tuple(
        [(item[0], mark_names.get(item[1], "lost-0")) if item[0] in ("MARK", "INFO") else item for item in items]
    )


def _pack_answer(answer: Answer | None) -> PackedState | None:
    return None if answer is None else (answer.kind.value, answer.body, answer.retry_after_ms, answer.late)


def _pack_calls(calls: DependencyCalls, connections: list[DependencyConnection]) -> PackedState:
    if not connections and not calls.calls and not calls.waiting:
        return (calls.connection_count, calls.last_connection_number, calls.address_epoch)
    numbers = {call: n for n, call in enumerate(dict.fromkeys((*calls.calls.values(), *calls.waiting)))}
    return (
        calls.connection_count,
        calls.last_connection_number,
        calls.address_epoch,
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
                for call in numbers
            ]
        ),
        tuple([numbers[call] for call in calls.calls.values()]),
        tuple([numbers[call] for call in calls.waiting]),
        tuple(
            [
                (
                    connection.number,
                    connection.address_epoch,
                    tuple(connection.recent_requests),
                    int(connection.state),
                    numbers[connection.call] if connection.call else -1,
                    connection.idle_since,
                )
                for connection in connections
            ]
        ),
        tuple([connection.number for connection in calls.idle]),
    )
