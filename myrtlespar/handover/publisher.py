"""Writes the idempotency keys of a process that ends, for its replacement.

Most of the file is written while the process still answers its last requests, since a full table takes longer than the
time between the last answer and the kill.
"""

from __future__ import annotations

import gevent
import structlog

from myrtlespar.handover.folder import HandoverFolder
from myrtlespar.handover.keys_file import KeyRow, key_outcomes
from myrtlespar.handover.keys_writer import KeysFileWriter
from myrtlespar.request_coordinator import RequestCoordinator
from myrtlespar.runtime.clock import to_wall, unix_ms

log = structlog.get_logger()
KEYS_PER_TURN = 32  # keys written before other greenlets run
NEW_KEYS_INTERVAL_S = 0.02  # between two looks for further outcomes once all are written


class KeyPublisher:
    """Copies the outcomes of idempotency keys to the hand-over file from `start` on, and completes it in `publish`.

    The process lifecycle is told how many outcomes are unwritten and how long one takes, so that it reserves the time.
    """

    def __init__(self, coordinator: RequestCoordinator, folder: HandoverFolder) -> None:
        self._tracker = coordinator.tracker
        self._process = coordinator.process
        self._folder = folder
        self._publish_reserve_ms = coordinator.limits.publish_reserve_ms
        self._writer: KeysFileWriter | None = None
        self._position = 0  # of the next outcome to write, see `IdempotencyKeyTable.outcomes_from`
        self._written_count = 0
        self._writing_ms = 0.0
        self._copier: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to write the outcomes in a greenlet. A repeated call has no effect."""
        if self._copier is None:
            self._copier = gevent.spawn(self._copy)

    def publish(self) -> None:
        """Write what is missing and publish the file; a failure is logged and not raised."""
        if self._copier is not None:
            self._copier.kill()
        try:
            if self._writer is None:
                self._begin_file()
            while self._write_next():
                pass
            self._append(self._tracker.keys_to_hand_over(unix_ms(), self._position))
            assert self._writer is not None
            self._writer.publish()
        except OSError as error:
            self._give_up(error)
        else:
            log.info("idempotency keys written for the replacement", keys=self._written_count)

    def _copy(self) -> None:
        """Write the outcomes, those that become known meanwhile included, until the greenlet is killed.

        After a failure, `publish` tries once more from the beginning.
        """
        try:
            self._begin_file()
            while True:
                began_at = unix_ms()
                if self._write_next():
                    gevent.sleep(0)
                    self._writing_ms += unix_ms() - began_at
                else:
                    gevent.sleep(NEW_KEYS_INTERVAL_S)
                self._report_progress()
        except OSError as error:
            self._give_up(error)

    def _begin_file(self) -> None:
        self._writer = self._folder.begin_keys()
        self._position = 0
        self._written_count = 0

    def _write_next(self) -> bool:
        """Write the next unwritten outcomes. Returns whether there were any."""
        rows, self._position = self._tracker.keys.outcomes_from(self._position, KEYS_PER_TURN)
        self._append(rows)
        return bool(rows)

    def _append(self, rows: list[KeyRow]) -> None:
        assert self._writer is not None
        self._writer.append(key_outcomes((key_id, answer, to_wall(expires_at)) for key_id, answer, expires_at in rows))
        self._written_count += len(rows)

    def _report_progress(self) -> None:
        """Tell the process lifecycle how much is unwritten and how long one key takes, other greenlets included."""
        keys = self._tracker.keys
        self._process.unwritten_keys = keys.outcome_count - self._position
        self._process.average_key_ms = self._writing_ms / max(1, self._written_count)
        self._process.publish_reserve_ms = self._publish_reserve_ms if keys.entries else 0.0

    def _give_up(self, error: OSError) -> None:
        log.error("writing the idempotency keys for the replacement failed", error=str(error))
        if self._writer is not None:
            self._writer.discard()
            self._writer = None
