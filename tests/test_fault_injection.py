"""Mixed faults on the real program, one schedule for each seed. `benchmarks/fault_search.py` runs more seeds."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.fault_injection import Trial


@pytest.mark.parametrize("seed", range(6))
def test_mixed_faults_leave_each_request_one_answer_and_nothing_that_nobody_asked_for(
    tmp_path: Path, seed: int
) -> None:
    trial = Trial(seed, tmp_path).play()
    assert not trial.wrong, (trial.wrong[:5], trial.counts)
    assert trial.counts["requests"] > 150, trial.counts
    assert trial.counts["success"] > 20, trial.counts


@pytest.mark.parametrize("seed", [100, 101])
def test_the_same_with_two_hundred_clients(tmp_path: Path, seed: int) -> None:
    trial = Trial(seed, tmp_path, clients=200, rate=80.0, chance=0.005).play()
    assert not trial.wrong, (trial.wrong[:5], trial.counts)
    assert trial.counts["requests"] > 300, trial.counts
    assert trial.counts["success"] > 40, trial.counts
