"""Starts a whole fleet of real processes behind the fabric, does to it what a script says, and records what was done
and what each member's log says that it believed.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec
import yaml

from myrtlespar.fakes.server_process import ROOT, settings
from myrtlespar.fakes.tcp_server import WAIT_S, until
from myrtlespar.fakes.upstreams import FakeDependency, FakeEngine, FakeRegistry
from myrtlespar.fault_proxy.faults import FaultRule
from myrtlespar.fault_proxy.relay import bind_host, relay_host, service_host
from myrtlespar.fleet_tests.ground_truth import FaultAction
from myrtlespar.fleet_tests.invariants import Observation
from myrtlespar.fleet_tests.script import Script
from myrtlespar.membership.messages import MemberState
from myrtlespar.membership.quorum import FLEET, QuorumStatus

STOP_MS = 2500
JOINING = "fleet: joining"


class FaultProxyProcess:
    """The relay's process, and its control."""

    def __init__(self, members: Sequence[str], seed: int, services: dict[str, int]) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "myrtlespar.fault_proxy.relay"],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._lock = threading.Lock()
        self.port = int(self.ask(members=list(members), seed=seed, services=services)["port"])

    def ask(self, **row: Any) -> dict[str, Any]:
        """One control line and its answer; the change is in force when it returns."""
        with self._lock:
            assert self.process.stdin is not None
            assert self.process.stdout is not None
            self.process.stdin.write(json.dumps(row) + "\n")
            self.process.stdin.flush()
            answer: dict[str, Any] = json.loads(self.process.stdout.readline())
            return answer

    def on(self, number: int, rule: FaultRule) -> None:
        """A rule comes into force."""
        row = {key: getattr(rule, key) for key in rule.__slots__}
        self.ask(on=number, rule={**row, "first": sorted(rule.first), "second": sorted(rule.second)})

    def off(self, number: int) -> None:
        """It ends."""
        self.ask(off=number)

    def close(self) -> None:
        """End the process."""
        self.process.kill()
        self.process.wait(WAIT_S)


class EtcdProcess:
    """The engine's stand-in, a process of its own."""

    def __init__(self) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "myrtlespar.fakes.etcd"],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self.process.stdout is not None
        self.port = int(json.loads(self.process.stdout.readline())["port"])

    def close(self) -> None:
        """End the process."""
        self.process.kill()
        self.process.wait(WAIT_S)


class MemberProcess:
    """One member over all its processes."""

    def __init__(self, name: str, n: int, folder: Path) -> None:
        self.name, self.number, self.folder = name, n, folder
        self.engine = FakeEngine()
        self.engines = [self.engine]
        self.process: subprocess.Popen[str] | None = None
        self.successor: subprocess.Popen[str] | None = None  # the second process of a replacement
        self.log: list[dict[str, Any]] = []
        self.is_paused = False
        self.exit_codes: list[int] = []  # of processes that ended by themselves
        self.uses_second_admin_address = False  # whether the process that counts as the member has the second management address
        folder.mkdir(parents=True, exist_ok=True)

    @property
    def is_running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.poll() is None

    def count_events(self, event: str) -> int:
        """Lines of this kind so far."""
        return sum(row["event"] == event for row in self.log)

    def last_event(self, event: str) -> dict[str, Any] | None:
        """The newest line of this kind."""
        return next((row for row in reversed(self.log) if row["event"] == event), None)


