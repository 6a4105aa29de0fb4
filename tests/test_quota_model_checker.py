"""The model checker of fleet limits: its world, its plans and its mutations."""

from __future__ import annotations

import subprocess
import sys

import pytest

from myrtlespar.fakes import ROOT
from myrtlespar.model_checker.fleet.command import mutations
from myrtlespar.model_checker.mutants import normalized_source
from myrtlespar.model_checker.quota.explore import explore
from myrtlespar.model_checker.quota.world import begin
from myrtlespar.model_checker.quota.world_settings import CONCURRENCY_LIMIT, RATE_LIMIT, WorldSettings
from myrtlespar.quota.settings import Limit

MAX_SECONDS = 600  # time limit of one exploration
OBSERVED_MS = 4000  # simulated time over which the use of a limit is measured


@pytest.mark.parametrize("limit", [RATE_LIMIT, CONCURRENCY_LIMIT], ids=["rate", "concurrency"])
def test_all_of_a_limit_is_in_use_in_calm_and_never_more(limit: Limit) -> None:
    world = begin(WorldSettings(limit, (0.98, 1.02, 1.0)))
    starts_before = world.usage.total_starts()
    since = world.now
    while world.now < since + OBSERVED_MS:
        world.step()
    starts = world.usage.total_starts() - starts_before
    used = starts / (OBSERVED_MS / limit.linger_ms) / limit.amount
    assert not world.violations
    assert world.usage.max_in_use == limit.amount
    assert used > 0.85


def test_no_schedule_with_one_fault_exceeds_a_limit() -> None:
    result = explore("sample", 1, MAX_SECONDS)
    assert not result.violations
    assert result.complete
    assert result.runs > 200
    assert result.max_in_use >= RATE_LIMIT.amount


def test_no_schedule_with_one_fault_spends_a_budget_twice_or_elects_two_leaders() -> None:
    result = explore("newer", 1, MAX_SECONDS)
    assert not result.violations
    assert result.complete
    assert result.runs > 300
    assert result.max_in_use > 100


@pytest.mark.parametrize(
    "name",
    [
        "a lapsed grant is free at once",
        "a voter promises two",
        "others are not counted",
        "a new life uses its share at once",
        "the lesser share is set aside in a change",
        "a vault is not written down",
        "what is given up is kept until the engine knows",
    ],
)
def test_a_mutation_of_limits_is_found(name: str) -> None:
    command = [sys.executable, "-m", "myrtlespar.model_checker.fleet.command", "limits", name, "300"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stdout + done.stderr
    assert done.stdout.startswith("found"), done.stdout + done.stderr


def test_every_mutation_of_limits_changes_one_place() -> None:
    for mutation in mutations("limits").values():
        source = normalized_source(ROOT / f"{mutation.module.replace('.', '/')}.py")
        assert source.count(mutation.old) == 1, mutation.name
        assert mutation.old != mutation.new, mutation.name
