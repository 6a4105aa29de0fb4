"""The shared `$TMPDIR` of two processes of one server: a lock that the living one holds, and the file of keys
that an old process leaves for its replacement. The decisions are in `ops.handover`; this is the storage.

Every method may raise OSError: the folder can be missing, full, or hold something foreign under these names.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import stat
from hashlib import blake2b
from pathlib import Path
from urllib.parse import quote

MAX_FILE_BYTES = 1 << 25  # of a hand-over file; a longer one is foreign
MAX_NAME_CHARS = 128  # of a server's name within a file's name


def _file_part(name: str) -> str:
    """A server's name as part of a file's name: no separators, and not too long for the file system."""
    quoted = quote(name, safe="")
    return quoted if len(quoted) <= MAX_NAME_CHARS else blake2b(name.encode(), digest_size=16).hexdigest()


class HandoverFolder:
    """`$TMPDIR/myrtlespar-NAME.lock` and `.keys`. The lock is an flock held for the life of the process, so the
    kernel lets go of it however the process ends.
    """

    def __init__(self, tmpdir: str, name: str) -> None:
        base = f"myrtlespar-{_file_part(name)}"
        self.lock_path, self.keys_path = Path(tmpdir) / f"{base}.lock", Path(tmpdir) / f"{base}.keys"
        self._fd = -1

    def acquire_lock(self) -> bool:
        """Whether this process holds the lock now; False while an older process lives."""
        if self._fd >= 0:
            return True
        fd = os.open(self.lock_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NONBLOCK, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            return False
        except OSError:
            os.close(fd)
            raise
        self._fd = fd
        return True

    def read_keys(self) -> bytes | None:
        """The keys file, None if there is none. Guards the start against a pipe or device under that name, whose
        reading would not end, and memory against a file of any length.
        """
        try:
            fd = os.open(self.keys_path, os.O_RDONLY | os.O_CLOEXEC | os.O_NONBLOCK)
        except FileNotFoundError:
            return None
        with open(fd, "rb") as file:
            status = os.fstat(fd)
            if not stat.S_ISREG(status.st_mode):
                raise OSError(errno.EINVAL, "not a regular file", str(self.keys_path))
            if status.st_size > MAX_FILE_BYTES:
                raise OSError(errno.EFBIG, "too long for a hand-over file", str(self.keys_path))
            return file.read(MAX_FILE_BYTES)

    def remove_keys(self) -> None:
        """The file was read whole: remove it, so that no later start takes it again. One that stays lapses."""
        with contextlib.suppress(OSError):
            self.keys_path.unlink()

    def write_keys(self, data: bytes) -> None:
        """Leave the keys for a successor: written beside and renamed, so that it is whole or absent."""
        part = self.keys_path.with_name(f"{self.keys_path.name}.part{os.getpid()}")
        try:
            part.write_bytes(data)
            part.replace(self.keys_path)
        except OSError:
            with contextlib.suppress(OSError):
                part.unlink()
            raise
