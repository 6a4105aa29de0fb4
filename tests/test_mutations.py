"""Mutations (planted bugs) of the state machines: each changes one place of the source, and the checker finds it."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from myrtlespar.fakes import ROOT
from myrtlespar.model_checker import command
from myrtlespar.model_checker.mutants import MUTATIONS, normalized_source


def test_every_planted_bug_changes_one_place() -> None:
    for mutation in MUTATIONS.values():
        source = normalized_source(ROOT / f"{mutation.module.replace('.', '/')}.py")
        assert source.count(mutation.old) == 1, mutation.name
        assert mutation.old != mutation.new, mutation.name


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
    command_line = [sys.executable, "-m", "myrtlespar.model_checker.mutation_testing", name, "--save", str(tmp_path)]
    finished = subprocess.run(command_line, cwd=ROOT, capture_output=True, text=True, check=False)
    assert finished.returncode == 0, finished.stdout + finished.stderr
    assert finished.stdout.startswith("found"), finished.stdout + finished.stderr
    counterexample = tmp_path / f"{name.replace(' ', '-')}.yaml"
    replay = [*command_line[:4], "--replay", str(counterexample)]
    assert subprocess.run(replay, cwd=ROOT, capture_output=True, check=False).returncode == command.RULE_BROKEN
    assert command.replay(counterexample, False, "") in (
        command.ALL_HOLD,
        command.FAULTY_INPUT,
    )  # without the mutation, all rules hold, or an event of the counter-example is not possible


@pytest.mark.parametrize(
    "name", ["key hand-over dropped", "starts behind the hand-over", "given-up connection used again"]
)  # the last of these mutations makes an event run endlessly
def test_a_planted_bug_of_two_processes_or_without_an_end_is_found(name: str) -> None:
    command_line = [sys.executable, "-m", "myrtlespar.model_checker.mutation_testing", name]
    finished = subprocess.run(command_line, cwd=ROOT, capture_output=True, text=True, check=False)
    assert finished.returncode == 0, finished.stdout + finished.stderr
    assert finished.stdout.startswith("found"), finished.stdout + finished.stderr
