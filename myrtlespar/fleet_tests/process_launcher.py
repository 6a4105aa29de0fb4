"""Starts a complete fleet of real processes behind the fault proxy, and carries out the actions of a script.

It records what was done, and what each member logged about the others. Times are Unix milliseconds.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from myrtlespar.fakes.server_process import ROOT
from myrtlespar.fakes.tcp_server import WAIT_S, until
from myrtlespar.fakes.upstreams import FakeDependency, FakeRegistry
from myrtlespar.fault_proxy.faults import FaultRule
from myrtlespar.fault_proxy.relay import bind_host
from myrtlespar.fleet_tests import admin_client, member_files
from myrtlespar.fleet_tests.ground_truth import FaultAction
from myrtlespar.fleet_tests.helper_processes import EtcdProcess, FaultProxyProcess
from myrtlespar.fleet_tests.member_process import MemberProcess
from myrtlespar.fleet_tests.network_counters import read_network_counters
from myrtlespar.fleet_tests.observations import JOINING_EVENT, QUORUM_EVENT, Observation, observation_of
from myrtlespar.fleet_tests.script_model import Script
from myrtlespar.fleet_tests.standstills import StandstillMonitor

SERVING_EVENT = "serving"
LOG_POLL_S = 0.005
MEMBERS_PER_CORE = 3  # where processes are pinned


class FleetRun:
    """A fleet, from its start to its end."""

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
        """`membership` and `grants` are tables of the fleet's file, `own` changes it for single members by name.

        `env` is added to the environment of the processes; `pin` puts MEMBERS_PER_CORE of them on each core.
        """
        self.script = script
        self.seed = seed
        self.folder = folder
        self.env = env or {}
        self.pin = pin
        self.grants = grants or {}
        self.dependency = FakeDependency()
        self.registry = FakeRegistry()
        self.members = {
            name: MemberProcess(name, index + 1, folder / name) for index, name in enumerate(script.members)
        }
        self.actions: list[FaultAction] = []
        self.observations: list[Observation] = []
        self.unplayed: list[str] = []  # steps of the script that could not be carried out, and why
        self.replaced = 0  # processes that were replaced and have ended
        self.standstill_monitor = StandstillMonitor()
        self.network_counters = read_network_counters()  # at the begin
        self._lock = threading.Lock()
        self._lost: dict[int, list[str]] = {}  # members by the number of the event that lost them
        self.etcd = EtcdProcess() if script.engine else None
        services = {"store": self.dependency.port, "roster": self.registry.port}
        if self.etcd is not None:
            services["engine"] = self.etcd.port
        self.fault_proxy = FaultProxyProcess(script.members, seed, services)
        self.port = self.fault_proxy.port
        self._write_files({"grants": self.grants, "membership": membership or {}}, own or {})

    def client_address(self, name: str) -> tuple[str, int]:
        """Where client proxies reach a member."""
        return bind_host(self.members[name].number), self.port + 1

    def admin_address(self, name: str) -> tuple[str, int]:
        """Where operators reach a member's serving process; the second of a replacement has an address of its own."""
        member = self.members[name]
        return bind_host(member.number), self.port + 2 + member.uses_second_admin_address

    def ask(self, name: str, command: bytes, timeout_s: float = 3.0) -> str:
        """Send a command to a member's management address; its complete answer, '' if it gives none."""
        return admin_client.ask(self.admin_address(name), command, timeout_s)

    def view(self, name: str) -> dict[str, Any] | None:
        """A member's answer to MEMBERS, None if there is none."""
        return admin_client.ask_row(self.admin_address(name), b"MEMBERS")

    def limits(self, name: str) -> dict[str, Any]:
        """A member's answer to LIMITS, empty if there is none."""
        return admin_client.ask_row(self.admin_address(name), b"LIMITS") or {}

    def is_complete(self) -> bool:
        """Whether each member's quorum status is `whole`."""
        return all(self.quorum_status(name) == "whole" for name in self.members)

    def quorum_status(self, name: str) -> str | None:
        """The last quorum status of the fleet in a member's log, in lower case; None if there is none."""
        rows = (row for row in reversed(self.members[name].log) if row["event"] == QUORUM_EVENT and not row["scope"])
        return next((row["new"] for row in rows), None)

    def stalls(self) -> list[tuple[str, float, float]]:
        """When the relay, or one of its streams, stood still: what, begin and end in Unix ms."""
        return self.fault_proxy.stalls()

    def start(self) -> None:
        """Start all members, and wait until each believes all others present.

        RuntimeError if a process ended, AssertionError if it took too long.
        """
        self.standstill_monitor.start()
        for member in self.members.values():
            member.process = self.spawn(member)
        for member in self.members.values():
            until(lambda: member.last_event(SERVING_EVENT) or not member.is_running, "start")  # noqa: B023
            if not member.is_running:
                raise RuntimeError(f"{member.name} ended: {member.stderr_tail()}")
            self._record_up(member)
        until(self.is_complete, "whole views")

    def spawn(self, member: MemberProcess, beside: bool = False) -> subprocess.Popen[str]:
        """Start a process of a member: the only one, or one `beside` that which serves.

        The second one has the other management address.
        """
        second_address = member.uses_second_admin_address != beside
        if not beside:
            member.uses_second_admin_address = False
        env = {
            **os.environ,
            **self.env,
            "BALANCER_CONFIG": str(member.folder / "config.json"),
            "BALANCER_MGMT": f"{bind_host(member.number)}:{self.port + 2 + second_address}",
            "MYRTLESPAR_FLEET": str(member.folder / "fleet.yaml"),
            "TMPDIR": str(member.folder),
            "MYRTLESPAR_OPERATOR": str(member.folder / member_files.OPERATOR_FILE),
        }
        process = subprocess.Popen(
            [sys.executable, "-m", "myrtlespar"],
            cwd=ROOT,
            env=env,
            text=True,
            stdout=subprocess.PIPE,
            stderr=(member.folder / "stderr.txt").open("a"),
        )
        if self.pin:
            cores = sorted(os.sched_getaffinity(0))
            os.sched_setaffinity(process.pid, {cores[(member.number - 1) // MEMBERS_PER_CORE % len(cores)]})
        threading.Thread(target=self._read_log, args=(member, process), daemon=True).start()
        return process

    def close(self) -> None:
        """End everything."""
        self.standstill_monitor.stop()
        for member in self.members.values():
            for process in member.running_processes:
                process.kill()
                process.wait(WAIT_S)
            for engine in member.engines:
                engine.down()
        self.fault_proxy.close()
        if self.etcd is not None:
            self.etcd.close()
        self.dependency.down()
        self.registry.down()

    def record(
        self, kind: str, name: str = "", number: int = 0, rule: FaultRule | None = None, at: float = 0.0
    ) -> None:
        """Record what was done just now, or at that Unix time in ms."""
        with self._lock:
            self.actions.append(FaultAction(at or time.time() * 1000, kind, name, number, rule))

    def restart(self, member: MemberProcess) -> None:
        """Start a process of a member, and record when it has joined."""
        joined_before = member.count_events(JOINING_EVENT)
        process = self.spawn(member)
        member.process = process
        member.is_paused = False
        threading.Thread(target=self._await_joining, args=(member, process, joined_before), daemon=True).start()

    def kill(self, member: MemberProcess) -> None:
        """SIGKILL, to both processes where it is being replaced."""
        running = member.running_processes
        for process in running:
            process.kill()
        if running:
            self.record("down", member.name)
        for process in running:
            process.wait(WAIT_S)
        member.successor = None

    def signal(self, member: MemberProcess, number: signal.Signals, kind: str) -> None:
        """Send a signal, and record it as `kind`. A resumption counts from before it, as it is noticed at once."""
        if member.process is not None and member.is_running:
            at = time.time() * 1000 if kind == "resume" else 0.0
            member.process.send_signal(number)
            member.is_paused = kind == "pause" or (member.is_paused and kind != "resume")
            self.record(kind, member.name, at=at)

    def change_limits(self, names: Sequence[str], version: int, changes: dict[str, dict[str, Any]]) -> None:
        """Change limits in these members' files, and have their processes read them (SIGHUP)."""
        for name in names:
            member = self.members[name]
            member_files.change_limits(member.folder, version, changes)
            if member.process is not None and member.is_running:
                member.process.send_signal(signal.SIGHUP)

    def replace(self, member: MemberProcess) -> None:
        """Start a second process beside the first, which gets SIGTERM once the second serves."""
        old = member.process
        serving_before = member.count_events(SERVING_EVENT)
        new = self.spawn(member, beside=True)
        member.successor = new
        threading.Thread(target=self._hand_over, args=(member, old, new, serving_before), daemon=True).start()

    def lose_members(self, names: Sequence[str], number: int) -> None:
        """Kill members and their engines; `number` is that of the event, for `return_members`."""
        self._lost[number] = [name for name in names if self.members[name].is_running]
        for name in self._lost[number]:
            self.kill(self.members[name])
            self.members[name].engine.down()

    def return_members(self, number: int) -> None:
        """Start the members again that `lose_members` killed in this event, with fresh engines."""
        for name in self._lost.get(number, []):
            member = self.members[name]
            if not member.is_running:
                member.replace_engine()
                self.fault_proxy.ask(target=["kernel", name, member.engine.port])
                self.restart(member)

    def _write_files(self, tables: dict[str, Any], own: dict[str, dict[str, Any]]) -> None:
        """Write the members' files: `tables` go to all fleet files, `own` to those of single members."""
        numbers = {name: member.number for name, member in self.members.items()}
        for name, member in self.members.items():
            self.fault_proxy.ask(target=["kernel", name, member.engine.port])
            member_files.write_server_config(member.folder, name, member.number, self.port, self.seed)
            member_files.write_operator_file(member.folder, traced=bool(self.script.limits))
            changes = {**tables, **own.get(name, {})}
            member_files.write_fleet_file(member.folder, name, numbers, self.port, self.script, changes)

    def _read_log(self, member: MemberProcess, process: subprocess.Popen[str]) -> None:
        assert process.stdout is not None
        with (member.folder / "log.txt").open("a") as copy:
            for line in process.stdout:
                copy.write(line)
                with contextlib.suppress(ValueError):
                    row = json.loads(line)
                    member.log.append(row)
                    observation = observation_of(member.name, row)
                    if observation is not None:
                        with self._lock:
                            self.observations.append(observation)

    def _await_joining(self, member: MemberProcess, process: subprocess.Popen[str], joined_before: int) -> None:
        """Record that a new process is up, as the fleet sees it, from its joining on."""

        def joined_or_superseded() -> bool:
            return process is not member.process or member.count_events(JOINING_EVENT) > joined_before

        if _poll_while_running(process, joined_or_superseded) and process is member.process:
            self._record_up(member)

    def _record_up(self, member: MemberProcess) -> None:
        row = member.last_event(JOINING_EVENT)  # not the time of the check: others may see it long before
        self.record("up", member.name, at=row["at"] if row else 0.0)

    def _hand_over(
        self, member: MemberProcess, old: subprocess.Popen[str] | None, new: subprocess.Popen[str], serving_before: int
    ) -> None:
        _poll_while_running(new, lambda: member.count_events(SERVING_EVENT) > serving_before)
        if new.poll() is not None:
            if member.successor is new:  # nobody killed it
                self.unplayed.append(f"replace: {member.name}'s second process ended: {member.stderr_tail()}")
            return
        if old is None or old.poll() is not None:
            self.unplayed.append(f"replace: {member.name}'s first process was gone before the second served")
            return
        joined_before = member.count_events(JOINING_EVENT)
        old.terminate()
        self.record("down", member.name)  # its link goes; the new one's comes at once
        member.process = new
        member.successor = None
        member.uses_second_admin_address = not member.uses_second_admin_address
        self._await_joining(member, new, joined_before)
        with contextlib.suppress(subprocess.TimeoutExpired):
            member.exit_codes.append(old.wait(WAIT_S))
            self.replaced += 1


def _poll_while_running(process: subprocess.Popen[str], condition: Callable[[], bool]) -> bool:
    """Wait until the condition holds; false if the process ended before, or WAIT_S is over."""
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end and process.poll() is None:
        if condition():
            return True
        time.sleep(LOG_POLL_S)
    return False
