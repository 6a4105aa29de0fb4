"""The invariants (rules) of the state machines, and the check of them after every event."""

from __future__ import annotations

from myrtlespar.model_checker.world import ATTEMPT_IDS, OVERDUE_MS, WAITING, World
from myrtlespar.state_machines import TABLES
from myrtlespar.state_machines.attempts import AWAITING_ANSWER, STARTED, AttemptState
from myrtlespar.state_machines.dependency_tables import CallState
from myrtlespar.state_machines.engine_link import CommandState, LinkState
from myrtlespar.state_machines.idempotency_keys import KeyState
from myrtlespar.state_machines.transition_table import Transition, TransitionTable

# The meaning of each rule by its name. Saved counter-examples contain the names, so they must not change.
RULES = {
    "one answer": "A request that was read completely gets one final answer, never a second.",
    "answer to nobody": "No answer is sent to a caller that is known to have cancelled or disconnected.",
    "answered in time": "Each request is answered by its due time plus a slack, unless its caller is known to be gone.",
    "one start a try": "An effectful attempt never runs twice.",
    "one start a key": "Of the attempts with one idempotency key, at most one starts while the key is remembered.",
    "no start after the grace": "A request that arrived after the grace period of the drain notice never runs.",
    "no refusal after a start": "An effectful attempt that has started is never rejected.",
    "true answers": "A served answer comes from a run of this attempt or of one with the same idempotency key.",
    "true replies": "A run gets the reply to the call that it waits for, never the reply to another call.",
    "the drain answers all": "When the process stops, every request that was read has been answered.",
    "the drain ends": "The drain ends before the process is killed.",
    "books agree": "Callers, open requests, the count of unanswered requests and the key table are consistent.",
    "no place is lost": "Each run that counts as running is executed, or the server will still learn that it is not.",
    "no call is stranded": "A call that was made can still end, and one that waits can still get a connection.",
    "no kernel taken for another": "The numbers of its notices never make a known engine look like another engine.",
    "no machine fails": "No event makes a state machine raise an error.",
    "every step ends": "A state machine finishes each event within a time limit.",
    "nothing impossible": "No event happens in a state that has no transition for it.",
}


class TransitionCoverage:
    """Observes all transition tables, and records which transitions were used and which events had none.

    Attributes:
        used_transitions: (table, state, event) of each transition that was used.
        undefined: Descriptions of the events since the last check that have no transition in their state.
    """

    def __init__(self) -> None:
        self.used_transitions: set[tuple[str, int, int]] = set()
        self.undefined: list[str] = []
        for table in TABLES:
            table.observer = self

    def __call__(self, table: TransitionTable, who: str, state: int, event: int, row: Transition | None) -> None:
        """Record one step of a table; `row` is None if the table has no transition for it."""
        if row is None:
            self.undefined.append(f"{table.name} {table.states(state).name} {table.events(event).name}")
        else:
            self.used_transitions.add((table.name, int(state), int(event)))


def unused_transitions(used_transitions: set[tuple[str, int, int]]) -> list[str]:
    """Return the transitions that no exploration used. Each is dead code, or needs a scenario that reaches it."""
    return [
        f"{table.name} {table.states(state).name} {table.events(event).name}"
        for table in TABLES
        for state, event in table.defined_transitions()
        if (table.name, state, event) not in used_transitions
    ]


def broken_rules(world: World, coverage: TransitionCoverage, ticked: bool) -> list[str]:
    """Return the names of the rules that do not hold, beginning with those that the newest event broke.

    Args:
        world: The world after the event; its `violations` are cleared.
        coverage: The observer of the transition tables during the event; its `undefined` events are cleared.
        ticked: Whether the event was a tick of the clock, so that due times have to be checked.
    """
    broken = list(world.violations)
    world.violations.clear()
    if coverage.undefined:
        if not world.scenario.unexpected_decisions:
            broken.append("nothing impossible")
        coverage.undefined.clear()
    if any(len(caller.answers) > 1 for caller in world.callers):
        broken.append("one answer")
    if world.engine.wrong_reply:
        broken.append("true replies")
    if world.stopped:
        return broken
    if ticked and (_has_overdue_request(world) or _has_lost_request(world)):
        broken.append("answered in time")
    if not _is_accounting_consistent(world):
        broken.append("books agree")
    if any(
        exchange.state in STARTED and not _end_will_be_reported(world, id)
        for id, exchange in world.tracker.requests.items()
    ):
        broken.append("no place is lost")
    if _has_stranded_call(world):
        broken.append("no call is stranded")
    return broken


def _has_overdue_request(world: World) -> bool:
    return any(
        exchange.state in AWAITING_ANSWER and world.now >= exchange.due_at + OVERDUE_MS
        for exchange in world.tracker.requests.values()
    )


def _has_stranded_call(world: World) -> bool:
    if not world.calls.connection_count and any(call.state == CallState.WAITING for call in world.calls.waiting):
        return True
    return any(
        exchange.state == AttemptState.CALLING and id not in world.pending and id not in world.calls.calls
        for id, exchange in world.tracker.requests.items()
    )


def _has_lost_request(world: World) -> bool:
    """Return whether a caller waits for a request that the request tracker no longer has."""
    return any(
        caller.stage == WAITING
        and caller.incarnation == world.incarnation
        and not caller.answers
        and not caller.gone
        and ATTEMPT_IDS[n] not in world.tracker.requests
        for n, caller in enumerate(world.callers)
    )


def _is_accounting_consistent(world: World) -> bool:
    """Return whether callers, requests, the count of unanswered requests and the key table are consistent."""
    tracker = world.tracker
    unanswered_count = sum(exchange.state in AWAITING_ANSWER for exchange in tracker.requests.values())
    if unanswered_count != tracker.unanswered or any(
        exchange.state == AttemptState.OVER for exchange in tracker.requests.values()
    ):
        return False
    waiting = sum(
        caller.stage == WAITING and caller.incarnation == world.incarnation and not caller.gone and not caller.answers
        for caller in world.callers
    )
    if waiting != unanswered_count:
        return False
    for entry in tracker.keys.entries.values():
        if entry.state == KeyState.OWNED and (
            entry.owner is None or tracker.requests.get(entry.owner.id) is not entry.owner
        ):
            return False
        if any(
            tracker.requests.get(exchange.id) is not exchange or exchange.state != AttemptState.FOLLOWING
            for exchange in entry.followers
        ):
            return False
    followers = {exchange.id for entry in tracker.keys.entries.values() for exchange in entry.followers}
    return all(id in followers for id, exchange in tracker.requests.items() if exchange.state == AttemptState.FOLLOWING)


def _end_will_be_reported(world: World, rid: str) -> bool:
    """Return whether the server can still find out that this run ends.

    It can if the run is still executed, if a line or notice about it will still be read, or if the next greeting shows
    that the engine has another incarnation.
    """
    exchange = world.tracker.requests[rid]
    if exchange.target:
        return rid in world.workers
    engine = world.engine
    commands = world.commands
    if rid in engine.runs or world.known_engine not in (engine.incarnation, -1):
        return True
    command = commands.unconfirmed.get(rid)
    if command is not None and (command.state != CommandState.SENT or commands.state == LinkState.DOWN):
        return True
    if any(
        item[:2] in (("SCHED", rid), ("IODONE", rid), ("EINVAL", rid))
        for item in (*engine.lines_to_engine, *engine.lines_to_server)
    ):
        return True
    return any(n >= commands.last_notice and notice[1] == rid for n, notice in enumerate(engine.notices))
