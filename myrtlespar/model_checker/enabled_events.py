"""The events that may happen next in a world: all that the protocol and the bounds of the scenario allow."""

from __future__ import annotations

from myrtlespar.model_checker.world import ATTEMPT_IDS, GRACE_MS, PARTLY_READ, TICK_MS, UNSENT, WAITING, Event, World
from myrtlespar.state_machines import dependency_calls, dependency_tables, engine_link
from myrtlespar.state_machines.client_connection import ConnectionState
from myrtlespar.state_machines.process import ProcessState


def enabled_events(world: World) -> list[Event]:
    """Return every event that may happen next, in a fixed order."""
    events: list[Event] = []
    if not world.stopped:
        _client_events(world, events)
        _policy_events(world, events)
        _link_events(world, events)
        _dependency_events(world, events)
        if world.scenario.drain and world.fault_allowed("notice", world.scenario.drain_notices):
            events.append(("hand over",) if world.scenario.handover else ("notice",))
        if world.fault_allowed("move", world.scenario.reloads):
            events.append(("move",))
        if world.fault_allowed("bad reload", world.scenario.bad_reloads):
            events.append(("bad reload",))
        if _may_poll(world):
            events.append(("look",))
        if world.tracker.process.state == ProcessState.FLUSHING:
            events.append(("flushed",))
    if world.incarnation < world.scenario.incarnations:
        events.append(("kill",))
    _engine_events(world, events)
    if world.now < world.scenario.ticks * TICK_MS:
        events.append(("tick",))
    return events


def _client_events(world: World, events: list[Event]) -> None:
    for index, caller in enumerate(world.callers):
        connection = world.connections[world.connection_index(index)]
        is_idle = caller.stage < WAITING and connection.state == ConnectionState.IDLE
        if is_idle and world.fault_allowed("close", world.scenario.closes):
            events.append(("close", index))
        if caller.stage == UNSENT:
            predecessor = world.scenario.identical_predecessor(index)
            is_next = predecessor < 0 or world.callers[predecessor].stage != UNSENT
            if world.listening and connection.state != ConnectionState.ENDING and is_next:
                events.append(("send", index))
        elif caller.stage == PARTLY_READ:
            _events_within_request(world, events, index)
        elif caller.stage == WAITING and world.exchanges[index] is not None and not caller.gone:
            _events_of_waiting_caller(world, events, index)


def _events_within_request(world: World, events: list[Event], index: int) -> None:
    connection = world.connections[world.connection_index(index)]
    events.append(("whole", index))
    if world.fault_allowed("give up", world.scenario.cancellations):
        events.append(("cut short", index))
    if connection.accepts_requests and world.fault_allowed("spoil", world.scenario.malformed_messages):
        events.append(("spoil", index))
        if connection.state == ConnectionState.READING:
            events.append(("turn away", index))


def _events_of_waiting_caller(world: World, events: list[Event], index: int) -> None:
    is_unanswered = not world.callers[index].answers
    if is_unanswered and world.fault_allowed("give up", world.scenario.cancellations):
        events.append(("give up", index))
    if world.fault_allowed("reset", world.scenario.resets):
        events.append(("reset", index))
    owes_answer = world.connections[world.connection_index(index)].state == ConnectionState.OWING
    if is_unanswered and owes_answer and world.fault_allowed("spoil", world.scenario.malformed_messages):
        events.append(("spoil", index))


def _policy_events(world: World, events: list[Event]) -> None:
    if not world.scenario.policy_silent:
        for id in world.policy.held:
            events += [("run", id), ("refuse", id), ("fail", id)]
        for id in world.policy.running:
            if id in world.policy.at_call:
                events.append(("call", id))
            events.append(("fail", id))
    if world.fault_allowed("rude", world.scenario.unexpected_decisions):
        for id in world.tracker.requests:
            events += [("rude", what, id) for what in ("run", "refuse", "fail", "call")]


