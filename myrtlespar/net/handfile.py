"""The shared `$TMPDIR` of two processes of one server: a lock that the living one holds, and the file of keys
that an old process leaves for its replacement. The decisions are in `ops.handover`; this is the storage."""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path


class Folder:
    """`$TMPDIR/myrtlespar-NAME.lock` and `.keys`. The lock is an flock held for the life of the process, so the
    kernel lets go of it however the process ends."""

    def __init__(self, tmpdir: str, name: str) -> None:
        base = Path(tmpdir) / f"myrtlespar-{name}"
        self.lock_path, self.keys_path = base.with_suffix(".lock"), base.with_suffix(".keys")
        self._fd = -1

    def claim(self) -> bool:
        """Whether this process holds the lock now; False while an older process lives."""
        if self._fd >= 0:
            return True
        fd = os.open(self.lock_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            return False
        self._fd = fd
        return True

    def read(self) -> bytes | None:
        """The keys file, None if there is none."""
        try:
            return self.keys_path.read_bytes()
        except FileNotFoundError:
            return None

    def taken(self) -> None:
        """The file was read whole: remove it, so that no later start takes it again."""
        with contextlib.suppress(FileNotFoundError):
            self.keys_path.unlink()

    def write(self, data: bytes) -> None:
        """Leave the keys for a successor: written beside and renamed, so that it is whole or absent."""
        part = self.keys_path.with_suffix(f".part{os.getpid()}")
        part.write_bytes(data)
        part.replace(self.keys_path)
