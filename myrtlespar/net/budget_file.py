"""File of a voter's budget journal: `MPV1`, a CRC-32, then msgpack.

A new file is written completely, synced and then renamed over the old one, so that a crash leaves one of the two.
"""

from __future__ import annotations

import os
import zlib
from collections.abc import Mapping
from pathlib import Path

import msgspec

from myrtlespar.errors import MyrtlesparError
from myrtlespar.quota.budget import BudgetPeriod

MAGIC = b"MPV1"
HEADER_BYTES = 8  # size of the magic and the checksum
MAX_FILE_BYTES = 64 << 20

BudgetRows = Mapping[BudgetPeriod, int]  # upper bound on the total handed out in each period


class CorruptBudgetFileError(MyrtlesparError):
    """The file is incomplete or corrupt, so the reserved totals are unknown; the text is the path."""


def read(path: Path) -> dict[BudgetPeriod, int]:
    """Return all rows; none if there is no file.

    Raises:
        CorruptBudgetFileError: The file is incomplete or corrupt.
        OSError: The file can't be read.
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return {}
    body = data[HEADER_BYTES:]
    if len(data) > MAX_FILE_BYTES or data[:4] != MAGIC or _checksum(body) != data[4:HEADER_BYTES]:
        raise CorruptBudgetFileError(str(path))
    try:
        rows: list[tuple[str, int, int]] = msgspec.msgpack.decode(body, type=list[tuple[str, int, int]])
    except msgspec.MsgspecError:
        raise CorruptBudgetFileError(str(path)) from None
    return {BudgetPeriod(key, period): total for key, period, total in rows}


def write(path: Path, rows: BudgetRows) -> None:
    """Replace the file and sync it to the disk.

    Raises:
        OSError: Writing failed; the file may be the old or the new one.
    """
    body = msgspec.msgpack.encode([(key, period, total) for (key, period), total in rows.items()])
    new_path = path.with_suffix(".new")
    with new_path.open("wb") as file:
        file.write(MAGIC + _checksum(body) + body)
        file.flush()
        os.fsync(file.fileno())
    new_path.replace(path)
    _sync_directory(path.parent)


def _checksum(body: bytes) -> bytes:
    return zlib.crc32(body).to_bytes(4, "big")


def _sync_directory(path: Path) -> None:
    """Sync a directory, which makes the renaming of a file in it durable."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
