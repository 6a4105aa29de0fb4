"""Runs one case: starts the program with the command of the deploy file, keeps the record, and sets the exit status."""

from __future__ import annotations

import contextlib
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from myrtlespar.fakes.server_process import ServerProcess
from myrtlespar.fakes.tcp_server import until
from myrtlespar.fakes.upstreams import FakeEngine

ROOT = Path(__file__).resolve().parent.parent.parent
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
VERDICTS = {EXIT_HELD: "the rule held", EXIT_BROKEN: "the rule was broken", EXIT_NOT_RUN: "the case could not run"}
TIME_LIMIT_S = 110.0
PORTS = range(20000, 30000)
PORT_TRIES = 100


class CaseNotRunError(Exception):
    """The case could not be played as intended, so it says nothing about the rule."""


class Case:
    """One play of a case.

    Attributes:
        folder: A temporary folder for the files of the program.
        trouble: Whether the disruption is played.
    """

    def __init__(self, record: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._record = record.open("w")
        self._lock = threading.Lock()
        self._began_at = time.time()
        self._servers: list[tuple[str, ServerProcess]] = []
        self._faults = 0

    def note(self, text: str) -> None:
        """Write one line to the record, with the seconds since the start."""
        with self._lock:
            if not self._record.closed:
                self._record.write(f"{time.time() - self._began_at:8.3f}  {text}\n")
                self._record.flush()

    def broken(self, text: str) -> None:
        """Record that the rule was broken."""
        self._faults += 1
        self.note(f"RULE BROKEN: {text}")

    def start_server(
        self,
        name: str,
        *,
        given: Mapping[str, Any],
        listen: str,
        shared: Path | None = None,
        mgmt: bool = False,
        engine: FakeEngine | None = None,
        operator: str = "",
    ) -> ServerProcess:
        """Start the program with the key `run` of the deploy file, with stand-ins of its upstreams.

        Args:
            name: Names the process in the record.
            given: Keys of the platform's file to add or replace.
            listen: The address for clients.
            shared: The $TMPDIR; by default a folder of its own.
            mgmt: Give it a management address.
            engine: The stand-in of the kernel; by default a new one.
            operator: The content of the operators' file; empty: there is none.
        """
        folder = self.folder / name
        folder.mkdir()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        server = ServerProcess(
            folder,
            mgmt=mgmt,
            shared=shared,
            listen=listen,
            given=given,
            engine=engine,
            operator=operator,
            command=("/bin/sh", "-c", command),
            wait=False,
        )
        self._servers.append((name, server))  # before any wait, so that `close` ends it in any case
        self.note(f"{name}: started, process {server.process.pid}, clients connect to {listen}")
        server.mgmt = until(lambda: server.event("serving"), "the event serving").get("mgmt")
        until(lambda: server.event("kernel up") and server.engine.has_answered_mark(), "the link to the kernel")
        return server

    def stop_as_the_platform(self, name: str, server: ServerProcess, kill_after_s: float) -> int:
        """Send SIGTERM, and SIGKILL after this time if the process still runs. Returns its exit status."""
        server.process.send_signal(signal.SIGTERM)
        end = time.monotonic() + kill_after_s
        self.note(f"{name}: SIGTERM; SIGKILL follows after {kill_after_s} s")
        while server.process.poll() is None and time.monotonic() < end:
            time.sleep(0.002)
        if server.process.poll() is None:
            server.process.kill()
            self.note(f"{name}: SIGKILL")
        status = server.process.wait(10)
        self.note(f"{name}: ended with status {status}")
        return status

    def close(self) -> None:
        """End all processes, add runs and logs to the record, and remove the temporary folder."""
        for _, server in self._servers:
            server.close()
        for name, server in self._servers:
            for body, began_at, ended_at in server.engine.runs:
                ended = "not ended" if ended_at is None else f"until {ended_at / 1000 - self._began_at:.3f}"
                self.note(f"{name}: its kernel ran {body!r} from {began_at / 1000 - self._began_at:.3f}, {ended}")
            for row in server.log:
                if row["event"] != "engine rejected a command":  # one line for each request of a bad client
                    self.note(f"{name}: log: {row}")
        self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    @property
    def status(self) -> int:
        """The exit status of the case."""
        return EXIT_BROKEN if self._faults else EXIT_HELD


def free_address() -> str:
    """Return a loopback address with a port that is free now, below those that the system gives to connections."""
    for port in random.sample(PORTS, PORT_TRIES):
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return f"127.0.0.1:{port}"
    raise CaseNotRunError("no free port")


def port_of(address: str) -> int:
    """Return the port of an address."""
    return int(address.rpartition(":")[2])


def run_case(folder: Path, play: Callable[[Case], None]) -> None:
    """Play a case and exit with 1 if its rule was broken, 0 if it held, 2 if the case could not run."""
    case = Case(folder / "record.txt")
    case.note(f"TROUBLE={int(case.trouble)}")
    end = threading.Event()

    def give_up() -> None:
        if not end.wait(TIME_LIMIT_S):
            case.note(f"not over after {TIME_LIMIT_S:.0f} s")
            case.close()
            os._exit(EXIT_NOT_RUN)

    threading.Thread(target=give_up, daemon=True).start()
    status = EXIT_NOT_RUN
    try:
        play(case)
        status = case.status
    except (CaseNotRunError, AssertionError, OSError, subprocess.SubprocessError):
        case.note(traceback.format_exc())
    end.set()
    case.note(VERDICTS[status])
    case.close()
    print(VERDICTS[status])
    sys.stdout.flush()
    os._exit(status)  # threads of the stand-ins may still wait for a connection
