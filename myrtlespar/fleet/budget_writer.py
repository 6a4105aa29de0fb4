"""Persists a member's budget journal before any message that depends on it is sent.

One greenlet writes; effects that arrive during a write share the next one. The file itself is written by a thread of
gevent's pool, so that a slow disk never blocks the loop.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import gevent
import structlog
from gevent.event import Event

from myrtlespar.config import ConfigError
from myrtlespar.net import budget_file
from myrtlespar.quota.budget import BudgetPeriod
from myrtlespar.quota.limit_coordinator import LimitCoordinator
from myrtlespar.quota.messages import PersistThenSend
from myrtlespar.runtime.counters import Counters

log = structlog.get_logger()
MAX_QUEUED_EFFECTS = 4096  # that wait for a write; the members repeat what is dropped


class BudgetWriter:
    """Reads and writes the budget file of this member.

    Without a path, or after a failed `reload`, nothing is written and each effect is dropped: this member then reserves
    no budget as a voter.
    """

    def __init__(self, path: Path | None, counters: Counters) -> None:
        """Read the file. ConfigError if it is corrupt or can't be read."""
        self.path = path
        self.counters = counters
        self.rows: dict[BudgetPeriod, int] = {}
        self._queued: list[PersistThenSend] = []
        self._queued_some = Event()
        if path is not None:
            self.rows = read_budgets(path)

    def reload(self) -> None:
        """Read the file again, as an earlier process may have written it until it released the peer address.

        If that fails, the error is logged and the file is neither read nor written any more.
        """
        if self.path is None:
            return
        try:
            self.rows = read_budgets(self.path)
        except ConfigError as error:
            log.error("fleet: no budget is vouched for", error=str(error))
            self.path = None

    @property
    def queued(self) -> int:
        """How many effects wait for the next write."""
        return len(self._queued)

    def enqueue(self, effect: PersistThenSend) -> None:
        """Let `run` persist the journal and then complete this effect. Returns at once.

        It is dropped and counted if the file can't be used, or if too many wait: nothing would ever complete it, and
        its sender repeats its request as long as it needs an answer.
        """
        if self.path is None or len(self._queued) >= MAX_QUEUED_EFFECTS:
            self.counters.add("limits.unwritten")
            return
        self._queued.append(effect)
        self._queued_some.set()

    def run(self, coordinator: LimitCoordinator, persisted: Callable[[PersistThenSend], None]) -> None:
        """Write the coordinator's journal whenever effects are queued, then call `persisted` for each of them.

        Effects whose write fails are dropped, as their requests are repeated. Ends with the first effect after the
        coordinator retired.
        """
        assert self.path is not None
        saved = dict(coordinator.budget_journal.totals)
        while not coordinator.grant_holder.retired:
            self._queued_some.wait()
            self._queued_some.clear()
            effects = self._queued
            self._queued = []
            rows = dict(coordinator.budget_journal.totals)
            try:
                if rows != saved:
                    gevent.get_hub().threadpool.apply(budget_file.write, (self.path, rows))
                    saved = rows
            except OSError as error:  # what is not on disk would be lost in a restart, so it is not confirmed
                self.counters.add("limits.unwritten", len(effects))
                if self.counters.count_and_sample("limits.log.unwritten"):
                    log.error("fleet: budgets can't be written down", error=str(error))
                continue
            for effect in effects:
                persisted(effect)


def read_budgets(path: Path) -> dict[BudgetPeriod, int]:
    """Return the rows of a budget file. ConfigError if it is corrupt or can't be read."""
    try:
        return budget_file.read(path)
    except budget_file.CorruptBudgetFileError as why:
        raise ConfigError(f"state: {why} is spoilt: what was spent can't be known") from None
    except OSError as error:
        raise ConfigError(f"state: cannot read {path}: {error.strerror}") from None
