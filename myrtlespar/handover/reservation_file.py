"""The file in which the running process tells its replacement which part of the server's capacity it still holds.

`$TMPDIR/myrtlespar-NAME.capacity` is locked by the process that writes it, for as long as it runs, and contains one
record. `.sharing` is locked by each replacement for as long as it waits for the end of the process before it; other
than the announcement in `folder`, that lock is not given up when the replacement itself is told to end.
"""

from __future__ import annotations

import fcntl
import math
import os
import struct
import zlib
from dataclasses import astuple, dataclass

from myrtlespar.handover.file_lock import NO_DESCRIPTOR, is_locked, lock_file
from myrtlespar.handover.folder import HandoverFolder
from myrtlespar.policy.server_share import ServerShare

RECORD = struct.Struct("<?dddddd")  # whether the capacity is shared, the share, and the memory and runs in use
CHECKSUM = struct.Struct("<I")
FILE_BYTES = RECORD.size + CHECKSUM.size


@dataclass(frozen=True, slots=True)
class Reservation:
    """What a running process holds of the capacity.

    Attributes:
        is_shared: Whether it knows of a replacement. If not, it may use the whole capacity.
        share: The part that it holds.
        memory_kb: The memory that its requests and runs take.
        run_fraction: The fraction of the started runs that are its own.
    """

    is_shared: bool
    share: ServerShare
    memory_kb: float
    run_fraction: float


def encode_reservation(reservation: Reservation) -> bytes:
    """Return the content of the file."""
    values = (*astuple(reservation.share), reservation.memory_kb, reservation.run_fraction)
    record = RECORD.pack(reservation.is_shared, *values)
    return record + CHECKSUM.pack(zlib.crc32(record))


def decode_reservation(data: bytes) -> Reservation | None:
    """Return the content of a file; None if it is not complete and valid, such as one that is just being written."""
    if len(data) != FILE_BYTES or data[RECORD.size :] != CHECKSUM.pack(zlib.crc32(data[: RECORD.size])):
        return None
    is_shared, *values = RECORD.unpack(data[: RECORD.size])
    if not all(0.0 <= value < math.inf for value in values):
        return None
    *share_values, memory_kb, run_fraction = values
    return Reservation(is_shared, ServerShare(*share_values), memory_kb, run_fraction)


class ReservationFile:
    """The file, and the locks on it. Every method may raise OSError, as the folder may be unusable."""

    def __init__(self, folder: HandoverFolder) -> None:
        self._path = folder.reservation_path
        self._sharing_path = folder.sharing_path
        self._own_descriptor = NO_DESCRIPTOR
        self._sharing_descriptor = NO_DESCRIPTOR
        self._published: Reservation | None = None

    def own(self) -> bool:
        """Become the writer of the file, and stop to announce this process; False while another one is the writer."""
        if self._own_descriptor == NO_DESCRIPTOR:
            self._own_descriptor = lock_file(self._path, fcntl.LOCK_EX)
        if self._own_descriptor != NO_DESCRIPTOR and self._sharing_descriptor != NO_DESCRIPTOR:
            os.close(self._sharing_descriptor)
            self._sharing_descriptor = NO_DESCRIPTOR
        return self._own_descriptor != NO_DESCRIPTOR

    def publish(self, reservation: Reservation) -> None:
        """Write what this process holds, if that has changed; it must be the writer of the file."""
        if reservation != self._published:
            os.pwrite(self._own_descriptor, encode_reservation(reservation), 0)
            self._published = reservation

    def is_sharing_requested(self) -> bool:
        """Return whether a replacement waits for the end of this process."""
        return is_locked(self._sharing_path, fcntl.LOCK_EX)

    def request_sharing(self) -> None:
        """Announce this process as a replacement; while the running process looks, that has to be tried again."""
        if self._sharing_descriptor == NO_DESCRIPTOR:
            self._sharing_descriptor = lock_file(self._sharing_path, fcntl.LOCK_SH)

    def has_writer(self) -> bool:
        """Return whether a process writes the file; one of an earlier release of this program doesn't."""
        return is_locked(self._path, fcntl.LOCK_SH)

    def read(self) -> Reservation | None:
        """Return what the writer holds; None if the file can't be read just now."""
        descriptor = os.open(self._path, os.O_RDONLY | os.O_CLOEXEC | os.O_NONBLOCK)
        try:
            return decode_reservation(os.pread(descriptor, FILE_BYTES + 1, 0))
        finally:
            os.close(descriptor)
