"""The state machines: small worlds explored whole, planted bugs found, and what the checker found in the program."""

import json
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.fakes import ROOT
from myrtlespar.fakes.smoke_load import run_smoke_load
from myrtlespar.model_checker import command, process_pair
from myrtlespar.model_checker.diagrams import document
from myrtlespar.model_checker.explore import Bounds, explore
from myrtlespar.model_checker.mutants import MUTATIONS, normalized_source
from myrtlespar.model_checker.replay_on_process import play
from myrtlespar.model_checker.scenarios import ALL
from myrtlespar.model_checker.trace_checker import check_trace
from myrtlespar.model_checker.world import Event
from myrtlespar.policy.messages import RunOutcome
from myrtlespar.state_machines import TABLES
from myrtlespar.state_machines.attempts import ATTEMPT_TABLE, AttemptAction, AttemptEvent, AttemptState
from myrtlespar.state_machines.engine_link import Command, CommandLog, EndRun, LinkState, RequestMark, WriteCommand
from myrtlespar.state_machines.idempotency_keys import IdempotencyKeyTable
from myrtlespar.state_machines.process import ProcessEvent, ProcessLifecycle, ProcessState
from myrtlespar.state_machines.request_tracker import RequestTerms, RequestTracker
from myrtlespar.state_machines.transition_table import Transition, TransitionTable

REFUSED = Answer(AnswerKind.REFUSED)


def tracker(**more: float) -> RequestTracker:
    return RequestTracker(
        RequestTerms((6000.0, 4000.0), (False, True), 60.0, 500.0),
        IdempotencyKeyTable(4, 60000.0, 8, 4096),
        ProcessLifecycle(3000.0, 1000.0, 50.0, 300.0, 50.0),
    )


def order(id: str = "a", key: str = "", at: float = 0.0) -> Exchange:
    x = Exchange(id, "thrift", 1, b"", at, lambda x, answer: None)
    x.key = key
    return x


@pytest.mark.parametrize("table", TABLES, ids=lambda table: table.name)
def test_every_state_is_left_or_final_and_no_row_leads_nowhere(table: TransitionTable) -> None:
    reached = {table.transitions[state][event].next_state for state, event in table.defined_transitions()} | {0}  # type: ignore[union-attr]
    assert reached == set(range(len(table.states)))


def test_an_event_without_a_row_changes_nothing_and_is_counted() -> None:
    before = ATTEMPT_TABLE.invalid_counts["HELD.ENDED"]
    assert ATTEMPT_TABLE.step(AttemptState.HELD, AttemptEvent.ENDED, "a") == (AttemptState.HELD, ())
    assert ATTEMPT_TABLE.invalid_counts["HELD.ENDED"] == before + 1


@pytest.mark.parametrize("name", ["once", "kernels", "crowd", "full", "shared", "rude", "forgets"])
def test_a_small_world_holds_in_every_state(name: str) -> None:
    found = explore(ALL[name], Bounds(seconds=120))
    assert found.complete
    assert not found.violations
    assert found.states > 1000


def test_a_bound_is_no_verdict(capsys: pytest.CaptureFixture[str]) -> None:
    assert command.explore_all(["quick"], Bounds(states=500), 1, None, False) == command.NO_VERDICT
    assert "no verdict" in capsys.readouterr().out


@pytest.mark.parametrize(
    "name",
    [
        "answered twice",
        "grace ignored",
        "orders repeated after a break",
        "hand-over leaves with answers owed",
        "key forgotten at its outcome",
        "requests taken after the close",
    ],
)
def test_a_planted_bug_is_found(name: str, tmp_path: Path) -> None:
    words = [sys.executable, "-m", "myrtlespar.model_checker.mutation_testing", name, "--save", str(tmp_path)]
    done = subprocess.run(words, cwd=ROOT, capture_output=True, text=True, check=False)
    assert done.returncode == 0 and done.stdout.startswith("found"), done.stdout + done.stderr
    kept = tmp_path / f"{name.replace(' ', '-')}.yaml"
    again = [*words[:4], "--replay", str(kept)]
    assert subprocess.run(again, cwd=ROOT, capture_output=True, check=False).returncode == command.RULE_BROKEN
    assert command.replay(kept, False, "") in (command.ALL_HOLD, command.FAULTY_INPUT)  # without the bug no rule falls


@pytest.mark.parametrize(
    "name", ["key hand-over dropped", "starts behind the hand-over", "given-up connection used again"]
)  # the last one's machine does not end
def test_a_planted_bug_of_two_processes_or_without_an_end_is_found(name: str) -> None:
    words = [sys.executable, "-m", "myrtlespar.model_checker.mutation_testing", name]
    done = subprocess.run(words, cwd=ROOT, capture_output=True, text=True, check=False)
    assert done.returncode == 0 and done.stdout.startswith("found"), done.stdout + done.stderr


