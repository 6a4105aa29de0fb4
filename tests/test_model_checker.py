"""The model checker: small scenarios are explored completely, and an exploration stopped by a bound has no verdict."""

from __future__ import annotations

from dataclasses import replace

import pytest

from myrtlespar.model_checker import command, process_pair
from myrtlespar.model_checker.explore import Bounds, explore
from myrtlespar.model_checker.scenarios import ALL
from myrtlespar.state_machines.attempts import ATTEMPT_TABLE, AttemptAction, AttemptEvent, AttemptState
from myrtlespar.state_machines.transition_table import Transition


@pytest.mark.parametrize("name", ["once", "kernels", "crowd", "full", "shared", "rude", "forgets"])
def test_a_small_model_keeps_every_rule_in_every_state(name: str) -> None:
    result = explore(ALL[name], Bounds(seconds=120))
    assert result.complete
    assert not result.violations
    assert result.states > 1000


def test_a_bound_is_no_verdict(capsys: pytest.CaptureFixture[str]) -> None:
    assert command.explore_all(["quick"], Bounds(states=500), 1, None, False) == command.NO_VERDICT
    assert "no verdict" in capsys.readouterr().out


def test_no_order_of_a_hand_over_runs_a_key_twice() -> None:
    result = process_pair.explore()
    assert not result.violations
    assert result.states > 10_000
    assert result.depth > 12


def test_fixing_the_order_of_identical_attempts_loses_no_verdict() -> None:
    ordered = ALL["crowd"]
    free = replace(ordered, ordered=False)
    ordered_result = explore(ordered, Bounds())
    free_result = explore(free, Bounds())
    assert ordered_result.complete
    assert free_result.complete
    assert not ordered_result.violations
    assert not free_result.violations
    assert ordered_result.states < free_result.states
    assert ordered_result.used_transitions == free_result.used_transitions
    # Remove the action that records the outcome for the idempotency key: both explorations must find this fault, with
    # counter-examples of the same length.
    running = ATTEMPT_TABLE.transitions[AttemptState.RUNNING]
    transition = running[AttemptEvent.ENDED]
    without_outcome = (AttemptAction.LEAVE, AttemptAction.DELIVER, AttemptAction.TELL_ENDED)
    running[AttemptEvent.ENDED] = Transition(AttemptState.OVER, without_outcome)
    try:
        ordered_result = explore(ordered, Bounds())
        free_result = explore(free, Bounds())
    finally:
        running[AttemptEvent.ENDED] = transition
    assert ordered_result.violations
    assert ordered_result.violations == free_result.violations
    assert len(ordered_result.path) == len(free_result.path)
