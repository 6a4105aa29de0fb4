"""Starts a complete fleet of real processes behind the fault proxy and carries out the actions of a script.

Records the actions and what each member logged about the others. Times are Unix milliseconds.
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

NOTICED_AT_ONCE = ("resume", "left")  # kinds of actions whose effect other members may notice at once
SERVING_EVENT = "serving"
LOG_POLL_S = 0.005
MEMBERS_PER_CORE = 3  # used only if processes are pinned to cores


class FleetRun:
    """One run of a fleet under test, from its start to its end."""

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
        """Start the fakes and the fault proxy and write the members' files; `start` starts the members.

        Args:
            script: The fault script.
            seed: The seed of all random choices.
            folder: Holds one folder of files for each member.
            membership: The table `membership` of the fleet files.
            env: Additions to the environment of the members.
            pin: Pin the processes to cores, MEMBERS_PER_CORE on each.
            own: Changed keys in the fleet files of single members, by member name.
            grants: The table `grants` of the fleet files.
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
        self.unplayed: list[str] = []  # steps of the script that could not be carried out, with the reasons
        self.replaced = 0  # the number of replaced processes that have ended
        self.standstill_monitor = StandstillMonitor()
        self.network_counters = read_network_counters()  # at the start of the run
        self._lock = threading.Lock()
        self._lost: dict[int, list[str]] = {}  # members killed by a `lose` event, by the number of the event
        self.etcd = EtcdProcess() if script.engine else None
        services = {"store": self.dependency.port, "roster": self.registry.port}
        if self.etcd is not None:
            services["engine"] = self.etcd.port
        self.fault_proxy = FaultProxyProcess(script.members, seed, services)
        self.port = self.fault_proxy.port
        self._write_files({"grants": self.grants, "membership": membership or {}}, own or {})

    def client_address(self, name: str) -> tuple[str, int]:
        """Return the address of a member for client proxies."""
        return bind_host(self.members[name].number), self.port + 1

    def admin_address(self, name: str) -> tuple[str, int]:
        """Return the management address of a member's serving process.

        Each member has two such addresses; a replacement process uses the one that its predecessor does not.
        """
        member = self.members[name]
        return bind_host(member.number), self.port + 2 + member.uses_second_admin_address

    def ask(self, name: str, command: bytes, timeout_s: float = 3.0) -> str:
        """Send a command to a member's management address and return the complete answer, or '' if none arrives."""
        return admin_client.ask(self.admin_address(name), command, timeout_s)

    def view(self, name: str) -> dict[str, Any] | None:
        """Return a member's answer to the command MEMBERS, or None if none arrives."""
        return admin_client.ask_json(self.admin_address(name), b"MEMBERS")

    def limits(self, name: str) -> dict[str, Any]:
        """Return a member's answer to the command LIMITS, empty if none arrives."""
        return admin_client.ask_json(self.admin_address(name), b"LIMITS") or {}

    def is_complete(self) -> bool:
        """Return whether the quorum status of each member is `whole`."""
        return all(self.quorum_status(name) == "whole" for name in self.members)

    def quorum_status(self, name: str) -> str | None:
        """Return the latest quorum status of the fleet in a member's log, in lower case; None if there is none."""
        rows = (row for row in reversed(self.members[name].log) if row["event"] == QUORUM_EVENT and not row["scope"])
        return next((row["new"] for row in rows), None)

    def stalls(self) -> list[tuple[str, float, float]]:
        """Return the stalls of the fault proxy: the delayed process or stream, and start and end in Unix ms."""
        return self.fault_proxy.stalls()

    def start(self) -> None:
        """Start all members and wait until each believes all others present.

        Raises:
            RuntimeError: The process of a member ended.
            AssertionError: It took longer than WAIT_S.
        """
        self.standstill_monitor.start()
        for member in self.members.values():
            member.process = self.spawn(member)
        for member in self.members.values():
            until(lambda: member.last_event(SERVING_EVENT) or not member.is_running, "the event serving")  # noqa: B023
            if not member.is_running:
                raise RuntimeError(f"the process of {member.name} ended: {member.stderr_tail()}")
            self._record_up(member)
        until(self.is_complete, "all members to believe each other present")

    def spawn(self, member: MemberProcess, beside: bool = False) -> subprocess.Popen[str]:
        """Start a process of a member; `beside`: a second one, next to the serving one.

        The second process gets the management address that the first does not use.
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
        """End all processes and fakes."""
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
        """Record an action and its time: `at` (Unix ms), or the current time if `at` is 0."""
        with self._lock:
            self.actions.append(FaultAction(at or time.time() * 1000, kind, name, number, rule))

    def restart(self, member: MemberProcess) -> None:
        """Start a process of a member, and record the time at which it joins the fleet."""
        joined_before = member.count_events(JOINING_EVENT)
        process = self.spawn(member)
        member.process = process
        member.is_paused = False
        threading.Thread(target=self._await_joining, args=(member, process, joined_before), daemon=True).start()

    def kill(self, member: MemberProcess) -> None:
        """Kill all processes of a member (SIGKILL); there are two during a replacement."""
        running = member.running_processes
        for process in running:
            process.kill()
        if running:
            self.record("down", member.name)
        for process in running:
            process.wait(WAIT_S)
        member.successor = None

    def signal(self, member: MemberProcess, number: signal.Signals, kind: str) -> None:
        """Send a signal and record it as `kind`.

        The recorded time of `resume` and `left` lies before the signal, as other members may notice the effect at once.
        """
        if member.process is not None and member.is_running:
            at = time.time() * 1000 if kind in NOTICED_AT_ONCE else 0.0
            member.process.send_signal(number)
            member.is_paused = kind == "pause" or (member.is_paused and kind != "resume")
            self.record(kind, member.name, at=at)

    def change_limits(self, names: Sequence[str], version: int, changes: dict[str, dict[str, Any]]) -> None:
        """Change limits in these members' fleet files and make their processes reload them (SIGHUP)."""
        for name in names:
            member = self.members[name]
            member_files.change_limits(member.folder, version, changes)
            if member.process is not None and member.is_running:
                member.process.send_signal(signal.SIGHUP)

    def replace(self, member: MemberProcess) -> None:
        """Replace a member's process: start a second one, and end the first (SIGTERM) once the second serves."""
        old = member.process
        serving_before = member.count_events(SERVING_EVENT)
        new = self.spawn(member, beside=True)
        member.successor = new
        threading.Thread(target=self._hand_over, args=(member, old, new, serving_before), daemon=True).start()

    def lose_members(self, names: Sequence[str], number: int) -> None:
        """Kill members and their engines. `number` is that of the event; `return_members` takes it."""
        self._lost[number] = [name for name in names if self.members[name].is_running]
        for name in self._lost[number]:
            self.kill(self.members[name])
            self.members[name].engine.down()

    def return_members(self, number: int) -> None:
        """Restart the members that `lose_members` killed in this event, with new engines."""
        for name in self._lost.get(number, []):
            member = self.members[name]
            if not member.is_running:
                member.replace_engine()
                self.fault_proxy.ask(target=["kernel", name, member.engine.port])
                self.restart(member)

    def _write_files(self, tables: dict[str, Any], own: dict[str, dict[str, Any]]) -> None:
        """Write the members' files; `tables` are set in all fleet files, `own` in those of single members by name."""
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
        """Record a new process as up once it has joined the fleet."""

        def joined_or_superseded() -> bool:
            """Return whether the process has joined, or another process of the member has taken its place."""
            return process is not member.process or member.count_events(JOINING_EVENT) > joined_before

        if _poll_while_running(process, joined_or_superseded) and process is member.process:
            self._record_up(member)

    def _record_up(self, member: MemberProcess) -> None:
        # The time in the log is used, as other members may notice the joining long before this check.
        row = member.last_event(JOINING_EVENT)
        self.record("up", member.name, at=row["at"] if row else 0.0)

    def _hand_over(
        self, member: MemberProcess, old: subprocess.Popen[str] | None, new: subprocess.Popen[str], serving_before: int
    ) -> None:
        _poll_while_running(new, lambda: member.count_events(SERVING_EVENT) > serving_before)
        if new.poll() is not None:
            if member.successor is new:  # it was not killed by the script
                self.unplayed.append(f"replace: {member.name}'s second process ended: {member.stderr_tail()}")
            return
        if old is None or old.poll() is not None:
            self.unplayed.append(f"replace: {member.name}'s first process ended before the second served")
            return
        joined_before = member.count_events(JOINING_EVENT)
        old.terminate()
        # The connections of the old process end here; the new process opens its own at once.
        self.record("down", member.name)
        member.process = new
        member.successor = None
        member.uses_second_admin_address = not member.uses_second_admin_address
        self._await_joining(member, new, joined_before)
        with contextlib.suppress(subprocess.TimeoutExpired):
            member.exit_codes.append(old.wait(WAIT_S))
            self.replaced += 1


def _poll_while_running(process: subprocess.Popen[str], condition: Callable[[], bool]) -> bool:
    """Wait until the condition holds. Return false if the process ends first or WAIT_S pass."""
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end and process.poll() is None:
        if condition():
            return True
        time.sleep(LOG_POLL_S)
    return False
