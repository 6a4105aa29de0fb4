"""Helpers for tests of complete fleets: actions on members, and queries of their state."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from typing import Any

import yaml

from myrtlespar.fakes import ROOT
from myrtlespar.fleet_tests.member_process import MemberProcess
from myrtlespar.fleet_tests.process_launcher import FleetRun

COMMAND_TIMEOUT_S = 60


def spawn_all(run: FleetRun) -> None:
    """Start all members without waiting for them."""
    for member in run.members.values():
        member.process = run.spawn(member)


def states(run: FleetRun, name: str) -> dict[str, str]:
    """Return the states of the other members in one member's view, by name."""
    view = run.view(name)
    return {row["name"]: row["state"] for row in view["members"]} if view and "members" in view else {}


def incarnation_of(run: FleetRun, observer: str, name: str) -> int:
    """Return the incarnation of a member in the view of an observer; 0 if it is unknown."""
    view = run.view(observer) or {"members": []}
    return max((row["life"][0] for row in view["members"] if row["name"] == name), default=0)


def others_know_incarnation_after(run: FleetRun, name: str, incarnation: int) -> bool:
    """Return whether all other members know a later incarnation of a member."""
    return all(incarnation_of(run, observer, name) > incarnation for observer in run.members if observer != name)


def count_of(run: FleetRun, name: str) -> int:
    """Return the sum of the first member's counters whose names begin with `name`."""
    counts = (run.view("a1") or {}).get("counts", {})
    return sum(count for key, count in counts.items() if key.startswith(name))


def others_answered_since(run: FleetRun, name: str, since_s: float) -> bool:
    """Return whether all others have answered a probe of a member since a time on the monotonic clock."""
    elapsed_ms = (time.monotonic() - since_s) * 1000
    view = run.view(name)
    if view is None or "members" not in view:
        return False
    ages_ms = [row["proven_ms"] for row in view["members"]]
    return all(age_ms is not None and age_ms < elapsed_ms for age_ms in ages_ms)


def failures(run: FleetRun) -> list[dict[str, Any]]:
    """Return all log lines in which a member reports another one as failed."""
    return [
        row
        for member in run.members.values()
        for row in member.log
        if row["event"] == "fleet member" and row["new"] == "failed"
    ]


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run a command of the command line to its end."""
    return subprocess.run(
        [sys.executable, "-m", "myrtlespar", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
    )


def start_error(member: MemberProcess, **changes: Any) -> str:
    """Start a member with changed keys in its fleet file; return the error line of the rejected start."""
    path = member.folder / "fleet.yaml"
    path.write_text(yaml.safe_dump({**yaml.safe_load(path.read_text()), **changes}))
    env = {
        **os.environ,
        "BALANCER_CONFIG": str(member.folder / "config.json"),
        "MYRTLESPAR_FLEET": str(path),
        "TMPDIR": str(member.folder),
    }
    done = subprocess.run(
        [sys.executable, "-m", "myrtlespar"],
        cwd=ROOT,
        env=env,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
    )
    assert done.returncode == 2, done.stderr
    assert done.stderr.count("\n") == 1, done.stderr
    assert not any(json.loads(line)["event"] == "serving" for line in done.stdout.splitlines())
    return done.stderr
