"""The real program as a process, with fakes of its engine, dependency and registry."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from types import MappingProxyType
from typing import Any

from myrtlespar.fakes.tcp_server import WAIT_S, until
from myrtlespar.fakes.upstreams import FakeDependency, FakeEngine, FakeRegistry

ROOT = Path(__file__).parent.parent.parent
CLASSES = [  # name, effect, latency objective and client timeout in ms, priority weight
    ("render", "free", 2400.0, 6100.0, 1.0),
    ("fetch", "free", 1100.0, 2700.0, 2.0),
    ("order", "single_shot", 1700.0, 4400.0, 3.0),
]


def settings(**changes: Any) -> dict[str, Any]:
    """Return the platform's `settings` object for a small server; `changes` replace keys of its top level."""
    return {
        "classes": [
            {"name": name, "effect": effect, "aim_ms": aim, "give_up_ms": due, "worth": priority_weight}
            for name, effect, aim, due, priority_weight in CLASSES
        ],
        "family_info": {
            "cores": 2,
            "memory_kb": 200000.0,
            "blowup": 16.0,
            "calls_by_class": [True] * 3,
            "calls_out": 6.0,
            "calls_over_ms": 5000.0,
            "below": "one_for_all",
            "signal": "weight",
            "tells_gone": True,
            "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
        },
        "invariants": {"fall_multiple": 8.0, "fall_ms": 1500.0, "answer_slack_ms": 100.0, "drain_grace_ms": 1000.0},
        "permissions": {"max_retry_after_ms": 1000.0, "retry_after": True},
        **changes,
    }


