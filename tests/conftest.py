"""Fixtures that several test files share: the running program, a scripted engine, and folders for a hand-over."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

from myrtlespar.fakes import ServerProcess, server_process


@pytest.fixture
def server(tmp_path: Path) -> Iterator[ServerProcess]:
    """The running program with stand-ins for its neighbours. A file that needs other settings overrides it."""
    with server_process(tmp_path) as running:
        yield running


@dataclass(frozen=True)
class HandoverFolders:
    """Folders of two processes on one client address: what they share ($TMPDIR), and what each has for itself."""

    shared: Path
    old: Path
    new: Path


@pytest.fixture
def handover_folders(tmp_path: Path) -> HandoverFolders:
    """Empty folders for a hand-over from an old process to a new one."""
    folders = HandoverFolders(tmp_path / "shared", tmp_path / "old", tmp_path / "new")
    for folder in (folders.shared, folders.old, folders.new):
        folder.mkdir()
    return folders
