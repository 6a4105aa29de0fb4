"""Starts the program with the command of the deploy file, and records what was sent, answered and run."""

from __future__ import annotations

import contextlib
import json
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
from collections.abc import Callable, Mapping
from pathlib import Path
from types import TracebackType
from typing import Any

from myrtlespar.fakes.tcp_server import FakeServer
from myrtlespar.fakes.upstreams import FakeDependency, FakeEngine, FakeRegistry

ROOT = Path(__file__).parents[2]
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
TIME_LIMIT_S = 110.0
READY_TIMEOUT_S = 30.0  # the pages give a server 30 s to be ready
POLL_S = 0.02
PORTS = (15000, 32000)
PORT_ATTEMPTS = 100
LONGEST_DEADLINE_S = 3.0  # in an upgrade a longer deadline counts as this
UPGRADE_MARGIN_S = 0.7


def trouble() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_address() -> str:
    """Return a loopback address that nobody uses, with a port that the system gives to no outgoing connection."""
    for _ in range(PORT_ATTEMPTS):
        port = random.SystemRandom().randrange(*PORTS)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return f"127.0.0.1:{port}"
    raise CannotRunError("no free port")


def port_of(address: str) -> int:
    """Return the port of an address."""
    return int(address.rpartition(":")[2])


class CannotRunError(Exception):
    """The case could not be played, so it has no verdict."""


