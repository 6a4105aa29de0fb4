"""Events of the server's process: drain, hand-over, reload, ticks of the clock, and kills."""

from __future__ import annotations

from collections.abc import Callable

from myrtlespar.model_checker.world import DONE, PARTLY_READ, TICK_MS, WAITING, World
from myrtlespar.state_machines.client_connection import ConnectionEvent, ConnectionState
from myrtlespar.state_machines.process import ProcessAction, ProcessEvent, ProcessState

HANDOVER_MS = 2700.0  # from the start of a hand-over to SIGKILL: the due time of an attempt (2 ticks) and 0.7 s


def begin_graceful_shutdown(world: World) -> None:
    """Deliver the drain notice to the server."""
    world.count_fault("notice")
    _apply_actions(world, world.tracker.process.begin_graceful_shutdown(world.now))


def hand_over(world: World) -> None:
    """Send SIGTERM while a second process serves beside this one, and schedule the kill at the end of the hand-over."""
    world.count_fault("notice")
    _apply_actions(world, world.tracker.process.handover(world.now, HANDOVER_MS))


def reload(world: World) -> None:
    """Reload the settings, so that the links move to new addresses."""
    world.count_fault("move")
    _apply_actions(world, world.tracker.process.handle(ProcessEvent.RELOAD))


def bad_reload(world: World) -> None:
    """Reload invalid settings, which are rejected."""
    world.count_fault("bad reload")
    _apply_actions(world, world.tracker.process.handle(ProcessEvent.BAD_RELOAD))


def poll_process(world: World) -> None:
    """Poll the process lifecycle."""
    _apply_actions(world, world.tracker.process.poll(world.now, world.tracker.unanswered))


def _apply_actions(world: World, actions: tuple[ProcessAction, ...]) -> None:
    for action in actions:
        handler = ACTION_HANDLERS.get(action)
        if handler is not None:
            handler(world)


def _ask_clients(world: World) -> None:
    for index, attempt in enumerate(world.scenario.attempts):
        if attempt.front == "ajp":
            world.handle_connection_event(index, ConnectionEvent.CLOSE)


def _move_links(world: World) -> None:
    world.apply_link_effects(world.commands.move())
    world.apply_call_effects(world.calls.change_address())


def _close_listeners(world: World) -> None:
    world.listening = False


def _flush(world: World) -> None:
    for index in range(len(world.scenario.attempts)):
        if world.connection_index(index) == index:
            world.handle_connection_event(index, ConnectionEvent.END)


def _stop(world: World) -> None:
    world.stopped = True
    for index, caller in enumerate(world.callers):
        is_unanswered = not caller.answers and not caller.gone
        if caller.stage == WAITING and caller.incarnation == world.incarnation and is_unanswered:
            world.violations.append("the drain answers all")
        is_open = world.connections[world.connection_index(index)].state != ConnectionState.CLOSED
        world.handle_connection_event(index, ConnectionEvent.RESET if is_open else ConnectionEvent.CLOSE)


ACTION_HANDLERS: dict[ProcessAction, Callable[[World], None]] = {
    ProcessAction.ASK_CLIENTS: _ask_clients,
    ProcessAction.MOVE_LINKS: _move_links,
    ProcessAction.CLOSE_LISTENERS: _close_listeners,
    ProcessAction.FLUSH: _flush,
    ProcessAction.STOP: _stop,
}


def flushed(world: World) -> None:
    """Report that all answers are flushed."""
    _apply_actions(world, world.tracker.process.handle(ProcessEvent.FLUSHED))


def tick(world: World) -> None:
    """Advance the clock by one tick, and apply due times, time limits of calls, and the kill at the end of a drain."""
    world.now += TICK_MS
    if world.stopped:
        return
    world.apply_effects(world.tracker.fail_overdue(world.now))
    world.apply_call_effects(world.calls.expire(world.now))
    process = world.tracker.process
    for _ in range(3):  # by the kill, at most three steps lead from any stage of the shutdown to the stop
        if world.now >= process.kill_at and process.state == ProcessState.FLUSHING:
            flushed(world)
        elif world.now >= process.kill_at and process.state != ProcessState.STOPPED:
            poll_process(world)
    if world.now >= process.kill_at and not world.stopped:
        world.violations.append("the drain ends")


def kill_server(world: World) -> None:
    """Kill the server and start it again."""
    world.incarnation += 1
    for caller in world.callers:
        if caller.stage in (PARTLY_READ, WAITING):
            caller.stage = DONE
            caller.gone = True
    world.engine.server_restarted()
    world.known_engine = -1
    world.listening = True
    world.stopped = False
    world.fault_counts.pop("notice", None)
    world.start()