def test_no_order_of_a_hand_over_runs_a_key_twice() -> None:
    found = process_pair.explore()
    assert not found.violations
    assert found.states > 10_000
    assert found.depth > 12


def test_every_planted_bug_changes_one_place() -> None:
    for plant in MUTATIONS.values():
        text = normalized_source(ROOT / f"{plant.module.replace('.', '/')}.py")
        assert text.count(plant.old) == 1 and plant.old != plant.new, plant.name


def test_the_printed_tables_are_those_of_the_code() -> None:
    assert (ROOT / "docs" / "state-machines.md").read_text() == document()


# What the checker found in the program as it was, each with its shortest trace.


def test_a_lost_order_is_not_sent_again_by_a_mark_that_its_end_may_cross() -> None:
    book = CommandLog(lambda rid: True, 8)

    def link() -> None:
        book.connected()
        mark = book.booted()[0]
        assert isinstance(mark, RequestMark)
        assert not [one for one in book.mark_received(mark.name) or [] if isinstance(one, WriteCommand)]

    link()
    assert isinstance(book.send(Command("a", b"", True))[0], WriteCommand)
    book.broken()
    link()
    doubt = book.request_doubt_mark()[0]
    assert isinstance(doubt, RequestMark)
    assert book.mark_received(doubt.name) == []


def test_a_lost_order_that_nobody_waits_for_gives_its_place_back() -> None:
    book = CommandLog(lambda rid: False, 8)
    book.state = LinkState.READY
    book.send(Command("a", b"", True))
    book.broken()
    book.connected()
    mark = book.booted()[0]
    assert isinstance(mark, RequestMark)
    assert book.mark_received(mark.name) == []
    doubt = book.request_doubt_mark()[0]
    assert isinstance(doubt, RequestMark)
    assert book.mark_received(doubt.name) == [EndRun("a")]


def test_what_the_policy_forgot_is_failed_and_can_not_start_later() -> None:
    d = tracker()
    x = order(key="k")
    d.submit(x)
    assert [one.action for one in d.fail_overdue(4060.0)] == [AttemptAction.DELIVER, AttemptAction.TELL_GONE]
    assert d.start("a", 4061.0) == []
    assert not d.requests
    assert not d.keys.entries
    assert d.unanswered == 0


def test_a_started_order_is_failed_where_the_policy_would_refuse_it() -> None:
    d = tracker()
    d.submit(order())
    d.start("a", 1.0)
    answer = d.reject("a", REFUSED, 2.0)[0].answer
    assert answer is not None
    assert answer.kind is AnswerKind.FAILED


def test_a_start_past_the_grace_is_turned_away() -> None:
    d = tracker()
    d.process.drain_notice(0.0)
    for id, at, do in (("a", 1000.0, AttemptAction.START_RUN), ("b", 1001.0, AttemptAction.DELIVER)):
        d.submit(order(id, at=at))
        assert d.start(id, at)[0].action is do


def test_followers_move_up_and_share_the_outcome() -> None:
    d = tracker()
    tries = [order(id, "k") for id in "abc"]
    for x in tries:
        d.submit(x)
    assert [one.action for one in d.caller_gone(tries[0])] == [AttemptAction.TELL_ARRIVAL, AttemptAction.TELL_GONE]
    d.start("b", 1.0)
    effects = d.run_ended("b", RunOutcome.OK, 5.0, Answer(AnswerKind.SERVED, b"done"), 6.0)
    assert [
        (one.exchange.id, one.answer.body) for one in effects if one.answer and one.action is AttemptAction.DELIVER
    ] == [("b", b"done"), ("c", b"done")]


def test_the_process_leaves_only_when_nothing_is_owed() -> None:
    process = ProcessLifecycle(3000.0, 1000.0, 50.0, 300.0, 50.0)
    process.drain_notice(0.0)
    assert not process.poll(1001.0, 1)
    assert process.poll(1001.0, 0)
    assert not process.poll(1060.0, 1)
    assert process.poll(1060.0, 0)
    process.handle(ProcessEvent.FLUSHED)
    assert process.state == ProcessState.STOPPED


def test_fixing_the_order_of_like_tries_loses_no_verdict() -> None:
    ordered, free = ALL["crowd"], replace(ALL["crowd"], ordered=False)
    few, many = explore(ordered, Bounds()), explore(free, Bounds())
    assert few.complete
    assert many.complete
    assert not few.violations
    assert not many.violations
    assert few.states < many.states
    assert few.used_transitions == many.used_transitions
    rows = ATTEMPT_TABLE.transitions[AttemptState.RUNNING]
    kept, rows[AttemptEvent.ENDED] = (
        rows[AttemptEvent.ENDED],
        Transition(AttemptState.OVER, (AttemptAction.LEAVE, AttemptAction.DELIVER, AttemptAction.TELL_ENDED)),
    )
    try:
        few, many = explore(ordered, Bounds()), explore(free, Bounds())
    finally:
        rows[AttemptEvent.ENDED] = kept
    assert few.violations
    assert few.violations == many.violations
    assert len(few.path) == len(many.path)


