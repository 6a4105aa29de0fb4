"""Events of the engine and of the link to it, and the decisions of the policy."""

from __future__ import annotations

from myrtlespar.exchange import Answer, AnswerKind
from myrtlespar.model_checker.environment import LinkLine
from myrtlespar.model_checker.world import ATTEMPT_IDS, DUE_MS, OUTCOMES, World
from myrtlespar.policy.messages import RunOutcome
from myrtlespar.state_machines.attempts import STARTED
from myrtlespar.state_machines.command_log import GAP, NEXT, RENUMBERED

REFUSED = Answer(AnswerKind.REFUSED, retry_after_ms=500.0)


def start_run(world: World, id: str) -> None:
    """Start the run, by a decision of the policy."""
    world.policy.run_started(id)
    world.apply_effects(world.tracker.start(id, world.now))


def refuse_attempt(world: World, id: str) -> None:
    """Reject the attempt, by a decision of the policy."""
    world.policy.forget(id)
    world.apply_effects(world.tracker.reject(id, REFUSED, world.now))


def fail_attempt(world: World, id: str) -> None:
    """Fail the attempt, by a decision of the policy."""
    world.policy.forget(id)
    world.apply_effects(world.tracker.fail(id, world.now))


def start_call(world: World, id: str) -> None:
    """Start the call that a run waits for, by a decision of the policy."""
    world.policy.at_call.remove(id)
    world.apply_effects(world.tracker.start_call(id, DUE_MS))


def unexpected_decision(world: World, what: str, id: str) -> None:
    """Let the policy take a decision that it should not take.

    Args:
        world: The world.
        what: The decision: `run`, `call`, `refuse` or `fail`.
        id: The id of the attempt.
    """
    world.count_fault("rude")
    if what == "run":
        world.apply_effects(world.tracker.start(id, world.now))
    elif what == "call":
        world.apply_effects(world.tracker.start_call(id, DUE_MS))
    else:
        (refuse_attempt if what == "refuse" else fail_attempt)(world, id)


def connect_link(world: World) -> None:
    """Connect the link to the engine."""
    world.apply_link_effects(world.commands.connected())


def break_link(world: World) -> None:
    """Break the link to the engine; all lines in transit are lost."""
    world.count_fault("break")
    world.cut_link()


def request_gauges(world: World) -> None:
    """Request the engine's gauges."""
    world.count_fault("gauges")
    world.apply_link_effects(world.commands.request_gauges())


def request_doubt_mark(world: World) -> None:
    """Request a mark, whose answer shows which of the commands sent over a broken link have arrived."""
    world.apply_link_effects(world.commands.request_doubt_mark())


def receive_notice(world: World) -> None:
    """Receive the next line from the engine."""
    _receive_line(world, world.engine.lines_to_server.pop(0))


def receive_notice_twice(world: World) -> None:
    """Receive the next notice, and keep it in transit so that it arrives a second time."""
    world.count_fault("double")
    _receive_line(world, world.engine.lines_to_server[0])


def lose_notice(world: World) -> None:
    """Lose the next notice."""
    world.count_fault("gap")
    world.engine.lines_to_server.pop(0)


def _receive_line(world: World, item: LinkLine) -> None:
    link = world.commands
    if item[0] == "BOOTED":
        _engine_booted(world, item[1])
    elif item[0] == "INFO":
        world.apply_link_effects(link.mark_received(item[1]) or [])
    elif item[0] == "EINVAL":
        link.run_reported(item[1])
        world.end_run(item[1], RunOutcome.MOOT, None)
    else:
        kind = link.classify_notice(item[1])
        if kind == RENUMBERED:  # the greeting has identified the engine, so the numbers of its notices must fit
            world.violations.append("no kernel taken for another")
        elif kind == GAP:
            world.cut_link()
        elif kind == NEXT:
            link.run_reported(item[3])
            _apply_run_notice(world, *item[2:])


def _engine_booted(world: World, incarnation: int) -> None:
    """Handle the engine's greeting; if the engine was restarted, end the runs that were lost with the old process."""
    link = world.commands
    if incarnation != world.known_engine and world.known_engine >= 0:
        link.restarted()
        for id, exchange in list(world.tracker.requests.items()):
            if exchange.state in STARTED and not exchange.target and id not in link.unconfirmed:
                world.end_run(id, RunOutcome.ERROR, None)
    world.known_engine = incarnation
    world.apply_link_effects(link.booted())


def _apply_run_notice(world: World, kind: str, rid: str, detail: int | str) -> None:
    """Apply a notice about a run.

    Args:
        world: The world.
        kind: `IOREQ` if the run needs a call, `REAP` if it ended.
        rid: The id of the request.
        detail: The number of the call, or the status with which the run ended.
    """
    if kind == "IOREQ":
        assert isinstance(detail, int)
        world.apply_effects(world.tracker.call_needed(rid, b"%d" % detail))
    else:
        assert isinstance(detail, str)
        served = Answer(AnswerKind.SERVED, b"r" + rid.encode()) if detail == "PASS" else None
        world.end_run(rid, OUTCOMES[detail], served)


def read_command(world: World, refuse: bool = False, over: bool = False) -> None:
    """Let the engine read the next command.

    Args:
        world: The world.
        refuse: Let the engine answer EINVAL to a start.
        over: Let the engine report the run as ended with NOOP instead of starting it, as the request has ended.
    """
    before = sum(world.engine.starts.values())
    rid = world.engine.lines_to_engine[0][1] if world.engine.lines_to_engine[0][0] == "SCHED" else ""
    world.engine.read(refuse, over)
    if sum(world.engine.starts.values()) > before:
        check_start(world, rid)


def check_start(world: World, rid: str) -> None:
    """Record a violation of each rule that the run that has just started breaks."""
    index = ATTEMPT_IDS.index(rid)
    attempt = world.scenario.attempts[index]
    caller = world.callers[index]
    if caller.late and caller.incarnation == world.incarnation:
        world.violations.append("no start after the grace")
    if not attempt.effectful:
        return
    if world.engine.starts[rid] > 1:
        world.violations.append("one start a try")
    for other_index, other in enumerate(world.scenario.attempts):
        other_id = ATTEMPT_IDS[other_index]
        if other_index != index and attempt.key and other.key == attempt.key and world.engine.starts.get(other_id):
            key_expires_at = world.concluded_at.get(other_id, float("inf")) + world.scenario.key_ms
            if world.callers[other_index].incarnation == caller.incarnation and world.now < key_expires_at:
                world.violations.append("one start a key")


def read_and_reject(world: World) -> None:
    """Let the engine read a start and answer EINVAL."""
    world.count_fault("einval")
    read_command(world, refuse=True)


def read_of_ended_request(world: World) -> None:
    """Let the engine read a start whose request has ended."""
    read_command(world, over=True)


def end_run(world: World, rid: str, status: str) -> None:
    """Let the engine end a run, and send the notice of it with this status."""
    world.engine.end(rid, status)


def make_call(world: World, rid: str) -> None:
    """Let a run make its next call."""
    world.engine.begin_call(rid)


def restart_engine(world: World) -> None:
    """Restart the engine: the link breaks, and all runs and notices are lost."""
    world.count_fault("kernel")
    world.cut_link()
    world.engine.restart()


def stall_link(world: World) -> None:
    """Stall the link: until it breaks, writes to it fail."""
    world.count_fault("deaf")
    world.stalled = True
