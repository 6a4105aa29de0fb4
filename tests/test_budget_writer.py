"""The writer of the budget journal if the file can't be read, or if a write does not return.

Guards against an unbounded queue. If the file could not be read when the process took over its peer address, nothing
was ever written, but effects that depend on a write were still queued. Memory grew with each request of a shard leader,
which never got a response, and no counter showed it.
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


def test_effects_are_dropped_and_counted_if_the_file_cannot_be_read(tmp_path: Path) -> None:
    path = tmp_path / "budgets-a1.bin"
    counters = Counters()
    writer = BudgetWriter(path, counters)
    path.write_bytes(b"corrupted by another process")
    writer.reload()
    for number in range(5000):
        writer.enqueue(effect(number))
    assert writer.queued == 0
    assert counters.report()[COUNTER] == 5000
    assert path.read_bytes() == b"corrupted by another process"


def test_the_queue_is_bounded_while_a_write_does_not_return(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    write_returns = threading.Event()

    def hang(*_: object) -> None:
        write_returns.wait()

    monkeypatch.setattr(budget_file, "write", hang)
    counters = Counters()
    writer = BudgetWriter(tmp_path / "budgets-a1.bin", counters)
    coordinator = writing_coordinator()
    completed: list[PersistThenSend] = []
    greenlet = gevent.spawn(writer.run, coordinator, completed.append)
    coordinator.budget_journal.totals[BudgetPeriod("z", 1)] = 3
    writer.enqueue(effect(0))
    gevent.sleep(0.01)  # until the writer waits for the write
    for number in range(3 * MAX_QUEUED_EFFECTS):
        writer.enqueue(effect(number))
    assert writer.queued == MAX_QUEUED_EFFECTS
    assert counters.report()[COUNTER] == 2 * MAX_QUEUED_EFFECTS
    write_returns.set()
    until(lambda: gevent.sleep(0.01) or len(completed) == 1 + MAX_QUEUED_EFFECTS)
    greenlet.kill()
