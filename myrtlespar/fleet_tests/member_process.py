"""One member of a fleet under test: its processes, its log, and its fake engine."""

from __future__ import annotations

import subprocess
from pathlib import Path
from typing import Any

from myrtlespar.fakes.upstreams import FakeEngine

STDERR_SHOWN = 300  # characters


class MemberProcess:
    """A member over all its processes. `number` (from 1) sets its addresses, `folder` holds its files."""

    def __init__(self, name: str, number: int, folder: Path) -> None:
        self.name = name
        self.number = number
        self.folder = folder
        self.engine = FakeEngine()
        self.engines = [self.engine]  # this one, and those that were lost with a site
        self.process: subprocess.Popen[str] | None = None
        self.successor: subprocess.Popen[str] | None = None  # the second process of a replacement
        self.uses_second_admin_address = False  # a replacement and the process before it have one each
        self.is_paused = False
        self.log: list[dict[str, Any]] = []
        self.exit_codes: list[int] = []  # of processes that ended by themselves
        folder.mkdir(parents=True, exist_ok=True)

    @property
    def is_running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.poll() is None

    @property
    def running_processes(self) -> list[subprocess.Popen[str]]:
        """Those that have not ended: two while it is being replaced."""
        processes = (self.successor, self.process)
        return [process for process in processes if process is not None and process.poll() is None]

    def count_events(self, event: str) -> int:
        """Lines of this kind in its log so far."""
        return sum(row["event"] == event for row in self.log)

    def last_event(self, event: str) -> dict[str, Any] | None:
        """The newest line of this kind in its log."""
        return next((row for row in reversed(self.log) if row["event"] == event), None)

    def runs(self) -> list[tuple[bytes, float, float]]:
        """What all its engines ran: body, begin and end in Unix ms; the end is infinite while a run goes on."""
        return [
            (body, begin, float("inf") if end is None else end)
            for engine in self.engines
            for body, begin, end in list(engine.runs)
        ]

    def replace_engine(self) -> None:
        """Go on with a fresh fake engine."""
        self.engine = FakeEngine()
        self.engines.append(self.engine)

    def stderr_tail(self) -> str:
        """The end of what its processes wrote to their standard error."""
        return (self.folder / "stderr.txt").read_text().strip()[-STDERR_SHOWN:]