def wait_for(ready: Callable[[], Any], what: str, timeout_s: float = READY_TIMEOUT_S) -> Any:
    """Poll until `ready` returns a true value, and return it."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if value := ready():
            return value
        time.sleep(POLL_S)
    raise CannotRunError(f"timed out waiting for {what}")


class Record:
    """The file `record.txt` of a case; its lines begin with the time since the start in seconds."""

    def __init__(self, folder: Path) -> None:
        self.began_at = time.time()
        self._lock = threading.Lock()
        self._file = (folder / "record.txt").open("w")

    def add(self, text: str, at: float | None = None) -> None:
        """Write a line; `at` is the Unix time in seconds, now if it is left out."""
        with self._lock:
            self._file.write(f"{(at or time.time()) - self.began_at:8.3f} {text}\n")
            self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def class_row(name: str, effect: str, aim_ms: float, give_up_ms: float, worth: float, **more: float) -> dict[str, Any]:
    """Return one class of the settings."""
    return {"name": name, "effect": effect, "aim_ms": aim_ms, "give_up_ms": give_up_ms, "worth": worth, **more}


def athlone_settings(order_effect: str = "single_shot", **family: Any) -> dict[str, Any]:
    """Return the settings of a small server of tiles-athlone; `family` replaces keys of `family_info`."""
    return {
        "servers": 2,
        "classes": [
            class_row("render", "free", 2400.0, 6100.0, 1.0),
            class_row("fetch", "free", 1100.0, 2700.0, 2.0),
            class_row("order", order_effect, 1700.0, 4400.0, 3.0, window_ms=5000.0),
        ],
        "clients": {"marks_retry": True},
        "family_info": {
            "cores": 6,
            "memory_kb": 81726.0,
            "blowup": 16.0,
            "key_kb": 101.6,
            "calls_by_class": [True, True, True],
            "calls_out": 6.0,
            "calls_over_ms": 5000.0,
            "linger_ms": 200.0,
            "below": "one_for_all",
            "signal": "weight",
            "tells_gone": True,
            "senders": 3,
            "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
            **family,
        },
        "invariants": {
            "answer_slack_ms": 100.0,
            "cold_from": 0.25,
            "drain_grace_ms": 2500.0,
            "fall_ms": 1500.0,
            "fall_multiple": 8.0,
            "warm_up_ms": 15000.0,
        },
        "permissions": {"max_retry_after_ms": 1000.0, "retry_after": True},
        "round_ms": 4.0,
    }


class Site:
    """The processes and stand-ins of one case. Leaving it ends all of them."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.run_command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self._stand_ins: list[FakeServer] = []
        self._processes: list[subprocess.Popen[bytes]] = []

    def __enter__(self) -> Site:
        """Return the site."""
        return self

    def __exit__(self, kind: type[BaseException] | None, error: BaseException | None, at: TracebackType | None) -> None:
        """End all processes and stand-ins, and remove the folder."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(5)
        for stand_in in self._stand_ins:
            stand_in.down()
        shutil.rmtree(self.folder, ignore_errors=True)

    def add(self, stand_in: Any) -> Any:
        """Return a stand-in, which ends with the site."""
        self._stand_ins.append(stand_in)
        return stand_in

    def server(self, name: str, settings: Mapping[str, Any], **more: Any) -> Server:
        """Return a tile server that is not started yet; see `Server`."""
        return Server(self, name, settings, **more)

    def launch(self, label: str, environment: Mapping[str, str]) -> subprocess.Popen[bytes]:
        """Start the program as the platform does."""
        with (self.folder / f"{label}.log").open("wb") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", self.run_command],
                cwd=ROOT,
                env={**os.environ, **environment},
                stdout=log,
                stderr=log,
            )
        self._processes.append(process)
        return process

    def log(self, label: str) -> str:
        """Return the log of a process."""
        return (self.folder / f"{label}.log").read_text(errors="replace")


class Server:
    """One tile server with its upstreams: one process, or two while it is replaced.

    Attributes:
        engines: The kernel of each process, in the order of their start.
        process: The process that was started last.
        listen: The address for client proxies.
    """

    def __init__(
        self,
        site: Site,
        name: str,
        settings: Mapping[str, Any],
        operator: str = "",
        store: Any = None,
        make_engine: Callable[[], FakeEngine] = FakeEngine,
    ) -> None:
        self.site = site
        self.name = name
        self.settings = settings
        self.operator = operator
        self.listen = free_address()
        self.store = store or site.add(FakeDependency())
        self.roster = site.add(FakeRegistry())
        self.engines: list[Any] = []
        self.process: subprocess.Popen[bytes] | None = None
        self.management = ""
        self._make_engine = make_engine
        self._shared = site.folder / f"{name}-tmp"
        self._shared.mkdir()

    def start(self) -> None:
        """Start a process, the first or a replacement, and wait until it says yes on its second address."""
        number = len(self.engines) + 1
        engine = self.site.add(self._make_engine())
        self.engines.append(engine)
        self.management = free_address()
        config = {
            "name": self.name,
            "listen": self.listen,
            "mgmt": self.management,
            "kernel": engine.address,
            "store": self.store.address,
            "roster": self.roster.address,
            "seed": os.urandom(8).hex(),
            "stop_ms": 3200,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": self.settings,
        }
        label = f"{self.name}-{number}"
        path = self.site.folder / f"{label}.json"
        path.write_text(json.dumps(config))
        environment = {"BALANCER_CONFIG": str(path), "BALANCER_MGMT": self.management, "TMPDIR": str(self._shared)}
        if self.operator:
            operator_path = self.site.folder / f"{label}.toml"
            operator_path.write_text(self.operator)
            environment["MYRTLESPAR_OPERATOR"] = str(operator_path)
        self.process = process = self.site.launch(label, environment)
        self.site.record.add(f"platform: started {label}, process {process.pid}")

        def says_yes() -> bool:
            if process.poll() is not None:
                raise CannotRunError(f"{label} ended: {self.site.log(label)[-2000:]}")
            return self.ask("STATUS").startswith("done")

        wait_for(says_yes, f"{label} to say yes")
        self.site.record.add(f"platform: {label} says yes")

    def ask(self, line: str) -> str:
        """Send one line to the second address, and return the answer; empty if there is none."""
        try:
            with socket.create_connection(("127.0.0.1", port_of(self.management)), 2) as sock:
                sock.sendall(line.encode() + b"\n")
                return sock.recv(65536).decode()
        except OSError:
            return ""

    def begin_replacement(self) -> Callable[[], None]:
        """Start a second process beside the running one; returns what then sends SIGTERM to the old process.

        SIGKILL follows after the time that the pages give for an upgrade.
        """
        old = self.process
        assert old is not None
        self.start()

        def terminate() -> None:
            self.site.record.add(f"platform: SIGTERM to the old process {old.pid}")
            old.send_signal(signal.SIGTERM)
            longest_s = max(row["give_up_ms"] for row in self.settings["classes"]) / 1000.0
            timer = threading.Timer(min(longest_s, LONGEST_DEADLINE_S) + UPGRADE_MARGIN_S, self._kill, (old,))
            timer.daemon = True
            timer.start()

        return terminate

    def _kill(self, process: subprocess.Popen[bytes]) -> None:
        if process.poll() is None:
            self.site.record.add(f"platform: SIGKILL to process {process.pid}")
            process.kill()


def play(folder: Path, case: Callable[[Site], int]) -> int:
    """Play a case and return its exit status; a case that takes too long, or can't be played, has status 2."""
    record = Record(folder)
    verdicts: list[int] = []

    def run() -> None:
        try:
            with Site(record) as site:
                verdicts.append(case(site))
        except (CannotRunError, OSError, AssertionError) as error:
            record.add(f"the case could not run: {type(error).__name__}: {error}")

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    thread.join(TIME_LIMIT_S)
    verdict = verdicts[0] if verdicts else COULD_NOT_RUN
    words = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "the case could not run"}
    record.add(f"verdict: {words[verdict]} (TROUBLE={int(trouble())})")
    record.close()
    print(words[verdict])
    return verdict


def main(file: str, case: Callable[[Site], int]) -> None:
    """Play the case whose module is `file`, and end with its status."""
    status = play(Path(file).parent, case)
    sys.stdout.flush()
    os._exit(status)  # threads of stand-ins may still wait