def _link_events(world: World, events: list[Event]) -> None:
    link = world.commands
    if link.state == engine_link.LinkState.DOWN:
        events.append(("connect",))
    else:
        if world.engine.lines_to_server:
            events.append(("hear",))
            if world.engine.lines_to_server[0][0] == "N":
                if world.fault_allowed("double", world.scenario.duplicate_notices):
                    events.append(("double",))
                if world.fault_allowed("gap", world.scenario.lost_notices):
                    events.append(("gap",))
        if world.fault_allowed("gauges", world.scenario.gauge_requests):
            events.append(("gauges",))
        if world.fault_allowed("deaf", world.scenario.stalled_links):
            events.append(("deaf",))
        if world.stalled or world.fault_allowed("break", world.scenario.link_breaks):
            events.append(("break",))
        has_doubtful_command = any(
            command.state == engine_link.CommandState.DOUBTFUL for command in link.unconfirmed.values()
        )
        if (
            has_doubtful_command
            and link.state == engine_link.LinkState.READY
            and not any(mark.startswith("doubt") for mark in link.pending_marks)
        ):
            events.append(("settle",))


def _engine_events(world: World, events: list[Event]) -> None:
    engine = world.engine
    if engine.lines_to_engine:
        events.append(("read",))
        if engine.lines_to_engine[0][0] == "SCHED":
            if world.fault_allowed("einval", world.scenario.einvals):
                events.append(("read einval",))
            if _is_abandoned(world, engine.lines_to_engine[0][1]):
                events.append(("read over",))
    for rid, (at_call, calls_made) in engine.runs.items():
        if at_call:
            if _is_abandoned(world, rid):
                events.append(("end", rid, "KILLED"))
        else:
            events += [("end", rid, "PASS"), ("end", rid, "FAIL")]
            if calls_made < world.scenario.calls:
                events.append(("ask", rid))
    if world.fault_allowed("kernel", world.scenario.engine_restarts):
        events.append(("kernel restart",))


def _dependency_events(world: World, events: list[Event]) -> None:
    for id in world.pending:
        events.append(("reply", id, "OK"))
        if world.fault_allowed("bad reply", world.scenario.bad_replies):
            events += [("reply", id, "BUSY"), ("reply", id, "ERR")]
    for id in world.workers:
        events += [("worker", id, end) for end in ("PASS", "FAIL", "UNREACHED")]
    can_fail = world.fault_allowed("store", world.scenario.dependency_faults)
    for connection in world.dependency_connections:
        _events_of_dependency_connection(events, connection, can_fail)
    events += [("wire copy", n) for n in range(len(world.duplicate_replies))]


def _events_of_dependency_connection(
    events: list[Event], connection: dependency_calls.DependencyConnection, can_fail: bool
) -> None:
    number = connection.number
    if connection.state == dependency_tables.DependencyConnectionState.OPENING:
        events.append(("wire opened", number))
        if can_fail:
            events.append(("wire refused", number))
    elif connection.state == dependency_tables.DependencyConnectionState.SPENT:
        events.append(("wire over", number))
    else:
        if connection.state == dependency_tables.DependencyConnectionState.BUSY:
            events.append(("wire reply", number, "OK"))
            if can_fail:
                events += [("wire reply", number, "BUSY"), ("wire doubled", number)]
        if can_fail:
            events.append(("wire broken", number))


def _is_abandoned(world: World, rid: str) -> bool:
    """Return whether no caller waits for this request any longer."""
    caller = world.callers[ATTEMPT_IDS.index(rid)]
    return caller.gone or bool(caller.answers) or caller.incarnation != world.incarnation or world.stopped


def _may_poll(world: World) -> bool:
    """Return whether polling the process lifecycle could change its state."""
    process = world.tracker.process
    return process.state == ProcessState.CROSSING or (
        process.state == ProcessState.DRAINING and world.now > process.shutdown_signal_at + GRACE_MS
    )