class FleetRun:
    """A fleet, from its start to its end. Times of deeds and beliefs are Unix milliseconds."""

    def __init__(
        self,
        script: Script,
        seed: int,
        folder: Path,
        membership: dict[str, Any] | None = None,
        env: dict[str, str] | None = None,
        pin: bool = False,
        own: dict[str, dict[str, Any]] | None = None,
        grants: dict[str, Any] | None = None,
    ) -> None:
        self.script, self.seed, self.folder, self.membership = script, seed, folder, membership or {}
        self.grants = grants or {}
        self.env, self.pin, self.own = env or {}, pin, own or {}
        self.dependency, self.registry = FakeDependency(), FakeRegistry()
        self.members = {name: MemberProcess(name, n + 1, folder / name) for n, name in enumerate(script.members)}
        self.actions: list[FaultAction] = []
        self.observations: list[Observation] = []
        self._lock = threading.Lock()
        self.unplayed: list[str] = []  # what could not be played as the script says
        self.replaced = 0
        self._lost: dict[int, list[str]] = {}
        self.etcd = EtcdProcess() if script.engine else None
        services = {"store": self.dependency.port, "roster": self.registry.port}
        self.fault_proxy = FaultProxyProcess(
            script.members, seed, services | ({"engine": self.etcd.port} if self.etcd else {})
        )
        self.port = self.fault_proxy.port
        for member in self.members.values():
            self.fault_proxy.ask(target=["kernel", member.name, member.engine.port])
            self._configure(member)

    # Where things are.

    def client_address(self, name: str) -> tuple[str, int]:
        """Where client proxies reach a member."""
        return bind_host(self.members[name].number), self.port + 1

    def admin_address(self, name: str) -> tuple[str, int]:
        """Where operators reach a member's serving process; the second of a replacement has an address of its own."""
        return bind_host(self.members[name].number), self.port + 2 + self.members[name].uses_second_admin_address

    def _configure(self, member: MemberProcess) -> None:
        n, port = member.number, self.port
        config = {
            "name": member.name,
            "listen": f"{bind_host(n)}:{port + 1}",
            **{service: f"{service_host(n, service)}:{port}" for service in ("store", "roster", "kernel")},
            "seed": f"{(self.seed * 1000 + n) % 2**64:x}",
            "stop_ms": STOP_MS,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings(),
        }
        (member.folder / "config.json").write_text(json.dumps(config))
        seeds = dict.fromkeys(row[0] for row in self.script.sites.values())
        fleet = {
            "fleet": "rehearsal",
            "site": self.script.site_of(member.name),
            "bind": f"{bind_host(n)}:{port}",
            "advertise": f"{relay_host(n)}:{port}",
            "seeds": [f"{relay_host(self.members[seed].number)}:{port}" for seed in seeds],
            "electorate": {"version": 1, "sites": {site: list(row) for site, row in self.script.sites.items()}},
            "state": str(member.folder),
            "limits": {name: msgspec.to_builtins(limit) for name, limit in self.script.limits.items()},
            **({"engine": {"address": f"{service_host(n, 'engine')}:{port}"}} if self.etcd else {}),
            "grants": self.grants,
            "membership": self.membership,
            **self.own.get(member.name, {}),
        }
        (member.folder / "fleet.yaml").write_text(yaml.safe_dump(fleet))

    # Processes.

    def spawn(self, member: MemberProcess, beside: bool = False) -> subprocess.Popen[str]:
        """Start a process of it: the only one, or `beside` the one that serves, with the other management address."""
        mgmt = f"{bind_host(member.number)}:{self.port + 2 + (member.uses_second_admin_address != beside)}"
        if not beside:
            member.uses_second_admin_address = False
        env = {
            **os.environ,
            **self.env,
            "BALANCER_CONFIG": str(member.folder / "config.json"),
            "BALANCER_MGMT": mgmt,
            "MYRTLESPAR_FLEET": str(member.folder / "fleet.yaml"),
            "TMPDIR": str(member.folder),
        }
        process = subprocess.Popen(
            [sys.executable, "-m", "myrtlespar"],
            cwd=ROOT,
            env=env,
            text=True,
            stdout=subprocess.PIPE,
            stderr=(member.folder / "stderr.txt").open("a"),
        )
        if self.pin:  # three members share a core
            cores = sorted(os.sched_getaffinity(0))
            os.sched_setaffinity(process.pid, {cores[(member.number - 1) // 3 % len(cores)]})
        threading.Thread(target=self._read, args=(member, process), daemon=True).start()
        return process

    def _read(self, member: MemberProcess, process: subprocess.Popen[str]) -> None:
        assert process.stdout is not None
        with (member.folder / "log.txt").open("a") as keep:
            for line in process.stdout:
                keep.write(line)
                with contextlib.suppress(ValueError):
                    row = json.loads(line)
                    member.log.append(row)
                    self._hear(member, row)

    def _hear(self, member: MemberProcess, row: dict[str, Any]) -> None:
        event, name = row["event"], member.name
        if event == JOINING:
            belief = Observation(row["at"], name, "begin")
        elif event == "fleet member":
            state = None if row["new"] is None else MemberState[row["new"].upper()]
            belief = Observation(row["at"], name, "member", row["member"], state, row["life"][0])
        elif event == "fleet standing":
            scope = row["scope"]
            belief = Observation(row["at"], name, "standing", scope or FLEET, QuorumStatus[row["new"].upper()])
        else:
            return
        with self._lock:
            self.observations.append(belief)

    def record(self, kind: str, name: str = "", number: int = 0, rule: FaultRule | None = None, at: float = 0.0) -> None:
        """Record what was done just now, or at that Unix time in ms."""
        with self._lock:
            self.actions.append(FaultAction(at or time.time() * 1000, kind, name, number, rule))

    def start(self) -> None:
        """Start all, and wait until each sees all others. Raises where that takes too long."""
        for member in self.members.values():
            member.process = self.spawn(member)
        for member in self.members.values():
            until(lambda: member.last_event("serving") or not member.is_running, "start")  # noqa: B023
            if not member.is_running:
                raise RuntimeError(f"{member.name} ended: {self._tail(member)}")
            row = member.last_event(JOINING)  # not when we look: on a busy machine others see it long before
            self.record("up", member.name, at=row["at"] if row else 0.0)
        until(self.is_complete, "whole views")

    def is_complete(self) -> bool:
        """Whether each member's standing is whole."""
        return all((row := self.standing(name)) is not None and row == "whole" for name in self.members)

    def standing(self, name: str) -> str | None:
        """The last fleet standing in its log."""
        return next(
            (
                row["new"]
                for row in reversed(self.members[name].log)
                if row["event"] == "fleet standing" and not row["scope"]
            ),
            None,
        )

    def restart(self, member: MemberProcess) -> None:
        """Start a process of it and record when it serves."""
        lines = member.count_events(JOINING)
        member.process, member.is_paused = self.spawn(member), False
        threading.Thread(target=self._await, args=(member, member.process, lines), daemon=True).start()

    def _await(self, member: MemberProcess, process: subprocess.Popen[str], lines: int) -> None:
        """A new process is up, as the fleet sees it, from its joining on."""
        end = time.monotonic() + WAIT_S
        while time.monotonic() < end and process.poll() is None and process is member.process:
            if member.count_events(JOINING) > lines:
                row = member.last_event(JOINING)
                self.record("up", member.name, at=row["at"] if row else 0.0)
                return
            time.sleep(0.005)

    def _tail(self, member: MemberProcess) -> str:
        """The end of what its processes wrote to their standard error."""
        return (member.folder / "stderr.txt").read_text().strip()[-300:]

    def kill(self, member: MemberProcess) -> None:
        """SIGKILL, to both processes where it is being replaced."""
        running = [
            process for process in (member.successor, member.process) if process is not None and process.poll() is None
        ]
        for process in running:
            process.kill()
        if running:
            self.record("down", member.name)
        for process in running:
            process.wait(WAIT_S)
        member.successor = None

    def signal(self, member: MemberProcess, number: signal.Signals, kind: str) -> None:
        """A signal, recorded. What gives something back counts from before it, as it is believed at once."""
        if member.process is not None and member.is_running:
            at = time.time() * 1000 if kind == "resume" else 0.0
            member.process.send_signal(number)
            member.is_paused = kind == "pause" or (member.is_paused and kind != "resume")
            self.record(kind, member.name, at=at)

    def change_limits(self, names: Sequence[str], version: int, numbers: dict[str, dict[str, Any]]) -> None:
        """Change numbers of limits in these members' files, and tell their processes to read them (SIGHUP)."""
        for name in names:
            member = self.members[name]
            path = member.folder / "fleet.yaml"
            rows = yaml.safe_load(path.read_text())
            rows["limits_version"] = version
            for limit, keys in numbers.items():
                rows["limits"][limit].update(keys)
            path.write_text(yaml.safe_dump(rows))
            if member.process is not None and member.is_running:
                member.process.send_signal(signal.SIGHUP)

    def replace(self, member: MemberProcess) -> None:
        """A second process beside it, then SIGTERM to the first once the second serves."""
        old, lines = member.process, member.count_events("serving")
        new = member.successor = self.spawn(member, beside=True)
        threading.Thread(target=self._swap, args=(member, old, new, lines), daemon=True).start()

    def _swap(
        self, member: MemberProcess, old: subprocess.Popen[str] | None, new: subprocess.Popen[str], lines: int
    ) -> None:
        end = time.monotonic() + WAIT_S
        while time.monotonic() < end and new.poll() is None:
            if member.count_events("serving") > lines:
                break
            time.sleep(0.01)
        if new.poll() is not None:
            if member.successor is new:  # nobody killed it
                self.unplayed.append(f"replace: {member.name}'s second process ended: {self._tail(member)}")
            return
        if old is None or old.poll() is not None:
            self.unplayed.append(f"replace: {member.name}'s first process was gone before the second served")
        else:
            joined = member.count_events(JOINING)
            old.terminate()
            self.record("down", member.name)  # its link goes; the new one's comes at once
            member.process, member.successor, member.uses_second_admin_address = new, None, not member.uses_second_admin_address
            self._await(member, new, joined)
            with contextlib.suppress(subprocess.TimeoutExpired):
                member.exit_codes.append(old.wait(WAIT_S))
                self.replaced += 1

    def lose_members(self, names: Sequence[str], number: int) -> None:
        """Members and their kernels are gone."""
        self._lost[number] = [name for name in names if self.members[name].is_running]
        for name in self._lost[number]:
            self.kill(self.members[name])
            self.members[name].engine.down()

    def return_members(self, number: int) -> None:
        """Those that were lost return cold."""
        for name in self._lost.get(number, []):
            member = self.members[name]
            if not member.is_running:
                member.engine = FakeEngine()
                member.engines.append(member.engine)
                self.fault_proxy.ask(target=["kernel", name, member.engine.port])
                self.restart(member)

    def ask(self, name: str, word: bytes, timeout_s: float = 3.0) -> str:
        """One line to a member's management address, its whole answer; '' if it gives none."""
        data = b""
        with contextlib.suppress(OSError), socket.create_connection(self.admin_address(name), timeout=timeout_s) as sock:
            sock.settimeout(timeout_s)
            sock.sendall(word + b"\n")
            while chunk := sock.recv(65536):
                data += chunk
        return data.decode()

    def view(self, name: str) -> dict[str, Any] | None:
        """What MEMBERS tells, None if nothing."""
        lines = self.ask(name, b"MEMBERS").split("\n")
        return json.loads(lines[1]) if len(lines) > 2 and lines[0] == "done" else None

    def limits(self, name: str) -> dict[str, Any]:
        """What LIMITS tells, {} if nothing."""
        lines = self.ask(name, b"LIMITS").split("\n")
        found: dict[str, Any] = json.loads(lines[1]) if len(lines) > 2 and lines[0] == "done" else {}
        return found

    def close(self) -> None:
        """End everything."""
        for member in self.members.values():
            for process in (member.process, member.successor):
                if process is not None and process.poll() is None:
                    process.kill()
                    process.wait(WAIT_S)
            for kernel in member.engines:
                kernel.down()
        self.fault_proxy.close()
        if self.etcd is not None:
            self.etcd.close()
        self.dependency.down()
        self.registry.down()
