"""The helper processes of a fleet run: the fault proxy, which relays all links, and the fake etcd."""

from __future__ import annotations

import json
import subprocess
import sys
import threading
from collections.abc import Sequence
from typing import Any

from myrtlespar.fakes.server_process import ROOT
from myrtlespar.fakes.tcp_server import WAIT_S
from myrtlespar.fault_proxy.faults import FaultRule


class HelperProcess:
    """A module of the project in a process of its own, controlled over its standard input and output."""

    def __init__(self, module: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", module],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def read_json_line(self) -> dict[str, Any]:
        """Read the next line of its output, a JSON object."""
        assert self.process.stdout is not None
        row: dict[str, Any] = json.loads(self.process.stdout.readline())
        return row

    def close(self) -> None:
        """End the process."""
        self.process.kill()
        self.process.wait(WAIT_S)


class FaultProxyProcess(HelperProcess):
    """The process of the fault proxy, and its control commands."""

    def __init__(self, members: Sequence[str], seed: int, services: dict[str, int]) -> None:
        super().__init__("myrtlespar.fault_proxy.relay")
        self._lock = threading.Lock()
        self.port = int(self.ask(members=list(members), seed=seed, services=services)["port"])

    def ask(self, **row: Any) -> dict[str, Any]:
        """Send one control line and return the answer. The change is in force when this returns."""
        with self._lock:
            assert self.process.stdin is not None
            self.process.stdin.write(json.dumps(row) + "\n")
            self.process.stdin.flush()
            return self.read_json_line()

    def on(self, number: int, rule: FaultRule) -> None:
        """Activate a fault rule; `number` identifies it for `off`."""
        row = {key: getattr(rule, key) for key in rule.__slots__}
        self.ask(on=number, rule={**row, "first": sorted(rule.first), "second": sorted(rule.second)})

    def stalls(self) -> list[tuple[str, float, float]]:
        """Return the stalls of the proxy: the process or stream that was delayed, and start and end in Unix ms."""
        return [(str(what), float(begin), float(end)) for what, begin, end in self.ask(stalls=True)["stalls"]]

    def off(self, number: int) -> None:
        """Deactivate a fault rule."""
        self.ask(off=number)


class EtcdProcess(HelperProcess):
    """The process of the fake etcd, which listens on `port`."""

    def __init__(self) -> None:
        super().__init__("myrtlespar.fakes.etcd")
        self.port = int(self.read_json_line()["port"])
