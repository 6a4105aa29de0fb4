"""What an elector wrote down of budgets, in a file that outlives the process: `MPV1`, a CRC-32, then msgpack.

Written whole beside the old one, synced, then renamed over it, so that a crash leaves one of the two.
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
MOST = 64 << 20  # bytes
Rows = Mapping[BudgetPeriod, int]


class CorruptBudgetFileError(MyrtlesparError):
    """The file is not whole: what was promised can't be known."""


def read(path: Path) -> dict[BudgetPeriod, int]:
    """All rows; none where there is no file. Torn: it is spoilt, and is to be refused whole. OSError as it comes."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return {}
    if len(data) > MOST or data[:4] != MAGIC or zlib.crc32(data[8:]).to_bytes(4, "big") != data[4:8]:
        raise CorruptBudgetFileError(str(path))
    try:
        rows: list[tuple[str, int, int]] = msgspec.msgpack.decode(data[8:], type=list[tuple[str, int, int]])
    except msgspec.MsgspecError:
        raise CorruptBudgetFileError(str(path)) from None
    return {BudgetPeriod(key, number): total for key, number, total in rows}


def write(path: Path, rows: Rows) -> None:
    """Replace the file; when this returns it is on the disk. OSError: it is not, the old one stays."""
    body = msgspec.msgpack.encode([(key, number, total) for (key, number), total in rows.items()])
    fresh = path.with_suffix(".new")
    with fresh.open("wb") as file:
        file.write(MAGIC + zlib.crc32(body).to_bytes(4, "big") + body)
        file.flush()
        os.fsync(file.fileno())
    fresh.replace(path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
