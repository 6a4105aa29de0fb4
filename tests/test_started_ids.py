"""The ids of started attempts, and the file in which two processes share them."""

from __future__ import annotations

from pathlib import Path

import pytest

from myrtlespar.handover import started_ids_file
from myrtlespar.handover.folder import HandoverFolder
from myrtlespar.handover.started_ids_file import StartedIdsFile
from myrtlespar.runtime.counters import Counters
from myrtlespar.state_machines.attempts import AttemptAction
from myrtlespar.state_machines.started_ids import StartedIds
from tests.test_request_tracker import effectful_attempt, new_tracker


def test_ids_are_kept_for_their_time_and_up_to_their_number() -> None:
    ids = StartedIds(3, 100.0)
    for number in range(5):
        ids.add(f"a{number}", float(number))
    assert [ids.contains(f"a{number}", 5.0) for number in range(5)] == [False, False, True, True, True]
    assert not ids.contains("a4", 104.0)
    ids.add("b", 104.0)
    assert len(ids._expires_at) == 1


@pytest.mark.parametrize("keep_ms", [0.0, 1.0])
def test_ids_that_are_kept_for_hardly_any_time_do_no_harm(keep_ms: float) -> None:
    """Guards against an error where the settings give callers no time at all."""
    ids = StartedIds(3, keep_ms)
    for number in range(10):
        ids.add(f"a{number}", 10.0 * number)
        assert not ids.contains(f"a{number}", 10.0 * number + 1.0)
    assert len(ids._expires_at) <= 2


def test_an_old_time_stamp_of_a_client_makes_no_id_of_the_other_process_expire(tmp_path: Path) -> None:
    """Guards against a request that says that it arrived long ago, and with whose time the shared ids were kept."""
    folder = HandoverFolder(str(tmp_path), "n")
    tracker = new_tracker()
    tracker.started_ids.log = StartedIdsFile(folder, Counters(), lambda: False)
    StartedIdsFile(folder, Counters(), lambda: False).append("again")
    tracker.submit(effectful_attempt("late", arrived_at=0.0), 50_000.0)
    effects = tracker.submit(effectful_attempt("again", arrived_at=50_000.0), 50_000.0) or []
    assert [effect.action for effect in effects] == [AttemptAction.DELIVER]


def test_two_processes_see_each_others_ids(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(started_ids_file, "MAX_FILE_BYTES", 100)
    folder = HandoverFolder(str(tmp_path), "n")
    old, new = StartedIds(100, 1000.0), StartedIds(100, 1000.0)
    old.log = StartedIdsFile(folder, Counters(), lambda: True)
    new.log = StartedIdsFile(folder, Counters(), lambda: False)
    for number in range(50):
        old.add(f"old{number}", 0.0)
        new.add(f"new{number}", 0.0)
        assert new.contains(f"old{number}", 1.0)
        assert old.contains(f"new{number}", 1.0)
    assert folder.started_ids_path.stat().st_size < 300  # emptied from time to time


def test_an_unusable_file_is_counted_and_hides_no_id_of_this_process(tmp_path: Path) -> None:
    folder = HandoverFolder(str(tmp_path), "n")
    folder.started_ids_path.mkdir()
    counters = Counters()
    ids = StartedIds(3, 100.0)
    ids.log = StartedIdsFile(folder, counters, lambda: True)
    ids.add("a", 0.0)
    assert ids.contains("a", 1.0)
    assert counters.report()["handover.ids_unusable"] == 2
