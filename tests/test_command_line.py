"""The command line: exit codes, one-line errors, and that serving loads no modules of other commands."""

from __future__ import annotations

import subprocess
import sys

import pytest

from myrtlespar.fakes import ROOT


@pytest.mark.parametrize(
    ("arguments", "status", "message"),
    [
        (["check", "--scenario", "moon"], 2, "no scenario named 'moon'"),
        (["check", "--jobs", "0"], 2, "--jobs"),
        (["check"], 2, "expected --quick"),
        (["check", "trace", "/nowhere"], 2, "can't be read"),
        (["moon"], 2, "moon"),
        (["check", "tables", "--verify", "docs/state-machines.md"], 0, ""),
        (["version"], 0, "0.1"),
        (["check", "--scenario", "once", "--states", "50", "--jobs", "1"], 3, "no verdict"),
    ],
)
def test_the_command_line_says_what_is_wrong(arguments: list[str], status: int, message: str) -> None:
    finished = subprocess.run(
        [sys.executable, "-m", "myrtlespar", *arguments], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert finished.returncode == status
    assert message in finished.stdout + finished.stderr
    assert status != 2 or finished.stderr.count("\n") == 1


def test_serving_loads_no_modules_of_other_commands() -> None:
    tools = "('click', 'yaml', 'xxhash', 'myrtlespar.model_checker', 'myrtlespar.fakes')"
    code = f"import sys, myrtlespar.server.main; print([m for m in {tools} if m in sys.modules])"
    finished = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert finished.stdout.strip() == "[]"