class ServerProcess:
    """A process of the program, with fakes of its engine, dependency and registry.

    Attributes:
        engine: The fake engine.
        dependency: The fake dependency.
        registry: The fake registry.
        config: The content of the platform's configuration file.
        ports: The ports that the program listens on, once it serves.
        mgmt: The port of the management address, if there is one.
        log: The log lines of the program, parsed.
    """

    def __init__(
        self,
        tmp: Path,
        operator: str = "",
        late_engine: bool = False,
        sockets: int = 1024,
        engine: FakeEngine | None = None,
        program: Sequence[str] = ("myrtlespar",),
        root: Path = ROOT,
        mgmt: bool = False,
        listen: str = "127.0.0.1:0",
        shared: Path | None = None,
        given: Mapping[str, Any] = MappingProxyType({}),
        wait: bool = True,
        start: str = "",
        output: int = subprocess.PIPE,
        command: Sequence[str] = (),
        env: Mapping[str, str] = MappingProxyType({}),
    ) -> None:
        """Start the program.

        Args:
            tmp: The folder of the program's files, and its $TMPDIR unless `shared` is given.
            operator: The content of the operators' file; empty: there is none.
            late_engine: The fake engine greets connections only after `engine.up` is set.
            sockets: The limit of sockets in the configuration.
            engine: The fake engine to use in place of a new FakeEngine.
            program: Module and arguments for `python -m`.
            root: The working directory, which is the checkout to run.
            mgmt: Configure a management address.
            listen: The address for clients.
            shared: The $TMPDIR of the program.
            given: Keys of the configuration to add or replace.
            wait: Wait until the program serves.
            start: The path of a Python script to run in place of `program`.
            output: A file descriptor for standard output and error; by default they are read into `log`.
            command: The whole command line, in place of `program` or `start`.
            env: Additions to the environment.
        """
        # The parameter list is long because different tests change different settings.
        self.engine = engine or FakeEngine()
        self.dependency = FakeDependency()
        self.registry = FakeRegistry()
        self.config = {**self._configuration(listen, sockets, mgmt), **given}
        self.path = tmp / "config.json"
        self.path.write_text(json.dumps(self.config))
        environment = {**os.environ, "BALANCER_CONFIG": str(tmp / "config.json"), "TMPDIR": str(shared or tmp), **env}
        if operator:
            (tmp / "operator.toml").write_text(operator)
            environment["MYRTLESPAR_OPERATOR"] = str(tmp / "operator.toml")
        if late_engine:
            self.engine.up.clear()
        self.ports: list[int] = []
        self.mgmt: int | None = None
        self._command = list(command) or [sys.executable, *([start] if start else ["-m", *program])]
        self._root = root
        self._environment = environment
        self._output = output
        self.log: list[dict[str, Any]] = []
        self.process = self._launch()
        if wait:
            serving = until(lambda: self.event("serving"), "the event serving")
            self.ports = serving["ports"]
            self.mgmt = serving.get("mgmt")
        if wait and not late_engine and engine is None:
            # The first mark follows the greeting. A test that makes the link lose data must not lose this mark.
            until(lambda: self.event("kernel up") and self.engine.has_answered_mark(), "engine link")

    def _configuration(self, listen: str, sockets: int, mgmt: bool) -> dict[str, Any]:
        """Return the content of the platform's configuration file."""
        rows: dict[str, Any] = {
            "name": "n3",
            "listen": listen,
            "kernel": self.engine.address,
            "store": self.dependency.address,
            "roster": self.registry.address,
            "seed": "8c1f30d27a5be964",
            "stop_ms": 2500,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "settings": settings(),
        }
        if mgmt:
            rows["mgmt"] = "127.0.0.1:0"
        return rows

    def _launch(self) -> subprocess.Popen[str]:
        piped = self._output == subprocess.PIPE
        process = subprocess.Popen(
            self._command,
            cwd=self._root,
            env=self._environment,
            text=True,
            stdout=self._output,
            stderr=None if piped else self._output,
        )
        if piped:
            threading.Thread(target=self._read, args=(process,), daemon=True).start()
        return process

    def kill_and_start(self) -> None:
        """Kill the program (SIGKILL) and start it again at once with the same configuration."""
        self.process.kill()
        self.process.wait(WAIT_S)
        self.log.clear()
        self.process = self._launch()

    def _read(self, process: subprocess.Popen[str]) -> None:
        assert process.stdout
        for line in process.stdout:
            self.log.append(json.loads(line))

    def event(self, name: str) -> dict[str, Any] | None:
        """Return the latest log line with this event, if any."""
        return next((row for row in reversed(self.log) if row["event"] == name), None)

    def move_fakes(self) -> None:
        """Move the fakes to new addresses and reload (SIGHUP). Open connections stay open for a while."""
        for name, fake in (("kernel", self.engine), ("store", self.dependency), ("roster", self.registry)):
            fake.relisten()
            self.config[name] = fake.address
        self.path.write_text(json.dumps(self.config))
        self.process.send_signal(signal.SIGHUP)

    def counters(self) -> dict[str, int]:
        """Request the counters (SIGUSR1), wait for their log line, and return it."""
        before = sum(row["event"] == "counters" for row in self.log)
        self.process.send_signal(signal.SIGUSR1)
        until(lambda: sum(row["event"] == "counters" for row in self.log) > before, "the event counters")
        return self.event("counters") or {}

    def ask(self, line: bytes) -> str:
        """Send one line to the management address and return the complete reply."""
        assert self.mgmt, "the process has no management address: pass mgmt=True"
        with socket.create_connection(("127.0.0.1", self.mgmt), timeout=WAIT_S) as sock:
            sock.sendall(line)
            data = b""
            while chunk := sock.recv(65536):
                data += chunk
        return data.decode()

    def stop(self) -> int:
        """Send the signal to drain (SIGTERM), wait for the end, and return the exit status."""
        self.process.terminate()
        return self.process.wait(WAIT_S)

    def stop_within(self, seconds: float) -> int:
        """Send SIGTERM, and SIGKILL after this time as the platform does.

        Returns:
            The exit status.
        """
        kill = threading.Timer(seconds, self.process.kill)
        self.process.terminate()
        kill.start()
        try:
            return self.process.wait(WAIT_S)
        finally:
            kill.cancel()

    def close(self) -> None:
        """Kill the program and close all fakes."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait(WAIT_S)
        for server in (self.engine, self.dependency, self.registry):
            server.down()


@contextlib.contextmanager
def server_process(tmp: Path, **more: Any) -> Iterator[ServerProcess]:
    """Run the program for one test. Takes the arguments of ServerProcess."""
    server = ServerProcess(tmp, **more)
    try:
        yield server
    finally:
        server.close()
