"""The storage of a hand-over: the folder (`$TMPDIR`) that two processes of one server share.

It contains a lock file that the running process locks, a second one that a replacement locks for as long as it waits
for the first, and the file of keys that an old process writes for its replacement; `reservation_file` and
`started_ids_file` have more. Every method except `remove_keys`, `withdraw` and `replacement_status` may raise OSError:
the folder can be missing or full, or contain something else under these names.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import stat
from enum import Enum
from hashlib import blake2b
from pathlib import Path
from urllib.parse import quote

from myrtlespar.handover.file_lock import NO_DESCRIPTOR, is_locked, lock_file
from myrtlespar.handover.keys_writer import KeysFileWriter

DEFAULT_MAX_KEYS_BYTES = 1 << 25
MAX_NAME_CHARS = 128  # maximum length of a server's name within a file name


class ReplacementStatus(Enum):
    """Whether a replacement of this process runs beside it."""

    ABSENT = "absent"
    PRESENT = "present"
    UNKNOWN = "unknown"  # the folder can't be used


class HandoverFolder:
    """The files `$TMPDIR/myrtlespar-NAME.lock`, `.replacement` and `.keys` of the server NAME.

    The locks are flocks, which the operating system releases at the end of their process, even after a crash. The
    first one is exclusive and held until the process ends. The second one is shared by all waiting replacements.
    """

    def __init__(self, tmpdir: str, name: str, max_keys_bytes: int = DEFAULT_MAX_KEYS_BYTES) -> None:
        """Name the files.

        Args:
            tmpdir: The folder.
            name: The name of the server.
            max_keys_bytes: The maximum length of a keys file; a longer one was not written by this program.
        """
        base = f"myrtlespar-{_file_name_part(name)}"
        self.lock_path = Path(tmpdir) / f"{base}.lock"
        self.replacement_path = Path(tmpdir) / f"{base}.replacement"
        self.keys_path = Path(tmpdir) / f"{base}.keys"
        self.reservation_path = Path(tmpdir) / f"{base}.capacity"
        self.started_ids_path = Path(tmpdir) / f"{base}.ids"
        self.sharing_path = Path(tmpdir) / f"{base}.sharing"
        self._max_keys_bytes = max_keys_bytes
        self._lock_descriptor = NO_DESCRIPTOR
        self._announcement_descriptor = NO_DESCRIPTOR

    @property
    def holds_lock(self) -> bool:
        """Whether this process holds the lock."""
        return self._lock_descriptor != NO_DESCRIPTOR

    def acquire_lock(self) -> bool:
        """Take the lock without waiting. Returns False while another process holds it."""
        if self._lock_descriptor == NO_DESCRIPTOR:
            self._lock_descriptor = lock_file(self.lock_path, fcntl.LOCK_EX)
        return self.holds_lock

    def announce(self) -> None:
        """Tell the process that holds the lock that this one is to replace it, until `withdraw` or the end."""
        if self._announcement_descriptor == NO_DESCRIPTOR:
            self._announcement_descriptor = lock_file(self.replacement_path, fcntl.LOCK_SH)

    def withdraw(self) -> None:
        """End the announcement of this process, if there is one."""
        if self._announcement_descriptor != NO_DESCRIPTOR:
            os.close(self._announcement_descriptor)
            self._announcement_descriptor = NO_DESCRIPTOR

    def replacement_status(self) -> ReplacementStatus:
        """Return whether another process has announced itself."""
        try:
            is_announced = is_locked(self.replacement_path, fcntl.LOCK_EX)
        except OSError:
            return ReplacementStatus.UNKNOWN
        return ReplacementStatus.PRESENT if is_announced else ReplacementStatus.ABSENT

    def read_keys(self) -> bytes | None:
        """Return the content of the keys file, or None if there is none.

        A pipe or device of that name, which could be endless, and a file longer than `max_keys_bytes` raise OSError.
        """
        try:
            descriptor = os.open(self.keys_path, os.O_RDONLY | os.O_CLOEXEC | os.O_NONBLOCK)
        except FileNotFoundError:
            return None
        with open(descriptor, "rb") as file:
            status = os.fstat(descriptor)
            if not stat.S_ISREG(status.st_mode):
                raise OSError(errno.EINVAL, "not a regular file", str(self.keys_path))
            if status.st_size > self._max_keys_bytes:
                raise OSError(errno.EFBIG, "longer than a hand-over file can be", str(self.keys_path))
            return file.read(self._max_keys_bytes)

    def remove_keys(self) -> None:
        """Remove the keys file, so that no later process reads it again.

        A failure is ignored, as the keys in the file expire anyway.
        """
        with contextlib.suppress(OSError):
            self.keys_path.unlink()

    def begin_keys(self) -> KeysFileWriter:
        """Begin to write the keys file. Nobody sees it before `KeysFileWriter.publish`."""
        return KeysFileWriter(self.keys_path)


def _file_name_part(name: str) -> str:
    """Return a server's name as part of a file name: without separators, and hashed if it would be too long."""
    quoted = quote(name, safe="")
    return quoted if len(quoted) <= MAX_NAME_CHARS else blake2b(name.encode(), digest_size=16).hexdigest()
