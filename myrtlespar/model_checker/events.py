"""The table of all events by name. Saved counter-examples contain the names, so they must not change."""

from __future__ import annotations

from collections.abc import Callable

from myrtlespar.model_checker import client_events, dependency_events, engine_events, process_events
from myrtlespar.model_checker.scenarios import Scenario
from myrtlespar.model_checker.world import ATTEMPT_IDS, Event, World

EVENTS: dict[str, Callable[..., None]] = {
    "send": client_events.send_request,
    "whole": client_events.complete_request,
    "cut short": client_events.abort_request,
    "spoil": client_events.receive_malformed,
    "give up": client_events.cancel_request,
    "reset": client_events.reset_connection,
    "close": client_events.close_idle,
    "run": engine_events.start_run,
    "refuse": engine_events.refuse_attempt,
    "fail": engine_events.fail_attempt,
    "call": engine_events.start_call,
    "rude": engine_events.unexpected_decision,
    "connect": engine_events.connect_link,
    "break": engine_events.break_link,
    "settle": engine_events.request_doubt_mark,
    "gauges": engine_events.request_gauges,
    "hear": engine_events.receive_notice,
    "double": engine_events.receive_notice_twice,
    "gap": engine_events.lose_notice,
    "read": engine_events.read_command,
    "read einval": engine_events.read_and_reject,
    "read over": engine_events.read_of_ended_request,
    "end": engine_events.end_run,
    "ask": engine_events.make_call,
    "kernel restart": engine_events.restart_engine,
    "reply": dependency_events.end_call,
    "worker": dependency_events.end_worker_run,
    "wire opened": dependency_events.connection_opened,
    "wire refused": dependency_events.connection_refused,
    "wire over": dependency_events.connection_closed,
    "wire broken": dependency_events.connection_broken,
    "wire reply": dependency_events.connection_reply,
    "wire doubled": dependency_events.connection_reply_twice,
    "wire copy": dependency_events.connection_duplicate,
    "notice": process_events.begin_graceful_shutdown,
    "hand over": process_events.hand_over,
    "move": process_events.reload,
    "bad reload": process_events.bad_reload,
    "look": process_events.poll_process,
    "flushed": process_events.flushed,
    "deaf": engine_events.stall_link,
    "turn away": client_events.reject_unread,
    "tick": process_events.tick,
    "kill": process_events.kill_server,
}
# Events of clients, whose argument is the index of an attempt.
CLIENT_EVENTS = frozenset({"send", "whole", "cut short", "spoil", "turn away", "give up", "reset", "close"})


def apply(world: World, event: Event) -> None:
    """Apply an event to the world."""
    EVENTS[event[0]](world, *event[1:])


def begin(scenario: Scenario) -> World:
    """Return the initial world of a scenario."""
    world = World(scenario)
    if scenario.starts_read:
        for index in range(len(scenario.attempts)):
            client_events.send_request(world, index)
            client_events.complete_request(world, index)
    return world


def show(event: Event) -> str:
    """Return the event as it is printed in counter-examples, with the letters of attempts for their indices."""
    return " ".join(
        ATTEMPT_IDS[word] if isinstance(word, int) and event[0] in CLIENT_EVENTS else str(word) for word in event
    )
