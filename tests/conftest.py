"""Fixtures that several test files share."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest


class HandoverFolders(NamedTuple):
    """The folders of two processes of one server."""

    shared: Path  # the `$TMPDIR` of both
    old: Path
    new: Path


@pytest.fixture
def handover_folders(tmp_path: Path) -> HandoverFolders:
    """Empty folders for an old process and its replacement."""
    folders = HandoverFolders(tmp_path / "shared", tmp_path / "old", tmp_path / "new")
    for folder in folders:
        folder.mkdir()
    return folders
