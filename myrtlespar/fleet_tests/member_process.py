"""One member of a fleet under test: its processes, its log and its fake engines."""

from __future__ import annotations

import subprocess
from pathlib import Path
from typing import Any

from myrtlespar.fakes.upstreams import FakeEngine

STDERR_SHOWN = 300  # characters of standard error in error messages


class MemberProcess:
    """A member with all its successive processes. `number` (from 1) sets its addresses, `folder` holds its files."""

    def __init__(self, name: str, number: int, folder: Path) -> None:
        self.name = name
        self.number = number
        self.folder = folder
        self.engine = FakeEngine()
        self.engines = [self.engine]  # the present engine, and those that were lost with a site
        self.process: subprocess.Popen[str] | None = None
        self.successor: subprocess.Popen[str] | None = None  # the second process of a replacement
        self.uses_second_admin_address = False  # a replacement and its predecessor use different addresses
        self.is_paused = False
        self.log: list[dict[str, Any]] = []
        self.exit_codes: list[int] = []  # exit codes of replaced processes
        folder.mkdir(parents=True, exist_ok=True)

    @property
    def is_running(self) -> bool:
        """Whether the serving process of the member runs."""
        return self.process is not None and self.process.poll() is None

    @property
    def running_processes(self) -> list[subprocess.Popen[str]]:
        """The processes of the member that have not ended; two during a replacement."""
        processes = (self.successor, self.process)
        return [process for process in processes if process is not None and process.poll() is None]

    def count_events(self, event: str) -> int:
        """Return the number of lines with this event in its log so far."""
        return sum(row["event"] == event for row in self.log)

    def last_event(self, event: str) -> dict[str, Any] | None:
        """Return the newest line with this event in its log, if any."""
        return next((row for row in reversed(self.log) if row["event"] == event), None)

    def runs(self) -> list[tuple[bytes, float, float]]:
        """Return the runs of all its engines: body, start and end in Unix ms; infinite end: still in progress."""
        return [
            (body, begin, float("inf") if end is None else end)
            for engine in self.engines
            for body, begin, end in list(engine.runs)
        ]

    def replace_engine(self) -> None:
        """Start a new fake engine; the previous ones stay in `engines` for the checks."""
        self.engine = FakeEngine()
        self.engines.append(self.engine)

    def stderr_tail(self) -> str:
        """Return the last STDERR_SHOWN characters of the standard error of its processes."""
        return (self.folder / "stderr.txt").read_text().strip()[-STDERR_SHOWN:]
