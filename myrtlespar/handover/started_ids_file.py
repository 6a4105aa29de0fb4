"""The file `$TMPDIR/myrtlespar-NAME.ids`, in which the processes of one server record the ids that they start."""

from __future__ import annotations

import os
from collections.abc import Callable

import structlog

from myrtlespar.handover.file_lock import NO_DESCRIPTOR
from myrtlespar.handover.folder import HandoverFolder
from myrtlespar.runtime.counters import Counters

log = structlog.get_logger()
MAX_FILE_BYTES = 1 << 18  # above this size the file is emptied, unless another process reads it


class StartedIdsFile:
    """A `SharedIdLog` in a file that both processes of a replacement append to.

    A failure is logged and counted, and the ids of the other process are unknown then.
    """

    def __init__(self, folder: HandoverFolder, counters: Counters, is_alone: Callable[[], bool]) -> None:
        """Name the file; `is_alone` returns whether this process is the only one of its server."""
        self._path = folder.started_ids_path
        self._counters = counters
        self._is_alone = is_alone
        self._descriptor = NO_DESCRIPTOR
        self._position = 0

    def append(self, request_id: str) -> None:
        """Record an id."""
        try:
            descriptor = self._open()
            if os.fstat(descriptor).st_size > MAX_FILE_BYTES and self._is_alone():
                os.ftruncate(descriptor, 0)
            os.write(descriptor, request_id.encode() + b"\n")
        except OSError as error:
            self._count_unusable(error)

    def read_new(self) -> list[str]:
        """Return the ids recorded since the last call."""
        try:
            descriptor = self._open()
            size = os.fstat(descriptor).st_size
            if size < self._position:  # it was emptied
                self._position = 0
            data = os.pread(descriptor, size - self._position, self._position) if size > self._position else b""
        except OSError as error:
            self._count_unusable(error)
            return []
        complete = data[: data.rfind(b"\n") + 1]
        self._position += len(complete)
        return complete.decode("ascii", "replace").split()

    def _open(self) -> int:
        if self._descriptor == NO_DESCRIPTOR:
            flags = os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC | os.O_NONBLOCK
            self._descriptor = os.open(self._path, flags, 0o600)
        return self._descriptor

    def _count_unusable(self, error: OSError) -> None:
        if self._counters.count_and_sample("handover.ids_unusable"):
            log.error("the ids of started requests can't be shared with another process", error=str(error))
