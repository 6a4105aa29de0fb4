"""Passes the idempotency keys of a process to its replacement, so that no request with a key runs in both."""

from __future__ import annotations

import math
from dataclasses import dataclass

import gevent
import structlog

from myrtlespar.handover.folder import HandoverFolder, ReplacementStatus
from myrtlespar.handover.keys_file import answer_of
from myrtlespar.handover.publisher import KeyPublisher
from myrtlespar.handover.receiver import HandoverReceiver, HandoverState
from myrtlespar.request_coordinator import RequestCoordinator
from myrtlespar.runtime.clock import from_wall, unix_ms, wall_ms

log = structlog.get_logger()
POLL_INTERVAL_S = 0.05  # between two reads of the folder while the old process runs
NEVER = -math.inf  # a time in Unix milliseconds
UNUSABLE_INTERVAL_S = 1.0  # between two attempts to take the lock when its file can't be opened


@dataclass(frozen=True, slots=True)
class FolderContent:
    """The result of one read of the shared folder.

    Attributes:
        keys_data: The hand-over file; None if there is none.
        old_keys_valid: Whether an old process may run, or keys that it has not handed over may not have expired.
    """

    keys_data: bytes | None
    old_keys_valid: bool


class KeyHandover:
    """Receives the keys that the previous process published, and publishes those of this process at its end.

    While the folder can't be used, an old process may run undetected; and one that was killed has not handed over its
    keys. Requests with a key then don't run for as long as an outcome is cached (`limits.idempotency_key_ms`), because
    they could run a second time.
    """

    def __init__(self, coordinator: RequestCoordinator, folder: HandoverFolder) -> None:
        self._coordinator = coordinator
        self._folder = folder
        self._receiver = HandoverReceiver(HandoverState.WAITING)
        self._publisher = KeyPublisher(coordinator, folder)
        self._unusable_until = unix_ms() + coordinator.limits.idempotency_key_ms  # if the folder can't be used
        self._old_keys_expire_at = NEVER  # for an old process that was seen; it may still run while this is infinite
        self._ends = False  # whether this process was told to end; it replaces no other one then

    def start(self) -> None:
        """Import the keys that are available, or wait for them in a greenlet while an old process runs."""
        if not self._poll_folder():
            self._coordinator.tracker.keys.awaiting_handover = True
            log.info("an old process lives: keys wait for its hand-over")
        gevent.spawn(self._wait_for_old_process)

    def replacement_status(self) -> ReplacementStatus:
        """Return whether another process has announced that it replaces this one, which was told to end."""
        self._ends = True
        self._folder.withdraw()
        return self._folder.replacement_status()

    def begin_publishing(self) -> None:
        """Begin to write the outcomes of the idempotency keys, as the process ends soon."""
        if self._receiver.state is HandoverState.OPEN:
            self._publisher.start()

    def publish_keys(self) -> None:
        """Publish the outcomes of the idempotency keys for the replacement; a failure is logged and not raised.

        A process that still waits for keys itself has run no request with a key. It publishes nothing: an empty file
        would stand for the keys of the process that it waits for.
        """
        if self._receiver.state is HandoverState.OPEN:
            self._publisher.publish()
        else:
            log.info("no idempotency keys to write: those of the previous process have not arrived")

    def _wait_for_old_process(self) -> None:
        """Wait for the keys, then take the lock once the old process has ended.

        While this process holds the lock, a later one waits for its keys. The keys of the old process may arrive while
        the old process still holds the lock.
        """
        while self._receiver.state is HandoverState.WAITING:
            gevent.sleep(POLL_INTERVAL_S)
            self._poll_folder()
        while not self._try_to_lock():
            pass

    def _try_to_lock(self) -> bool:
        """Return whether this process holds the lock now; if not, sleep before the next attempt."""
        try:
            if self._acquire_lock():
                return True
        except OSError as error:
            self._count_unusable(error)
            gevent.sleep(UNUSABLE_INTERVAL_S)
        else:
            gevent.sleep(POLL_INTERVAL_S)
        return False

    def _acquire_lock(self) -> bool:
        """Return whether this process holds the lock now; until it does, it announces itself to the one that does."""
        if self._folder.acquire_lock():
            self._folder.withdraw()
            return True
        if not self._ends:
            self._folder.announce()
        return False

    def _poll_folder(self) -> bool:
        """Read the folder once and import the keys in it.

        Returns:
            Whether requests with a key may run now.
        """
        content = self._read_folder()
        self._receive(content)
        if self._receiver.state is HandoverState.WAITING:
            return False
        keys_arrived = content.keys_data is not None and not self._receiver.rejection
        self._coordinator.end_wait_for_handover(keys_arrived)
        if keys_arrived:
            self._folder.remove_keys()
        return True

    def _receive(self, content: FolderContent) -> None:
        """Pass the content of the folder to the receiver and import the outcomes that it accepts."""
        rejection_before = self._receiver.rejection
        # A key may have expired since the arrival of an attempt that waits for it.
        now = wall_ms() - self._coordinator.settings.longest_client_timeout_ms
        class_count = len(self._coordinator.settings.classes)
        received = self._receiver.poll(content.old_keys_valid, content.keys_data, now, class_count)
        if received.log_message:
            log.info(received.log_message)
        if self._receiver.rejection != rejection_before:
            self._coordinator.counters.add("handover.refused")
            # Without a usable file, requests with a key may run once the keys of the old process have expired.
            self._receiver.poll(content.old_keys_valid, None, now, class_count)
        for outcome in received.outcomes:
            self._coordinator.import_key_outcome(
                (outcome.class_index, outcome.key), answer_of(outcome), from_wall(outcome.expires_at)
            )

    def _read_folder(self) -> FolderContent:
        """Read the folder; a failure is logged, counted, and treated as an old process that may still run."""
        try:
            # The lock is tried before the file is read, as an old process writes the file before it releases the lock.
            self._watch_old_process()
            return FolderContent(self._folder.read_keys(), unix_ms() < self._old_keys_expire_at)
        except OSError as error:
            self._count_unusable(error)
            return FolderContent(None, unix_ms() < max(self._unusable_until, self._old_keys_expire_at))

    def _watch_old_process(self) -> None:
        """Try the lock, and determine until when keys of an old process that holds or held it are valid."""
        if not self._acquire_lock():
            self._old_keys_expire_at = math.inf
        elif self._old_keys_expire_at == math.inf:
            self._old_keys_expire_at = unix_ms() + self._coordinator.limits.idempotency_key_ms
            log.info("the old process has ended")

    def _count_unusable(self, error: OSError) -> None:
        if self._coordinator.counters.count_and_sample("handover.unusable"):
            log.error("hand-over folder unusable", error=str(error))
