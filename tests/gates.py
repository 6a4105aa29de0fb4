"""Stops the real program at a call of one of its functions until the test lets it continue.

Tests use this to force a particular order of events instead of waiting for it to occur by chance.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

from myrtlespar.fakes import ServerProcess, until

START_SCRIPT = """import importlib, json, os, runpy, sys
sys.path.insert(0, os.getcwd())
module, _, name = {where!r}.partition(":")
owner, _, name = name.rpartition(".")
owner = getattr(importlib.import_module(module), owner)
old = getattr(owner, name)
def stopping(*args):
    if {when}:
        setattr(owner, name, old)
        print(json.dumps({{"event": "at the gate"}}), flush=True)
        with open({pipe!r}) as gate:
            gate.read()
        {then}
    return old(*args)
setattr(owner, name, stopping)
{first}
sys.argv[:] = ["myrtlespar"]
runpy.run_module("myrtlespar", run_name="__main__")
"""


class Gate:
    """A call at which the program stops, the first time, until the test opens the gate.

    Args:
        tmp: A folder for the start script and the pipe that the program waits at.
        where: The method, as `MODULE:CLASS.METHOD`.
        when: An expression over the call's `args` that is true for the call to stop at.
        first: Statements to run before the program starts.
        then: A statement to run before the call when the gate has been opened.

    Attributes:
        start: The path of the start script.
    """

    def __init__(self, tmp: Path, where: str, when: str = "True", first: str = "pass", then: str = "pass") -> None:
        self._pipe = str(tmp / "go")
        self.start = str(tmp / "gated.py")
        os.mkfifo(self._pipe)
        script = START_SCRIPT.format(where=where, when=when, pipe=self._pipe, first=first, then=then)
        Path(self.start).write_text(script)

    def wait_until_reached(self, server: ServerProcess) -> None:
        """Wait until the program is stopped at the gate, with all of its greenlets."""
        until(lambda: server.event("at the gate"))

    def open(self) -> None:
        """Let the program continue."""

        def opened() -> bool:
            with contextlib.suppress(OSError):  # the program has not opened the pipe yet
                os.close(os.open(self._pipe, os.O_WRONLY | os.O_NONBLOCK))
                return True
            return False

        until(opened)
