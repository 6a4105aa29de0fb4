"""The budget journal of a voter, in a file that outlives the process: `MPV1`, a CRC-32, then msgpack.

A new file is written completely beside the old one, synced, then renamed over it, so that a crash leaves one of the
two.
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
HEADER_BYTES = 8  # magic and checksum
MAX_FILE_BYTES = 64 << 20

BudgetRows = Mapping[BudgetPeriod, int]  # the total that may have been handed out in each period


class CorruptBudgetFileError(MyrtlesparError):
    """The file is incomplete or damaged, so the reserved totals are not known; the text is its path."""


def read(path: Path) -> dict[BudgetPeriod, int]:
    """Return all rows; none if there is no file.

    CorruptBudgetFileError if any part of the file is damaged; OSError if it can't be read.
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
    """Replace the file and sync it. OSError if that fails: the file may be the old or the new one then."""
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
    """Make a renaming in this directory durable."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
