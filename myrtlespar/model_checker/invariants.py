"""The rules, each stated once, and where it is looked at after every event."""

from __future__ import annotations

from myrtlespar.model_checker.world import IDS, OVERDUE_MS, WAITS, World
from myrtlespar.state_machines import TABLES
from myrtlespar.state_machines.attempts import AWAITING_ANSWER, STARTED, AttemptState
from myrtlespar.state_machines.dependency_tables import CallState
from myrtlespar.state_machines.engine_link import CommandState, LinkState
from myrtlespar.state_machines.idempotency_keys import KeyState
from myrtlespar.state_machines.transition_table import Transition, TransitionTable

RULES = {
    "one answer": "What was read whole gets one final answer, never a second.",
    "answer to nobody": "Who is known to be gone gets no answer.",
    "answered in time": "Each owed answer comes by its due time and a slack, unless its caller is known gone.",
    "one start a try": "An effectful try never runs twice.",
    "one start a key": "Of the tries that one key links, one starts at the most, while the key is remembered.",
    "no start after the grace": "Nothing that arrived later than the grace after the notice to leave runs.",
    "no refusal after a start": "What has started and is effectful is never refused.",
    "true answers": "No answer is served that no run made for this try or for one that its key links to it.",
    "true replies": "A run gets the reply to the very call that it waits for.",
    "the drain answers all": "When the process stops, all that was read has its answer.",
    "the drain ends": "The drain ends before the kill.",
    "books agree": "What is owed, open, and linked by keys agrees everywhere.",
    "no place is lost": "What counts as running runs, or something will still show that it does not.",
    "no call is stranded": "A call that is made has an end that may come; one that waits, a connection that may.",
    "no kernel taken for another": "The numbers of a kernel's notices never make it pass for another one.",
    "no machine fails": "No event makes a machine fail by itself.",
    "every step ends": "A machine comes to an end over each event.",
    "nothing impossible": "No event comes in a state that has no row for it.",
}


class TransitionCoverage:
    """Watches all tables: rows that were used, and events that had none."""

    def __init__(self) -> None:
        self.used: set[tuple[str, int, int]] = set()
        self.odd: list[str] = []
        for table in TABLES:
            table.observer = self

    def __call__(self, table: TransitionTable, who: str, state: int, event: int, row: Transition | None) -> None:
        if row is None:
            self.odd.append(f"{table.name} {table.states(state).name} {table.events(event).name}")
        else:
            self.used.add((table.name, int(state), int(event)))


def unused(used: set[tuple[str, int, int]]) -> list[str]:
    """Rows that no run used: they are to be reached or removed."""
    return [
        f"{table.name} {table.states(state).name} {table.events(event).name}"
        for table in TABLES
        for state, event in table.defined_transitions()
        if (table.name, state, event) not in used
    ]


def fallen(world: World, watch: TransitionCoverage, ticked: bool) -> list[str]:
    """The rules that do not hold in this world, those that fell with its last event first."""
    out = list(world.fell)
    world.fell.clear()
    if watch.odd:
        if not world.s.rude:
            out.append("nothing impossible")
        watch.odd.clear()
    if any(len(one.answers) > 1 for one in world.callers):
        out.append("one answer")
    if world.kernel.wrong_reply:
        out.append("true replies")
    if not world.stopped:
        if (
            ticked
            and any(
                x.state in AWAITING_ANSWER and world.now >= x.due_at + OVERDUE_MS
                for x in world.tracker.requests.values()
            )
        ) or (ticked and _forgotten(world)):
            out.append("answered in time")
        if not _agree(world):
            out.append("books agree")
        if any(x.state in STARTED and not _shows(world, id) for id, x in world.tracker.requests.items()):
            out.append("no place is lost")
        if _stranded(world):
            out.append("no call is stranded")
    return out


def _stranded(world: World) -> bool:
    if not world.calls.connection_count and any(one.state == CallState.WAITING for one in world.calls.waiting):
        return True
    return any(
        x.state == AttemptState.CALLING and id not in world.pending and id not in world.calls.calls
        for id, x in world.tracker.requests.items()
    )


def _forgotten(world: World) -> bool:
    """A caller waits past its due time for what nobody knows any longer."""
    return any(
        one.stage == WAITS
        and one.life == world.life
        and not one.answers
        and not one.gone
        and IDS[n] not in world.tracker.requests
        for n, one in enumerate(world.callers)
    )


def _agree(world: World) -> bool:
    tracker = world.tracker
    owed = sum(x.state in AWAITING_ANSWER for x in tracker.requests.values())
    if owed != tracker.unanswered or any(x.state == AttemptState.OVER for x in tracker.requests.values()):
        return False
    waiting = sum(
        one.stage == WAITS and one.life == world.life and not one.gone and not one.answers for one in world.callers
    )
    if waiting != owed:
        return False
    for entry in tracker.keys.entries.values():
        if entry.state == KeyState.OWNED and (
            entry.owner is None or tracker.requests.get(entry.owner.id) is not entry.owner
        ):
            return False
        if any(tracker.requests.get(x.id) is not x or x.state != AttemptState.FOLLOWING for x in entry.followers):
            return False
    followers = {x.id for entry in tracker.keys.entries.values() for x in entry.followers}
    return all(id in followers for id, x in tracker.requests.items() if x.state == AttemptState.FOLLOWING)


def _shows(world: World, rid: str) -> bool:
    """Whether something will still show how this run ends."""
    x = world.tracker.requests[rid]
    if x.target:
        return rid in world.workers
    kernel, commands = world.kernel, world.commands
    if rid in kernel.runs or world.known_kernel not in (kernel.life, -1):
        return True
    command = commands.unconfirmed.get(rid)
    if command is not None and (command.state != CommandState.SENT or commands.state == LinkState.DOWN):
        return True
    if any(item[:2] in (("SCHED", rid), ("IODONE", rid), ("EINVAL", rid)) for item in (*kernel.up, *kernel.down)):
        return True
    return any(n >= commands.last_notice and notice[1] == rid for n, notice in enumerate(kernel.notices))
