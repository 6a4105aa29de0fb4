"""The stored and transmitted formats by name: how the project decodes and encodes each.

This is the only place where the golden-bytes test names modules, classes or functions of the project. When one of
them is renamed, change it here; the test and its data stay as they are. It is longer than other files so that every
format stands in one table.
"""

from __future__ import annotations

import contextlib
import json
import re
import socket
import tempfile
import typing
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec
import structlog
import yaml

from myrtlespar.exchange import AnswerKind
from myrtlespar.handover import keys_file
from myrtlespar.membership import messages as membership
from myrtlespar.model_checker import command as checker
from myrtlespar.model_checker.events import EVENTS
from myrtlespar.model_checker.explore import ExplorationResult
from myrtlespar.model_checker.invariants import RULES
from myrtlespar.model_checker.mutants import MUTATIONS
from myrtlespar.model_checker.scenarios import ALL as SCENARIOS
from myrtlespar.model_checker.trace_checker import TraceState, check_trace
from myrtlespar.net import budget_file
from myrtlespar.net.codec import limits as limits_codec
from myrtlespar.net.codec import peer
from myrtlespar.net.peer_datagrams import TrafficBytes
from myrtlespar.net.peer_sync import read_sync, write_sync
from myrtlespar.quota import messages as limits
from myrtlespar.quota.budget_journal import BudgetJournal
from myrtlespar.runtime.log_output import log_to_standard_output
from myrtlespar.runtime.tracing import trace_to_log
from myrtlespar.state_machines import TABLES

HANDOVER_NOW_MS = 1_000.0  # entries of a hand-over file that lapse by then are dropped
HANDOVER_CLASSES = 4  # class numbers 0 to 3 are known
TIMESTAMP = re.compile(rb'"timestamp": "([^"]*)"')


class NotAcceptedError(Exception):
    """The project's reader refused the bytes and reported it by a status instead of an exception."""


# The fields of each type in the order of the wire, whatever order the class has them in: this finds two exchanged
# fields of one type, which a round trip does not.
WIRE_FIELDS: dict[type, str] = {
    membership.MemberUpdate: "name site address incarnation refutation state age_ms accuser",
    membership.ReachabilityRow: "reporter incarnation version unreachable",
    membership.Ping: "probe_id",
    membership.Ack: "probe_id target",
    membership.IndirectProbe: "probe_id name address",
    membership.Nack: "probe_id",
    membership.GossipPush: "",
    membership.Packet: "fleet sequence_number sender view_hash voter_set_version body updates reachability",
    membership.ViewSync: "fleet sender updates reachability",
    limits_codec.LimitDatagram: "fleet name incarnation message",
    limits.KeyDemand: "key want acknowledged in_flight peak",
    limits.GrantRequest: "shard_id sequence_number demands version",
    limits.GrantResponse: "shard_id epoch sequence_number duration_ms amounts settled_version",
    limits.LeaseRequest: "shard_id epoch sequence_number",
    limits.LeaseVote: "shard_id sequence_number granted highest_epoch complete allowances version",
    limits.BudgetDrawRequest: "shard_id key period drawn_total epoch returned_total wanted",
    limits.BudgetDrawResponse: "shard_id epoch key period drawn_total remaining",
    limits.BudgetReserveRequest: "shard_id epoch key period reserved_total",
    limits.BudgetReserveResponse: "shard_id epoch key period reserved_total",
    keys_file.KeyOutcome: "class_index key kind body retry_after_ms expires_at",
}


@dataclass(frozen=True)
class StoredFormat:
    """How one format is decoded and encoded.

    `value` turns a decoded object into its neutral form; `refusals` are the exceptions by which the decoder refuses
    bytes.
    """

    decode: Callable[[bytes], Any]
    encode: Callable[[Any], bytes]
    value: Callable[[Any], Any]
    refusals: tuple[type[Exception], ...]


