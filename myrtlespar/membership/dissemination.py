"""Dissemination of updates on outgoing packets: each is sent a bounded number of times, the least often sent first."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from heapq import nsmallest

from myrtlespar.membership.messages import SUSPECT, MemberUpdate, ReachabilityRow
from myrtlespar.membership.settings import MembershipSettings

MAX_PENDING_UPDATES = 512  # beyond this, the update sent most often is dropped


@dataclass(slots=True)
class PendingUpdate:
    """An update that is being disseminated."""

    update: MemberUpdate
    queued_at: float  # ms; the update is sent with its evidence aged by the time since
    times_sent: int = 0


class Dissemination:
    """Updates to send, only the newest about each member."""

    def __init__(self, settings: MembershipSettings) -> None:
        self.settings = settings
        self._pending: dict[str, PendingUpdate] = {}  # by member; suspicions by member and accuser
        self._rows: dict[str, tuple[int, ReachabilityRow]] = {}  # by reporter: times sent, row

    def put(self, update: MemberUpdate, now: float) -> None:
        """Start to send an update, in place of earlier ones about the same member.

        A suspicion replaces any update that is no suspicion, and the suspicion of the same accuser; those of other
        accusers are sent beside it, as the receivers count the accusers.
        """
        suspected = update.state == SUSPECT
        pending_key = f"{update.name}\0{update.accuser}" if suspected else update.name
        if not suspected:
            for other in [key for key in self._pending if key.startswith(update.name + "\0")]:
                del self._pending[other]
        elif update.name in self._pending:
            del self._pending[update.name]
        self._pending[pending_key] = PendingUpdate(update, now)
        if len(self._pending) > MAX_PENDING_UPDATES:  # bounds memory when many members change at once
            del self._pending[max(self._pending, key=lambda key: self._pending[key].times_sent)]

    def put_row(self, row: ReachabilityRow) -> None:
        """Start to send a reachability row, in place of an earlier one of the same reporter."""
        self._rows[row.reporter] = (0, row)

    def clear(self) -> None:
        """Drop all pending updates and rows."""
        self._pending.clear()
        self._rows.clear()

    def __len__(self) -> int:
        return len(self._pending) + len(self._rows)

    def max_times_sent(self, fleet_size: int) -> int:
        """Return how many times one member sends each update."""
        return math.ceil(self.settings.repeat * math.log2(fleet_size + 1))

    def pick(
        self, now: float, fleet_size: int, max_bytes: int, first: Iterable[MemberUpdate] = ()
    ) -> tuple[tuple[MemberUpdate, ...], tuple[ReachabilityRow, ...]]:
        """Choose what the next packet carries: `first`, then the pending updates sent least often, then one row.

        Returns at most `carry` updates and rows in all. Pending ones are added up to `max_bytes`, and each is sent at
        most `max_times_sent` times; `first` is always included and not counted as sent.
        """
        updates = list(first)
        max_bytes -= sum(update_size(update) for update in updates)
        max_bytes = self._add_updates(updates, now, fleet_size, max_bytes)
        rows: tuple[ReachabilityRow, ...] = ()
        if self._rows and len(updates) < self.settings.carry:
            rows = self._pick_row(fleet_size, max_bytes)
        return tuple(updates), rows

    def _add_updates(self, updates: list[MemberUpdate], now: float, fleet_size: int, max_bytes: int) -> int:
        pending = self._pending
        if not pending:
            return max_bytes
        max_times_sent = self.max_times_sent(fleet_size)
        free_slots = self.settings.carry - len(updates)
        for pending_key in nsmallest(free_slots, pending, key=lambda pending_key: pending[pending_key].times_sent):
            entry = pending[pending_key]
            max_bytes -= update_size(entry.update)
            if max_bytes < 0:
                break
            updates.append(entry.update.aged(now - entry.queued_at))
            entry.times_sent += 1
            if entry.times_sent >= max_times_sent:
                del pending[pending_key]
        return max_bytes

    def _pick_row(self, fleet_size: int, max_bytes: int) -> tuple[ReachabilityRow, ...]:
        reporter = min(self._rows, key=lambda key: self._rows[key][0])
        times_sent, row = self._rows[reporter]
        if row_size(row) > max_bytes:
            return ()
        if times_sent + 1 >= self.max_times_sent(fleet_size):
            del self._rows[reporter]
        else:
            self._rows[reporter] = (times_sent + 1, row)
        return (row,)


def update_size(update: MemberUpdate) -> int:
    """Return an upper bound of an update's bytes in a packet: texts with their lengths, and numbers of nine bytes."""
    return 38 + len(update.name) + len(update.site) + len(update.address) + len(update.accuser)


def row_size(row: ReachabilityRow) -> int:
    """Return an upper bound of a reachability row's bytes in a packet."""
    return 24 + len(row.reporter) + sum(len(name) + 4 for name, _ in row.unreachable)
