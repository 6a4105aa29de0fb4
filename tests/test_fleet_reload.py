"""A reload of the fleet file is adopted completely, or rejected completely with one log line that names the key.

Guards against two faults. Limits were adopted before the voter set of the same file was checked, so a rejected voter
set left the member with the new limits and the old voters, while the only log line said that the reload was refused.
Changes of keys that need a restart (`grants`, `repeats` and others) were ignored without a log line.
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
    """A node that has not joined the fleet, and its fleet file."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "fleet.yaml"
        self.path.write_text(yaml.safe_dump(ROWS))
        settings = read_fleet(str(self.path), "a1")
        self.node = FleetNode(settings, str(self.path), Counters(), 1, ["order"])

    def reload(self, **changes: Any) -> list[Any]:
        """Change keys of the file and reload it; return the log lines."""
        self.path.write_text(yaml.safe_dump({**ROWS, **changes}))
        with capture_logs() as lines:
            self.node.reload()
        return lines

    @property
    def versions(self) -> tuple[int, int]:
        """The versions of the limits and of the voter set in use."""
        assert self.node.limits is not None
        return self.node.limits.settings.limits_version, self.node.voter_set.version


def test_limits_and_voters_of_one_file_are_adopted_together(tmp_path: Path) -> None:
    reloaded = ReloadedNode(tmp_path)
    lines = reloaded.reload(**LOWERED, **NEXT_VOTERS)
    assert reloaded.versions == (2, 2)
    assert not [line for line in lines if line["log_level"] in ("warning", "error")]


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({**LOWERED, **OTHER_VOTERS}, "electorate.version 2"),
        ({**LOWERED, "limits_version": 3, **NEXT_VOTERS}, "limits_version: 1 is in use"),
        ({**LOWERED, "grants": {"grant_ms": 3000}}, "grants: can only be changed with a restart"),
    ],
)
def test_a_reload_with_one_invalid_key_changes_nothing_and_logs_one_line_naming_the_key(
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
def test_keys_that_need_a_restart_are_named_in_the_log(
    tmp_path: Path, changes: dict[str, Any], keys: list[str]
) -> None:
    reloaded = ReloadedNode(tmp_path)
    lines = reloaded.reload(**changes)
    assert [line["keys"] for line in lines if line["event"] == "fleet: changes with a restart"] == [keys]
    assert reloaded.versions == (1, 2 if "electorate" in changes else 1)


def test_reloading_an_unchanged_file_logs_nothing(tmp_path: Path) -> None:
    assert ReloadedNode(tmp_path).reload() == []