def positional(item: Any) -> Any:
    """A value without Python names: fields by position behind the wire tag, enum members by value, bytes as hex."""
    if isinstance(item, Enum):
        return item.value
    if isinstance(item, bytes):
        return item.hex()
    if type(item) in WIRE_FIELDS:
        members = [positional(getattr(item, name)) for name in WIRE_FIELDS[type(item)].split()]
        return [item.__struct_config__.tag, *members] if is_tagged(item) else members
    if isinstance(item, dict):
        return [[positional(key), positional(member)] for key, member in item.items()]
    if isinstance(item, list | tuple):
        return [positional(member) for member in item]
    if item is None or isinstance(item, bool | int | float | str):
        return item
    raise TypeError(f"no order of the wire for {type(item).__name__}")


def is_tagged(item: Any) -> bool:
    """Whether the wire holds a tag in front of this item's fields."""
    return isinstance(item, msgspec.Struct) and item.__struct_config__.tag is not None


def wire_tags(union: Any) -> frozenset[int]:
    """The tags of all message types in a union."""
    return frozenset(member.__struct_config__.tag for member in typing.get_args(union))


@contextlib.contextmanager
def temporary_path(name: str) -> Iterator[Path]:
    """The path of a file that does not exist yet, in a directory that is removed afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        yield Path(folder) / name


# Messages between peers.


def decode_probe(data: bytes) -> tuple[str, str]:
    """Fleet and name in the question of a second process of one name; the project itself compares whole datagrams."""
    if not data.startswith(peer.NAME_CONFLICT_MAGIC):
        raise NotAcceptedError("no probe")
    fleet, _, name = data.removeprefix(peer.NAME_CONFLICT_MAGIC).decode().partition(" ")
    return fleet, name


def decode_exchange(data: bytes) -> Any:
    """A whole view with the length in front, as it is read from a TCP connection."""
    reader, writer = socket.socketpair()
    with reader:
        with writer:
            writer.sendall(data)
        return read_sync(reader, TrafficBytes())


def encode_exchange(sync: Any) -> bytes:
    """The bytes that are written to a TCP connection for a whole view."""
    reader, writer = socket.socketpair()
    with reader:
        with writer:
            write_sync(writer, sync, TrafficBytes())
        return b"".join(iter(lambda: reader.recv(65536), b""))


# The hand-over file and the state file of budgets.


def decode_handover(data: bytes) -> Any:
    """The entries of a hand-over file that have not lapsed."""
    return keys_file.decode(data, HANDOVER_NOW_MS, HANDOVER_CLASSES)


def encode_handover(entries: Any) -> bytes:
    """The hand-over file for entries, by way of the answers that they stand for in a process."""
    rows = [((entry.class_index, entry.key), keys_file.answer_of(entry), entry.expires_at) for entry in entries]
    return keys_file.encode(keys_file.key_outcomes(rows))


def decode_budget_state(data: bytes) -> BudgetJournal:
    """What an elector reads at its start."""
    with temporary_path("budgets") as path:
        path.write_bytes(data)
        return BudgetJournal(budget_file.read(path))


def encode_budget_state(vault: BudgetJournal) -> bytes:
    """What an elector writes."""
    with temporary_path("budgets") as path:
        budget_file.write(path, vault.totals)
        return path.read_bytes()


# Recorded traces.


@dataclass(frozen=True)
class Trace:
    """A trace: its steps as read, and what the checker holds of the machines behind the last one."""

    steps: list[dict[str, str]]
    checked: TraceState


def decode_trace(data: bytes) -> Trace:
    """A trace that the checker accepts."""
    with temporary_path("trace") as path:
        path.write_bytes(data)
        if check_trace(path) != 0:
            raise NotAcceptedError("trace")
    trace = Trace([], TraceState())
    for line in data.splitlines():
        if b'"event": "step"' in line:
            trace.steps.append(json.loads(line))
            trace.checked.check_step(trace.steps[-1])
    return trace


def trace_value(trace: Trace) -> Any:
    """Steps as machine, who, state, event, state behind it, time; their count; where each machine stands at the end."""
    names = ("machine", "who", "state", "on", "to", "timestamp")
    steps = [[step[name] for name in names] for step in trace.steps]
    return [steps, trace.checked.steps, sorted([*machine, state] for machine, state in trace.checked.last_seen.items())]


def encode_trace(trace: Trace) -> bytes:
    """The log of the same steps, made by the tables themselves, with the recorded times in place of the present one."""
    lines = log_of_steps(trace.steps).splitlines(keepends=True)
    assert len(lines) == len(trace.steps)
    return b"".join(with_timestamp(line, step["timestamp"]) for line, step in zip(lines, trace.steps, strict=True))


def log_of_steps(steps: list[dict[str, str]]) -> bytes:
    """What the tables log while they make these steps."""
    tables = {table.name: table for table in TABLES}
    watchers = [table.observer for table in TABLES]
    configuration = structlog.get_config()
    with temporary_path("log") as path:
        try:
            with path.open("w") as log, contextlib.redirect_stdout(log):
                log_to_standard_output()
                trace_to_log()
                for step in steps:
                    table = tables[step["machine"]]
                    table.step(table.states[step["state"]], table.events[step["on"]], step["who"])
        finally:
            structlog.configure(**configuration)
            for table, watcher in zip(TABLES, watchers, strict=True):
                table.observer = watcher
        return path.read_bytes()


def with_timestamp(line: bytes, timestamp: str) -> bytes:
    """A line of the log with another time in it."""
    return TIMESTAMP.sub(b'"timestamp": "' + timestamp.encode() + b'"', line, count=1)


# Replays: counter-examples that the checker keeps and plays again.


def decode_replay(data: bytes) -> Any:
    """Scenario, events and planted bug as the checker reads them, and the rules that fell, which only people read."""
    with temporary_path("replay.yaml") as path:
        path.write_bytes(data)
        scenario, events, planted_bug = checker.read(path)
    return scenario, yaml.safe_load(data).get("fell", []), events, planted_bug


def encode_replay(replay: Any) -> bytes:
    """The file that the checker keeps."""
    scenario, fell, events, planted_bug = replay
    with temporary_path("replay.yaml") as path:
        checker.save(ExplorationResult(scenario, violations=fell, path=events), path, planted_bug)
        return path.read_bytes()


def replay_status(data: bytes) -> int:
    """The exit status of playing a replay without its planted bug: 0 no rule fell, 1 one did, 2 it can't be played."""
    watchers = [table.observer for table in TABLES]
    try:
        with temporary_path("replay.yaml") as path:
            path.write_bytes(data)
            return checker.replay(path, False, "")
    finally:
        for table, watcher in zip(TABLES, watchers, strict=True):
            table.observer = watcher


