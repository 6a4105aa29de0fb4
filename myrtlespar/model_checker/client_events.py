"""Events of clients and their connections: requests are sent, completed, cancelled or malformed; connections end."""

from __future__ import annotations

from myrtlespar.exchange import Exchange
from myrtlespar.model_checker.world import ATTEMPT_IDS, DONE, PARTLY_READ, UNSENT, WAITING, World, discard_answer
from myrtlespar.state_machines.client_connection import ConnectionEvent, ConnectionLifecycle


def send_request(world: World, index: int) -> None:
    """Begin to send a request, on a new connection if the present one accepts no more requests."""
    world.callers[index].stage = PARTLY_READ
    world.callers[index].incarnation = world.incarnation
    if not world.connections[world.connection_index(index)].accepts_requests:
        world.connections[world.connection_index(index)] = ConnectionLifecycle(ATTEMPT_IDS[index])
    if world.scenario.attempts[index].front == "ajp":
        world.handle_connection_event(index, ConnectionEvent.BEGIN)


def complete_request(world: World, index: int) -> None:
    """Read the rest of the request, and submit it to the request tracker."""
    caller = world.callers[index]
    attempt = world.scenario.attempts[index]
    if not world.connections[world.connection_index(index)].accepts_requests:
        # The server closed the connection meanwhile: the client sends the request again, on a new connection.
        caller.stage = UNSENT
        return
    caller.stage = WAITING
    caller.late = world.now > world.tracker.process.shutdown_signal_at + world.tracker.process.grace_ms
    exchange = world.exchanges[index] = Exchange(
        ATTEMPT_IDS[index], attempt.front, int(attempt.effectful), b"", world.now, discard_answer
    )
    exchange.key = attempt.key
    exchange.target = attempt.target
    world.handle_connection_event(index, ConnectionEvent.REQUEST)
    world.apply_effects(world.tracker.submit(exchange) or [])


def abort_request(world: World, index: int) -> None:
    """Let the client reset its connection before the request is complete."""
    world.count_fault("give up")
    world.callers[index].stage = DONE
    world.callers[index].gone = True
    world.handle_connection_event(index, ConnectionEvent.RESET)


def receive_malformed(world: World, index: int) -> None:
    """Receive a malformed message from the client."""
    world.count_fault("spoil")
    if world.callers[index].stage == PARTLY_READ:
        world.callers[index].stage = DONE
    world.handle_connection_event(index, ConnectionEvent.SPOILT)


def reject_unread(world: World, index: int) -> None:
    """Let the front reject a request before it is read completely."""
    world.count_fault("spoil")
    world.callers[index].stage = DONE
    world.handle_connection_event(index, ConnectionEvent.TURNED_AWAY)


def cancel_request(world: World, index: int) -> None:
    """Let the client cancel its request: with an abort message in Thrift, with a connection reset in AJP."""
    world.count_fault("give up")
    _end_wait(world, index, by_message=world.scenario.attempts[index].front == "thrift")


def reset_connection(world: World, index: int) -> None:
    """Let the client reset its connection while it waits for an answer, or after it has received one."""
    world.count_fault("reset")
    _end_wait(world, index, by_message=False)


def _end_wait(world: World, index: int, by_message: bool) -> None:
    exchange = world.exchanges[index]
    assert exchange is not None
    if by_message:
        world.handle_connection_event(index, world.event_of_answer(index))
        world.callers[index].gone = True
        world.apply_effects(world.tracker.caller_gone(exchange))
    else:
        world.handle_connection_event(index, ConnectionEvent.RESET)
        world.callers[index].gone = True


def close_idle(world: World, index: int) -> None:
    """Let the server close an idle connection."""
    world.count_fault("close")
    world.handle_connection_event(index, ConnectionEvent.CLOSE)