@pytest.mark.parametrize(
    ("text", "complaint"),
    [
        (": [", "line 1: not YAML"),
        ("scenario: moon", "scenario: unknown"),
        ("scenario: once", "events: expected a list"),
        ("scenario: once\nevents: [[fly, a]]", "event 1: no such event"),
        ("scenario: once\nevents: [[run, a]]", "event 1: 'run a' can't come here"),
        ("scenario: once\nevents: [[tick]]\nplant: moon", "plant: no planted bug"),
    ],
)
def test_a_faulty_counter_example_is_named_in_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str, complaint: str
) -> None:
    path = tmp_path / "found.yaml"
    path.write_text(text)
    assert command.replay(path, False, "") == command.FAULTY_INPUT
    said = capsys.readouterr().err
    assert complaint in said
    assert said.count("\n") == 1


@pytest.mark.parametrize(
    ("lines", "status", "said"),
    [
        ([("try", "a", "READ", "ADMIT", "HELD"), ("try", "a", "HELD", "START", "RUNNING")], 0, "accepted: 2 steps"),
        ([("try", "a", "READ", "ADMIT", "RUNNING")], 1, "line 1, step 1: try a: ADMIT leads from READ to HELD"),
        ([("try", "a", "HELD", "START", "RUNNING")], 1, "begins in HELD"),
        ([("try", "a", "READ", "ADMIT", "HELD"), ("try", "a", "RUNNING", "ENDED", "OVER")], 1, "stood in HELD"),
        ([("try", "a", "HELD", "ENDED", "impossible")], 1, "impossible in HELD"),
        ([("moon", "a", "X", "Y", "Z")], 1, "no machine named 'moon'"),
        ([], 2, "no step"),
    ],
)
def test_a_trace_is_accepted_or_its_first_odd_step_named(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], lines: list[tuple[str, ...]], status: int, said: str
) -> None:
    path = tmp_path / "log"
    path.write_text(
        "".join(
            json.dumps({"event": "step", **dict(zip(("machine", "who", "state", "on", "to"), row, strict=True))}) + "\n"
            for row in lines
        )
    )
    assert check_trace(path) == status
    out = capsys.readouterr()
    assert said in out.out + out.err


LOST_ORDER = [
    ("send", 0),
    ("whole", 0),
    ("run", "a"),
    ("read",),
    ("break",),
    ("connect",),
    ("read",),
    ("hear",),
    ("end", "a", "PASS"),
    ("read",),
    ("hear",),
]
REPEATED_KEY = [
    ("send", 0),
    ("whole", 0),
    ("run", "a"),
    ("read",),
    ("end", "a", "PASS"),
    ("hear",),
    ("send", 1),
    ("whole", 1),
    ("run", "b"),
    ("read",),
]


@pytest.mark.parametrize(
    ("plant", "scenario", "events", "rule"),
    [
        ("orders repeated after a break", "once", LOST_ORDER, "one start a try"),
        ("key forgotten at its outcome", "quick", REPEATED_KEY, "one start a key"),
        ("every repeat starts", "quick", [*REPEATED_KEY[:4], *REPEATED_KEY[6:]], "one start a key"),
    ],
)
def test_a_counter_example_shows_on_sockets_with_the_bug_and_only_then(
    plant: str, scenario: str, events: list[Event], rule: str
) -> None:
    assert play(ALL[scenario], events, plant).violations == [rule]
    assert play(ALL[scenario], events).violations == []


@pytest.mark.parametrize(
    ("words", "status", "said"),
    [
        (["check", "--scenario", "moon"], 2, "no scenario named 'moon'"),
        (["check", "--jobs", "0"], 2, "--jobs"),
        (["check"], 2, "say --quick"),
        (["check", "trace", "/nowhere"], 2, "can't be read"),
        (["moon"], 2, "moon"),
        (["check", "tables", "--verify", "docs/state-machines.md"], 0, ""),
        (["version"], 0, "0.1"),
        (["check", "--scenario", "once", "--states", "50", "--jobs", "1"], 3, "no verdict"),
    ],
)
def test_the_command_line_says_what_is_wrong(words: list[str], status: int, said: str) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "myrtlespar", *words], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert done.returncode == status
    assert said in done.stdout + done.stderr
    assert status != 2 or done.stderr.count("\n") == 1


def test_serving_loads_no_tool() -> None:
    tools = "('click', 'yaml', 'xxhash', 'myrtlespar.model_checker', 'myrtlespar.fakes')"
    code = f"import sys, myrtlespar.server.main; print([m for m in {tools} if m in sys.modules])"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


def test_a_burst_against_the_real_server_keeps_every_rule_and_its_trace_is_accepted(tmp_path: Path) -> None:
    assert run_smoke_load(60, 7, tmp_path / "log") == 0
    assert check_trace(tmp_path / "log") == 0
