"""Writes a hand-over file in pieces."""

from __future__ import annotations

import contextlib
import os
from collections.abc import Iterable
from pathlib import Path

from myrtlespar.handover.keys_file import KeyOutcome, KeysFileEncoder


class KeysFileWriter:
    """A hand-over file that is being written under a temporary name, so that the keys file is complete or absent.

    Every method except `discard` may raise OSError; the file must be discarded then.
    """

    def __init__(self, path: Path) -> None:
        """Create the temporary file for the keys file `path`."""
        self._path = path
        self._temporary_path = path.with_name(f"{path.name}.part{os.getpid()}")
        self._encoder = KeysFileEncoder()
        self._file = self._temporary_path.open("wb")
        self._file.write(self._encoder.encode_header())  # of the same length as the final one

    def append(self, outcomes: Iterable[KeyOutcome]) -> None:
        """Write further entries."""
        self._file.write(self._encoder.encode_rows(outcomes))

    def publish(self) -> None:
        """Complete the file and give it its name, under which a replacement reads it."""
        self._file.seek(0)
        self._file.write(self._encoder.encode_header())
        self._file.close()
        self._temporary_path.replace(self._path)

    def discard(self) -> None:
        """Close and remove the temporary file, if it is still there."""
        with contextlib.suppress(OSError):
            self._file.close()
        with contextlib.suppress(OSError):
            self._temporary_path.unlink()
