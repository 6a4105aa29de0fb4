"""Keeps two processes of one server within its capacity, while one of them replaces the other.

Without it, each would use the whole memory, number of runs and share of calls of the server. The decisions are in
`myrtlespar.policy.server_share`.
"""

from __future__ import annotations

import gevent
import structlog

from myrtlespar.handover.folder import HandoverFolder
from myrtlespar.handover.reservation_file import Reservation, ReservationFile
from myrtlespar.policy.server_share import NOTHING, ServerShare, rest_of, shrink_share
from myrtlespar.request_coordinator import RequestCoordinator
from myrtlespar.runtime.clock import unix_ms

log = structlog.get_logger()
SHARING_INTERVAL_S = 0.01  # between two looks while two processes run
ALONE_INTERVAL_S = 0.05  # between two looks for a replacement
UNUSABLE_INTERVAL_S = 1.0  # after the folder could not be used
ACKNOWLEDGE_TIMEOUT_MS = 500.0  # how long a start waits until the old process shares


class CapacitySharing:
    """Divides the capacity between this process and the one before it, and later between it and its replacement.

    While the folder can't be used, this process uses what it was allowed last.
    """

    def __init__(self, coordinator: RequestCoordinator, folder: HandoverFolder) -> None:
        self._coordinator = coordinator
        self._policy = coordinator.policy
        self._folder = folder
        self._file = ReservationFile(folder)
        self._held_by_old = NOTHING  # what the old process holds, or held at its end
        self._old_runs_end_at = 0.0  # when the last runs of an old process that has ended are over
        self._share = self._policy.whole_share()  # of this process; it shrinks while a replacement runs

    def start(self) -> None:
        """Begin to share, and wait for a short time until an old process that runs has given up a part."""
        acknowledge_by = unix_ms() + ACKNOWLEDGE_TIMEOUT_MS
        while not self._is_acknowledged() and unix_ms() < acknowledge_by:
            gevent.sleep(SHARING_INTERVAL_S)
        gevent.spawn(self._run)

    def _is_acknowledged(self) -> bool:
        """Look once at what the old process holds. Returns whether this process may begin to serve."""
        try:
            self._file.request_sharing()
            if not self._file.has_writer():
                return True
            reservation = self._file.read()
        except OSError as error:
            self._count_unusable(error)
            return True
        self._apply_reservation(reservation)
        return reservation is not None and reservation.is_shared

    def _run(self) -> None:
        while True:
            try:
                interval_s = self._step()
            except OSError as error:
                self._count_unusable(error)
                interval_s = UNUSABLE_INTERVAL_S
            gevent.sleep(interval_s)

    def _step(self) -> float:
        """Adjust the share of this process. Returns the time in seconds until the next step."""
        if not self._folder.holds_lock:
            self._file.request_sharing()
            self._apply_reservation(self._file.read() if self._file.has_writer() else None)
            return SHARING_INTERVAL_S
        if not self._file.own():  # the old process is just ending
            return SHARING_INTERVAL_S
        self._expect_end_of_old_runs()
        return self._share_with_replacement()

    def _apply_reservation(self, reservation: Reservation | None) -> None:
        """Use what the old process leaves; without a valid reservation, that is what it left last."""
        if reservation is None:
            return
        self._held_by_old = reservation.share if reservation.is_shared else self._policy.whole_share()
        self._policy.leave_to_other_process(self._held_by_old)

    def _expect_end_of_old_runs(self) -> None:
        """Once the old process has ended, wait for its last runs: the execution engine goes on with them."""
        if self._held_by_old == NOTHING:
            return
        if not self._old_runs_end_at:
            self._old_runs_end_at = unix_ms() + self._coordinator.settings.longest_client_timeout_ms
            last = self._file.read()
            self._held_by_old = ServerShare(last.memory_kb, last.run_fraction) if last and last.is_shared else NOTHING
        elif unix_ms() >= self._old_runs_end_at:
            self._held_by_old = NOTHING

    def _share_with_replacement(self) -> float:
        """Give up a part of the capacity while a replacement runs, and take it back when there is none any more.

        Returns the time in seconds until the next step.
        """
        capacity = self._policy.whole_share()
        demand = self._policy.share_demand()
        is_shared = self._file.is_sharing_requested()
        self._coordinator.tracker.keys.keeps_expired = is_shared
        self._share = shrink_share(self._share, capacity, demand, self._coordinator.draining) if is_shared else capacity
        # The policy gives up its part before the replacement hears of it.
        self._policy.leave_to_other_process(_sum(rest_of(capacity, self._share), self._held_by_old))
        in_use = _sum(demand.in_use if is_shared else NOTHING, self._held_by_old)
        share = _sum(self._share, self._held_by_old)
        self._file.publish(Reservation(is_shared, share, in_use.memory_kb, in_use.run_fraction))
        return SHARING_INTERVAL_S if is_shared else ALONE_INTERVAL_S

    def _count_unusable(self, error: OSError) -> None:
        if self._coordinator.counters.count_and_sample("handover.capacity_unusable"):
            log.error("the capacity can't be shared with another process", error=str(error))


def _sum(one: ServerShare, other: ServerShare) -> ServerShare:
    return ServerShare(
        one.memory_kb + other.memory_kb,
        one.run_fraction + other.run_fraction,
        one.calls + other.calls,
        one.mean_calls + other.mean_calls,
    )
