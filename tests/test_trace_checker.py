"""Recorded traces: valid ones are accepted, and of an invalid one the first invalid step is reported."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from myrtlespar.fakes.smoke_load import run_smoke_load
from myrtlespar.model_checker.trace_checker import check_trace


@pytest.mark.parametrize(
    ("lines", "status", "message"),
    [
        ([("try", "a", "READ", "ADMIT", "HELD"), ("try", "a", "HELD", "START", "RUNNING")], 0, "accepted: 2 steps"),
        ([("try", "a", "READ", "ADMIT", "RUNNING")], 1, "line 1, step 1: try a: ADMIT leads from READ to HELD"),
        ([("try", "a", "HELD", "START", "RUNNING")], 1, "first step starts in HELD, expected READ"),
        (
            [("try", "a", "READ", "ADMIT", "HELD"), ("try", "a", "RUNNING", "ENDED", "OVER")],
            1,
            "step starts in RUNNING, but the previous one ended in HELD",
        ),
        ([("try", "a", "HELD", "ENDED", "impossible")], 1, "impossible in HELD"),
        ([("moon", "a", "X", "Y", "Z")], 1, "no machine named 'moon'"),
        ([], 2, "no step"),
    ],
)
def test_a_trace_is_accepted_or_its_first_invalid_step_named(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], lines: list[tuple[str, ...]], status: int, message: str
) -> None:
    path = tmp_path / "log"
    path.write_text(
        "".join(
            json.dumps({"event": "step", **dict(zip(("machine", "who", "state", "on", "to"), row, strict=True))}) + "\n"
            for row in lines
        )
    )
    assert check_trace(path) == status
    output = capsys.readouterr()
    assert message in output.out + output.err


def test_a_burst_against_the_real_server_keeps_every_rule_and_its_trace_is_accepted(tmp_path: Path) -> None:
    assert run_smoke_load(60, 7, tmp_path / "log") == 0
    assert check_trace(tmp_path / "log") == 0
