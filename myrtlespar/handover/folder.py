"""The storage of a hand-over: the folder (`$TMPDIR`) that two processes of one server share.

It contains a lock file that the running process locks, and the file of keys that an old process writes for its
replacement. Every method except `remove_keys` may raise OSError: the folder can be missing or full, or contain
something else under these names.
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

MAX_FILE_BYTES = 1 << 25  # maximum length of a hand-over file; a longer file was not written by this program
MAX_NAME_CHARS = 128  # maximum length of a server's name within a file name
NO_DESCRIPTOR = -1


class HandoverFolder:
    """The files `$TMPDIR/myrtlespar-NAME.lock` and `.keys` of the server NAME.

    The lock is an flock held until the process ends, so the operating system releases it even after a crash.
    """

    def __init__(self, tmpdir: str, name: str) -> None:
        base = f"myrtlespar-{_file_name_part(name)}"
        self.lock_path = Path(tmpdir) / f"{base}.lock"
        self.keys_path = Path(tmpdir) / f"{base}.keys"
        self._lock_descriptor = NO_DESCRIPTOR

    def acquire_lock(self) -> bool:
        """Take the lock without waiting. Returns False while another process holds it."""
        if self._lock_descriptor != NO_DESCRIPTOR:
            return True
        descriptor = os.open(self.lock_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NONBLOCK, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return False
        except OSError:
            os.close(descriptor)
            raise
        self._lock_descriptor = descriptor
        return True

    def read_keys(self) -> bytes | None:
        """Return the content of the keys file, or None if there is none.

        A pipe or device of that name, which could be endless, and a file longer than MAX_FILE_BYTES raise OSError.
        """
        try:
            descriptor = os.open(self.keys_path, os.O_RDONLY | os.O_CLOEXEC | os.O_NONBLOCK)
        except FileNotFoundError:
            return None
        with open(descriptor, "rb") as file:
            status = os.fstat(descriptor)
            if not stat.S_ISREG(status.st_mode):
                raise OSError(errno.EINVAL, "not a regular file", str(self.keys_path))
            if status.st_size > MAX_FILE_BYTES:
                raise OSError(errno.EFBIG, "longer than a hand-over file can be", str(self.keys_path))
            return file.read(MAX_FILE_BYTES)

    def remove_keys(self) -> None:
        """Remove the keys file, so that no later process reads it again.

        A failure is ignored, as the keys in the file expire anyway.
        """
        with contextlib.suppress(OSError):
            self.keys_path.unlink()

    def write_keys(self, data: bytes) -> None:
        """Write the keys to a temporary file and rename it, so that the keys file is complete or absent."""
        temporary_path = self.keys_path.with_name(f"{self.keys_path.name}.part{os.getpid()}")
        try:
            temporary_path.write_bytes(data)
            temporary_path.replace(self.keys_path)
        except OSError:
            with contextlib.suppress(OSError):
                temporary_path.unlink()
            raise


def _file_name_part(name: str) -> str:
    """Return a server's name as part of a file name: without separators, and hashed if it would be too long."""
    quoted = quote(name, safe="")
    return quoted if len(quoted) <= MAX_NAME_CHARS else blake2b(name.encode(), digest_size=16).hexdigest()