FORMATS = {
    "peer datagram": StoredFormat(peer.decode, peer.encode, positional, (peer.MalformedPeerMessageError,)),
    "peer sync": StoredFormat(peer.decode_sync, peer.encode, positional, (peer.MalformedPeerMessageError,)),
    "peer exchange": StoredFormat(decode_exchange, encode_exchange, positional, (peer.MalformedPeerMessageError,)),
    "peer probe": StoredFormat(
        decode_probe, lambda names: peer.name_conflict_probe(*names), positional, (NotAcceptedError,)
    ),
    "limits message": StoredFormat(
        limits_codec.decode, limits_codec.encode, positional, (peer.MalformedPeerMessageError,)
    ),
    "hand-over file": StoredFormat(decode_handover, encode_handover, positional, (keys_file.HandoverRejectedError,)),
    "budget state file": StoredFormat(
        decode_budget_state,
        encode_budget_state,
        lambda vault: positional(vault.totals),
        (budget_file.CorruptBudgetFileError,),
    ),
    "trace": StoredFormat(decode_trace, encode_trace, trace_value, (NotAcceptedError,)),
    "replay": StoredFormat(decode_replay, encode_replay, positional, (checker.FaultyReplayError,)),
}

# Every tag, state and name that stored or transmitted data may hold.
NAMES: dict[str, frozenset[Any]] = {
    "peer message tag": wire_tags(membership.Body),
    "limits message tag": wire_tags(limits.LimitMessage),
    "member state": frozenset(state.value for state in membership.MemberState),
    "kind of answer": frozenset(kind.value for kind in AnswerKind),
    "transition": frozenset(
        (table.name, table.states(state).name, table.events(event).name)
        for table in TABLES
        for state, event in table.defined_transitions()
    ),
    "scenario": frozenset(SCENARIOS),
    "kind of event": frozenset(EVENTS),
    "rule": frozenset(RULES),
    "planted bug": frozenset(MUTATIONS),
}
