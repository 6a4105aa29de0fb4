"""Events of the dependency, of its connections, and of AJP workers."""

from __future__ import annotations

from myrtlespar.exchange import Answer, AnswerKind
from myrtlespar.model_checker.engine_events import REFUSED, check_start
from myrtlespar.model_checker.world import World
from myrtlespar.policy.messages import RunOutcome
from myrtlespar.state_machines import dependency_calls


def end_call(world: World, id: str, end: str) -> None:
    """End a call to a dependency whose connections are not modelled; `end` is OK, BUSY or ERR."""
    number = world.pending.pop(id)
    if end == "OK":
        world.apply_effects(world.tracker.call_ended(id, RunOutcome.OK, 0.0, b"%d" % number))
        return
    world.count_fault("bad reply")
    world.apply_effects(world.tracker.call_ended(id, RunOutcome.REJECTED if end == "BUSY" else RunOutcome.ERROR, 0.0))


def end_worker_run(world: World, id: str, end: str) -> None:
    """End a run at an AJP worker; `end` is PASS, FAIL, or UNREACHED if the worker could not be reached."""
    world.workers.remove(id)
    if end == "UNREACHED":
        return world.end_run(id, RunOutcome.ERROR, REFUSED)
    world.engine.starts[id] = world.engine.starts.get(id, 0) + 1
    check_start(world, id)
    served = Answer(AnswerKind.SERVED, b"w" + id.encode())
    world.end_run(id, RunOutcome.OK if end == "PASS" else RunOutcome.ERROR, served if end == "PASS" else None)
    return None


def _connection(world: World, number: int) -> dependency_calls.DependencyConnection:
    return next(connection for connection in world.dependency_connections if connection.number == number)


def connection_opened(world: World, number: int) -> None:
    """Complete the opening of a connection to the dependency."""
    world.apply_call_effects(world.calls.opened(_connection(world, number), world.now))


def connection_refused(world: World, number: int) -> None:
    """Refuse a connection to the dependency."""
    world.count_fault("store")
    connection = _connection(world, number)
    world.dependency_connections.remove(connection)
    world.apply_call_effects(world.calls.open_failed(connection))


def connection_closed(world: World, number: int) -> None:
    """Close a connection that the server no longer uses."""
    connection = _connection(world, number)
    world.dependency_connections.remove(connection)
    world.duplicate_replies = [copy for copy in world.duplicate_replies if copy[0] != number]
    world.apply_call_effects(world.calls.connection_lost(connection))


def connection_broken(world: World, number: int) -> None:
    """Break a connection to the dependency."""
    world.count_fault("store")
    connection_closed(world, number)


def connection_reply(world: World, number: int, end: str) -> None:
    """Receive the reply to the call on a connection; `end` is OK or BUSY."""
    connection = _connection(world, number)
    assert connection.call is not None
    if end != "OK":
        world.count_fault("store")
    outcome = RunOutcome.OK if end == "OK" else RunOutcome.REJECTED
    world.apply_call_effects(
        world.calls.reply_received(connection, connection.call.id, outcome, connection.call.body, world.now) or []
    )


def connection_reply_twice(world: World, number: int) -> None:
    """Receive the reply to the call on a connection, and schedule a second copy of it."""
    world.count_fault("store")
    connection = _connection(world, number)
    assert connection.call is not None
    world.duplicate_replies.append((number, connection.call.id, connection.call.body))
    world.apply_call_effects(
        world.calls.reply_received(connection, connection.call.id, RunOutcome.OK, connection.call.body, world.now) or []
    )


def connection_duplicate(world: World, index: int) -> None:
    """Receive the second copy of a reply."""
    number, id, body = world.duplicate_replies.pop(index)
    world.apply_call_effects(
        world.calls.reply_received(_connection(world, number), id, RunOutcome.OK, body, world.now) or []
    )
