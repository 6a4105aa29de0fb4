"""Reading a fleet's file again: it is taken whole, or rejected whole with one line that names the key.

Limits were adopted before the voter set of the same file was looked at. Where that was rejected, the member went on
with the new limits and the old voters, and the log's only line said that the reload was refused. Keys that change with
a restart only (`grants`, `repeats` and others) were passed over without a word.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
import yaml
from structlog.testing import capture_logs

from myrtlespar.fleet.node import FleetNode
from myrtlespar.fleet.settings import read_fleet
from myrtlespar.runtime.counters import Counters

ROWS: dict[str, Any] = {
    "fleet": "f",
    "site": "a",
    "name": "a1",
    "bind": "127.0.0.1:7100",
    "electorate": {"version": 1, "sites": {"a": ["a1", "a2", "a3"]}},
    "limits": {"x": {"per_s": 9}},
}
LOWERED = {"limits_version": 2, "limits": {"x": {"per_s": 6, "before": 9}}}
NEXT_VOTERS = {"electorate": {"version": 2, "sites": {"a": ["a1", "a2"]}}}
OTHER_VOTERS = {"electorate": {"version": 2, "sites": {"a": ["a1"]}}}


class ReloadedNode:
    """A node that has not joined, and its file."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "fleet.yaml"
        self.path.write_text(yaml.safe_dump(ROWS))
        settings = read_fleet(str(self.path), "a1")
        self.node = FleetNode(settings, str(self.path), Counters(), 1, ["order"])

    def reload(self, **changes: Any) -> list[Any]:
        """Change the file and read it again; the log's lines."""
        self.path.write_text(yaml.safe_dump({**ROWS, **changes}))
        with capture_logs() as lines:
            self.node.reload()
        return lines

    @property
    def versions(self) -> tuple[int, int]:
        """Those of the limits and of the voter set that are in use."""
        assert self.node.limits is not None
        return self.node.limits.settings.limits_version, self.node.voter_set.version


def test_limits_and_voters_of_one_file_are_taken_together(tmp_path: Path) -> None:
    reloaded = ReloadedNode(tmp_path)
    lines = reloaded.reload(**LOWERED, **NEXT_VOTERS)
    assert reloaded.versions == (2, 2)
    assert not [line for line in lines if line["log_level"] in ("warning", "error")]


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({**LOWERED, **OTHER_VOTERS}, "electorate.version 2"),
        ({**LOWERED, "limits_version": 3, **NEXT_VOTERS}, "limits_version: 1 is in force"),
        ({**LOWERED, "grants": {"grant_ms": 3000}}, "grants: changes with a restart"),
    ],
)
def test_a_reload_with_one_fault_changes_nothing_and_is_named_in_one_line(
    tmp_path: Path, changes: dict[str, Any], key: str
) -> None:
    reloaded = ReloadedNode(tmp_path)
    lines = reloaded.reload(**changes)
    assert reloaded.versions == (1, 1)
    assert [line["event"] for line in lines] == ["fleet reload refused"]
    assert lines[0]["error"].startswith(key)


@pytest.mark.parametrize(
    ("changes", "keys"),
    [
        ({"grants": {"grant_ms": 3000}}, ["grants"]),
        ({"repeats": {"share": 0.1, "burst": 2}}, ["repeats"]),
        ({"bind": "127.0.0.1:7200", "seeds": ["127.0.0.1:7300"], **NEXT_VOTERS}, ["advertise", "bind", "seeds"]),
    ],
)
def test_what_changes_with_a_restart_only_is_named(tmp_path: Path, changes: dict[str, Any], keys: list[str]) -> None:
    reloaded = ReloadedNode(tmp_path)
    lines = reloaded.reload(**changes)
    assert [line["keys"] for line in lines if line["event"] == "fleet: changes with a restart"] == [keys]
    assert reloaded.versions == (1, 2 if "electorate" in changes else 1)


def test_a_file_that_is_the_same_says_nothing(tmp_path: Path) -> None:
    assert ReloadedNode(tmp_path).reload() == []
