"""Locks between the processes of one server, which the operating system releases at the end of their process."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

NO_DESCRIPTOR = -1


def lock_file(path: Path, kind: int) -> int:
    """Take an flock of this kind without waiting, and return its descriptor.

    The lock is held until the descriptor is closed. Returns NO_DESCRIPTOR if another process holds a lock that excludes
    this one.
    """
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NONBLOCK, 0o600)
    try:
        fcntl.flock(descriptor, kind | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(descriptor)
        return NO_DESCRIPTOR
    except OSError:
        os.close(descriptor)
        raise
    return descriptor


def is_locked(path: Path, kind: int) -> bool:
    """Return whether another process holds a lock on the file that excludes one of this kind."""
    descriptor = lock_file(path, kind)
    if descriptor == NO_DESCRIPTOR:
        return True
    os.close(descriptor)
    return False
