"""Persists a member's budget journal before any message that depends on it is sent.

One greenlet writes the file; effects that arrive during a write are all completed by the next write. The write itself
runs in gevent's thread pool, so that a slow disk never blocks the event loop.
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
MAX_QUEUED_EFFECTS = 4096  # more effects are dropped; the requests that caused them are repeated


class BudgetWriter:
    """Reads and writes the budget file of this member.

    Without a path, or after a failed `reload`, nothing is written and each effect is dropped, so that this member
    agrees to no reservation as a voter.
    """

    def __init__(self, path: Path | None, counters: Counters) -> None:
        """Read the file, if there is a path. ConfigError if it is corrupt or can't be read."""
        self.path = path
        self.counters = counters
        self.persisted_totals: dict[BudgetPeriod, int] = {}
        self._queued: list[PersistThenSend] = []
        self._effects_queued = Event()
        if path is not None:
            self.persisted_totals = read_budgets(path)

    def reload(self) -> None:
        """Read the file again, as the previous process may have written it until it released the peer address.

        If that fails, the error is logged and the file is neither read nor written afterwards.
        """
        if self.path is None:
            return
        try:
            self.persisted_totals = read_budgets(self.path)
        except ConfigError as error:
            log.error("fleet: no budget is vouched for", error=str(error))
            self.path = None

    @property
    def queued(self) -> int:
        """Number of effects that wait for the next write."""
        return len(self._queued)

    def enqueue(self, effect: PersistThenSend) -> None:
        """Queue an effect for `run`, which completes it once the journal is persisted. Returns immediately.

        The effect is dropped and counted if the file can't be used, as it would never be completed, or if the queue is
        full. The sender of the request repeats it as long as it needs a response.
        """
        if self.path is None or len(self._queued) >= MAX_QUEUED_EFFECTS:
            self.counters.add("limits.unwritten")
            return
        self._queued.append(effect)
        self._effects_queued.set()

    def run(self, coordinator: LimitCoordinator, persisted: Callable[[PersistThenSend], None]) -> None:
        """Write the coordinator's journal whenever effects are queued, then call `persisted` for each effect.

        Effects whose write fails are dropped, as their requests are repeated. Returns after the first effect that
        follows the retirement of the coordinator.
        """
        assert self.path is not None
        written_totals = dict(coordinator.budget_journal.totals)
        while not coordinator.grant_holder.retired:
            self._effects_queued.wait()
            self._effects_queued.clear()
            effects = self._queued
            self._queued = []
            totals = dict(coordinator.budget_journal.totals)
            try:
                if totals != written_totals:
                    gevent.get_hub().threadpool.apply(budget_file.write, (self.path, totals))
                    written_totals = totals
            except OSError as error:
                # Totals that are not on disk would be lost in a restart, so these effects are not completed.
                self.counters.add("limits.unwritten", len(effects))
                if self.counters.count_and_sample("limits.log.unwritten"):
                    log.error("fleet: cannot write the budget journal", error=str(error))
                continue
            for effect in effects:
                persisted(effect)


def read_budgets(path: Path) -> dict[BudgetPeriod, int]:
    """Return the reserved totals in a budget file. ConfigError if it is corrupt or can't be read."""
    try:
        return budget_file.read(path)
    except budget_file.CorruptBudgetFileError as corrupt_file:
        raise ConfigError(
            f"state: budget file {corrupt_file} is corrupt, so the reserved totals are not known"
        ) from None
    except OSError as error:
        raise ConfigError(f"state: cannot read {path}: {error.strerror}") from None
