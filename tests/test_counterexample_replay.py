"""Saved counter-examples of the model checker: they are validated when read, and replayed on the real program."""

from __future__ import annotations

from pathlib import Path

import pytest

from myrtlespar.model_checker import command
from myrtlespar.model_checker.replay_on_process import play
from myrtlespar.model_checker.scenarios import ALL
from myrtlespar.model_checker.world import Event

# The start of an order is sent and read, and the link breaks before the notices of the run arrive.
LOST_START = [
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
# A first order has ended when a second one with the same idempotency key arrives.
RETRIED_KEY = [
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
    ("text", "message"),
    [
        (": [", "line 1: not YAML"),
        ("scenario: moon", "scenario: unknown"),
        ("scenario: once", "events: expected a list"),
        ("scenario: once\nevents: [[fly, a]]", "event 1: no such event"),
        ("scenario: once\nevents: [[run, a]]", "event 1: 'run a' is not possible in the state before it"),
        ("scenario: once\nevents: [[tick]]\nplant: moon", "plant: no planted bug"),
    ],
)
def test_an_invalid_counterexample_is_reported_in_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str, message: str
) -> None:
    path = tmp_path / "found.yaml"
    path.write_text(text)
    assert command.replay(path, False, "") == command.FAULTY_INPUT
    errors = capsys.readouterr().err
    assert message in errors
    assert errors.count("\n") == 1


@pytest.mark.parametrize(
    ("mutation", "scenario", "events", "rule"),
    [
        ("orders repeated after a break", "once", LOST_START, "one start a try"),
        ("key forgotten at its outcome", "quick", RETRIED_KEY, "one start a key"),
        ("every repeat starts", "quick", [*RETRIED_KEY[:4], *RETRIED_KEY[6:]], "one start a key"),
    ],
)
def test_a_counterexample_shows_on_sockets_with_the_bug_and_only_then(
    mutation: str, scenario: str, events: list[Event], rule: str
) -> None:
    assert play(ALL[scenario], events, mutation).violations == [rule]
    assert play(ALL[scenario], events).violations == []
