"""The writer of the budget journal where the file can't be read, or the disk doesn't answer.

If the file could not be read when the process took over its address, nothing was ever written, but what depended on a
write was queued all the same, for ever and without bound: memory grew by each request of a shard leader, which waited
for what never came. Nothing was counted.
"""

from __future__ import annotations

import threading
from pathlib import Path

import gevent
import pytest

from myrtlespar.fakes import until
from myrtlespar.fleet.budget_writer import MAX_QUEUED_EFFECTS, BudgetWriter
from myrtlespar.net import budget_file
from myrtlespar.quota.budget import BudgetPeriod
from myrtlespar.quota.lease import Incarnation
from myrtlespar.quota.limit_coordinator import LimitCoordinator
from myrtlespar.quota.messages import BudgetReserveResponse, PersistThenSend
from myrtlespar.quota.settings import GrantSettings, Limit
from myrtlespar.runtime.counters import Counters

COUNTER = "limits.unwritten"


def effect(number: int) -> PersistThenSend:
    return PersistThenSend("a2", BudgetReserveResponse(0, 1, "z", 1, number))


def writing_coordinator() -> LimitCoordinator:
    return LimitCoordinator(
        Incarnation("a1", 1), GrantSettings(), {"z": Limit(per_day=9)}, frozenset(("a1", "a2")), 0.0
    )


def test_what_depends_on_a_file_that_cannot_be_read_is_dropped_and_counted(tmp_path: Path) -> None:
    path = tmp_path / "budgets-a1.bin"
    counters = Counters()
    writer = BudgetWriter(path, counters)
    path.write_bytes(b"spoilt by somebody meanwhile")
    writer.reload()
    for number in range(5000):
        writer.enqueue(effect(number))
    assert writer.queued == 0
    assert counters.report()[COUNTER] == 5000
    assert path.read_bytes() == b"spoilt by somebody meanwhile"


def test_what_waits_for_a_disk_that_does_not_answer_is_bounded(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    answers = threading.Event()

    def hang(*_: object) -> None:
        answers.wait()

    monkeypatch.setattr(budget_file, "write", hang)
    counters = Counters()
    writer = BudgetWriter(tmp_path / "budgets-a1.bin", counters)
    coordinator = writing_coordinator()
    completed: list[PersistThenSend] = []
    greenlet = gevent.spawn(writer.run, coordinator, completed.append)
    coordinator.budget_journal.totals[BudgetPeriod("z", 1)] = 3
    writer.enqueue(effect(0))
    gevent.sleep(0.01)  # the writer waits for the disk
    for number in range(3 * MAX_QUEUED_EFFECTS):
        writer.enqueue(effect(number))
    assert writer.queued == MAX_QUEUED_EFFECTS
    assert counters.report()[COUNTER] == 2 * MAX_QUEUED_EFFECTS
    answers.set()
    until(lambda: gevent.sleep(0.01) or len(completed) == 1 + MAX_QUEUED_EFFECTS)
    greenlet.kill()
