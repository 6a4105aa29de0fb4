"""How the idempotency keys of one process reach the process that replaces it, so that no order runs in both."""

from __future__ import annotations

import gevent
import structlog

from myrtlespar.handover.folder import HandoverFolder
from myrtlespar.handover.keys_file import HandoverReceiver, HandoverState, answer_of, encode, known_keys
from myrtlespar.request_coordinator import RequestCoordinator
from myrtlespar.runtime.clock import from_wall, to_wall, unix_ms, wall_ms

log = structlog.get_logger()
LOOK_S = 0.05  # between looks for an old process's keys


class KeyHandover:
    """Takes over the keys that the process before this one left, and leaves this one's at its end.

    Guards orders against a second run where the folder can't be used: an old process may live unseen, so keys wait
    for as long as one is remembered.
    """

    def __init__(self, coordinator: RequestCoordinator, folder: HandoverFolder) -> None:
        self._core, self._folder = coordinator, folder
        self._successor = HandoverReceiver(HandoverState.WAITING)
        self._began = unix_ms()

    def start(self) -> None:
        """Take the keys that are there, or wait for them while an old process lives."""
        if self._look():
            return
        self._core.tracker.keys.awaiting_handover = True
        log.info("an old process lives: keys wait for its hand-over")
        gevent.spawn(self._await)

    def publish_keys(self) -> None:
        """At the end of a hand-over: the outcomes of keys, for the process that takes over."""
        rows = self._core.tracker.keys_to_hand_over(unix_ms())
        known = known_keys((slot, answer, to_wall(lapses_at)) for slot, answer, lapses_at in rows)
        try:
            self._folder.write_keys(encode(known))
            log.info("keys left for the next process", keys=len(known))
        except OSError as error:
            log.error("keys could not be left", error=str(error))

    def _await(self) -> None:
        while self._successor.state is HandoverState.WAITING:
            gevent.sleep(LOOK_S)
            self._look()

    def _look(self) -> bool:
        """One look into the folder; whether keys are open now."""
        data, old_lives = self._read()
        refused_before = self._successor.rejection
        now, classes = wall_ms(), len(self._core.settings.classes)
        known, line = self._successor.poll(old_lives, data, now, classes)
        if line:
            log.info(line)
        if self._successor.rejection != refused_before:
            self._core.counters.add("handover.refused")
            self._successor.poll(old_lives, None, now, classes)  # as if there were none
        for one in known:
            self._core.tracker.keys.import_outcome(
                (one.class_index, one.key), answer_of(one), from_wall(one.expires_at)
            )
        if self._successor.state is HandoverState.WAITING:
            return False
        self._core.tracker.keys.awaiting_handover = False
        if data is not None and not self._successor.rejection:
            self._folder.remove_keys()
        return True

    def _read(self) -> tuple[bytes | None, bool]:
        """What an old process left, and whether it may still live. A folder that fails is named, counted and passed
        over.
        """
        try:
            # The lock before the file: what a process that is gone left is whole by then.
            old_lives = not self._folder.acquire_lock()
            return self._folder.read_keys(), old_lives
        except OSError as error:
            if self._core.counters.rare("handover.unusable"):
                log.error("hand-over folder unusable", error=str(error))
            return None, unix_ms() < self._began + self._core.limits.idempotency_key_ms
