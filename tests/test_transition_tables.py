"""The transition tables: every state is reachable, and invalid events are counted."""

from __future__ import annotations

import pytest

from myrtlespar.fakes import ROOT
from myrtlespar.model_checker.diagrams import document
from myrtlespar.state_machines import TABLES
from myrtlespar.state_machines.attempts import ATTEMPT_TABLE, AttemptEvent, AttemptState
from myrtlespar.state_machines.transition_table import TransitionTable


@pytest.mark.parametrize("table", TABLES, ids=lambda table: table.name)
def test_every_state_is_reached_by_a_transition(table: TransitionTable) -> None:
    reached = {table.transitions[state][event].next_state for state, event in table.defined_transitions()} | {0}  # type: ignore[union-attr]
    assert reached == set(range(len(table.states)))


def test_an_event_without_a_transition_changes_nothing_and_is_counted() -> None:
    before = ATTEMPT_TABLE.invalid_counts["HELD.ENDED"]
    assert ATTEMPT_TABLE.step(AttemptState.HELD, AttemptEvent.ENDED, "a") == (AttemptState.HELD, ())
    assert ATTEMPT_TABLE.invalid_counts["HELD.ENDED"] == before + 1


def test_the_documented_tables_match_the_code() -> None:
    assert (ROOT / "docs" / "state-machines.md").read_text() == document()
