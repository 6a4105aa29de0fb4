"""Complete fleets of the real program behind the fault proxy.

The tests check the order of events and generous bounds; `benchmarks/` measures exact times.
"""

from __future__ import annotations

import os
import signal
import socket
import threading
import time
from functools import partial
from pathlib import Path
from typing import Any

import pytest
import yaml

from myrtlespar.fakes import ROOT, ThriftClient, until
from myrtlespar.fleet_tests.process_launcher import FleetRun
from myrtlespar.fleet_tests.runner import play
from myrtlespar.fleet_tests.script import read
from myrtlespar.membership.messages import ALIVE, MemberUpdate, Packet, Ping
from myrtlespar.net.codec.peer import encode
from tests.fleet_members import (
    count_of,
    failures,
    incarnation_of,
    others_answered_since,
    others_know_incarnation_after,
    run_command,
    spawn_all,
    start_error,
    states,
)

pytestmark = pytest.mark.fleet
SLACK_MS = 4000.0  # allowance for slow test machines
HOUR_MS = 3_600_000
LOAD_S = 5.0  # duration of the load
MAX_LOAD_REQUESTS = 20_000
MAX_OUTSTANDING = 30  # limit of unanswered requests of each client
FLOOD_DATAGRAMS = 6000


def scenarios(area: str) -> list[Path]:
    """Return the fault scripts of an area."""
    return sorted((ROOT / "fault_scenarios" / area).glob("*.yaml"))


@pytest.mark.parametrize("path", scenarios("membership"), ids=lambda path: path.stem)
def test_membership_scenario_keeps_every_promise(path: Path) -> None:
    """Play each fault script of membership. Two of them have further expectations."""
    done = play(read(path), 1, report_progress=lambda line: None, slack_ms=SLACK_MS)
    assert done["broken"] == []
    assert done["checked"]["lives grow"] > 0
    assert done["checked"]["standing right"] > 0
    if path.stem == "half-cut":
        # No member was declared failed, so there was nothing to check.
        assert done["checked"].get("no false failure", 0) == 0
    if path.stem == "rolling":
        assert done["replaced"] == 6
        assert done["outcomes"].get("lost", 0) == 0


@pytest.mark.parametrize("path", scenarios("limits"), ids=lambda path: path.stem)
def test_limit_scenario_keeps_every_limit(path: Path) -> None:
    """Play each fault script of limits. The load must use more than half of every limit."""
    done = play(read(path), 1, report_progress=lambda line: None, slack_ms=SLACK_MS)
    assert done["broken"] == []
    for figures in done["limits"].values():
        assert figures["started"] > 0
        assert figures["most"] > figures["limit"] / 2


@pytest.mark.parametrize("three_members", [{"a3": {"fleet": "another"}}], indirect=True)
def test_member_of_another_fleet_is_counted_and_stays_out(three_members: FleetRun) -> None:
    """Two members of one fleet find each other and ignore the third, which belongs to another fleet."""
    spawn_all(three_members)
    until(lambda: states(three_members, "a1") == {"a2": "alive"}, "a1 to see only a2")
    until(lambda: states(three_members, "a2") == {"a1": "alive"}, "a2 to see only a1")
    until(lambda: count_of(three_members, "fleet.foreign") > 0, "packets of another fleet to be counted")
    assert three_members.quorum_status("a1") == "majority"
    assert states(three_members, "a3") == {}


def test_wall_clock_steps_change_incarnations_only(three_members: FleetRun) -> None:
    """A member restarts with its wall clock set back or forth, and the others accept a new incarnation each time."""
    three_members.start()
    member = three_members.members["a2"]
    seen = incarnation_of(three_members, "a1", "a2")
    for shift_ms in (-HOUR_MS, HOUR_MS, 0):
        path = member.folder / "fleet.yaml"
        path.write_text(yaml.safe_dump({**yaml.safe_load(path.read_text()), "wall_shift_ms": shift_ms}))
        three_members.kill(member)
        three_members.restart(member)
        until(
            partial(others_know_incarnation_after, three_members, "a2", seen), "the others to know the new incarnation"
        )
        until(
            lambda: states(three_members, "a1").get("a2") == "alive"
            and states(three_members, "a2").get("a1") == "alive",
            "a1 and a2 to see each other alive",
        )
        until(three_members.is_complete, "the fleet to be complete again")
        seen = incarnation_of(three_members, "a1", "a2")


def invalid_datagrams(valid: bytes, sender: MemberUpdate) -> list[bytes]:
    """Return datagrams that are malformed, of another version or of another fleet."""
    return [
        b"",
        b"x",
        os.urandom(400),
        valid[:-3],
        valid[:20] + b"\xff" + valid[21:],
        valid[:3] + b"\x09" + valid[4:],
        valid + b"\0" * 1500,
        encode(Packet("other", 1, sender, 0, 1, Ping(1))),
    ]


def test_malformed_foreign_replayed_and_flooding_datagrams_change_nothing(three_members: FleetRun) -> None:
    """Invalid, replayed and excessive datagrams are counted and do not change the view."""
    three_members.start()
    target = ("127.0.1.1", three_members.port)
    assert three_members.view("a1") is not None
    # An update with an outdated incarnation of a2.
    old_update = MemberUpdate("a2", "a", f"127.8.0.2:{three_members.port}", 5, 0, ALIVE)
    valid = encode(Packet("rehearsal", 1, old_update, 0, 1, Ping(1)))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for data in (*invalid_datagrams(valid, old_update), valid, valid):
            sock.sendto(data, target)
        with socket.create_connection(target) as stream:
            stream.sendall(b"\xff\xff\xff\xff")
        until(
            lambda: count_of(three_members, "peers.spoilt") >= 5
            and count_of(three_members, "peers.other_version") == 1,
            "malformed datagrams and the one of another version to be counted",
        )
        until(
            lambda: count_of(three_members, "fleet.replayed") >= 1
            and count_of(three_members, "peers.exchange_spoilt") == 1,
            "the replayed datagram and the malformed exchange to be counted",
        )
        for _ in range(FLOOD_DATAGRAMS):  # more than the member reads; it drops most of them
            sock.sendto(os.urandom(60), target)
    until(
        lambda: count_of(three_members, "peers.spoilt") + count_of(three_members, "peers.flooded") > 1000,
        "the flood to be counted",
    )
    flooded_at = time.monotonic()
    for name in three_members.members:
        until(partial(others_answered_since, three_members, name, flooded_at), "answers to probes after the flood")
    after = three_members.view("a1")
    assert after is not None
    assert incarnation_of(three_members, "a1", "a2") > 5
    assert [row["state"] for row in after["members"]] == ["alive", "alive"]
    assert failures(three_members) == []
    assert three_members.is_complete()


def test_a_saturated_member_is_not_failed_and_fails_nobody(three_members: FleetRun) -> None:
    """A member that is saturated with requests answers probes late, but early enough not to be declared failed."""
    three_members.start()
    host, port = three_members.client_address("a1")
    end = time.monotonic() + LOAD_S

    def send_requests() -> None:
        client = ThriftClient(port, host)
        sent = 0
        while time.monotonic() < end and sent < MAX_LOAD_REQUESTS:
            while sent - len(client.answers) < MAX_OUTSTANDING and sent < MAX_LOAD_REQUESTS:
                client.send("render", b"ms=1")
                sent += 1
            time.sleep(0.0005)  # lets the thread that reads answers run

    threads = [threading.Thread(target=send_requests) for _ in range(3)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30)
    assert failures(three_members) == []
    assert three_members.is_complete()


def test_status_watch_and_metrics_show_the_view(three_members: FleetRun) -> None:
    """The commands `fleet status` and `fleet watch` and the metrics show a complete fleet."""
    three_members.start()
    host, port = three_members.admin_address("a1")
    status = run_command("fleet", "status", f"{host}:{port}")
    assert status.returncode == 0, status.stdout + status.stderr
    assert "whole" in status.stdout, status.stdout + status.stderr
    assert "a3" in status.stdout, status.stdout + status.stderr
    watch = run_command("fleet", "watch", f"{host}:{port}", "--seconds", "0.5")
    assert watch.returncode == 0
    assert "a2" in watch.stdout
    metrics = three_members.ask("a1", b"METRICS")
    assert 'fleet_members{state="alive"} 3' in metrics
    assert 'fleet_standing{scope="fleet"} 3' in metrics
    assert "app_outstanding" in metrics
    assert metrics.endswith("end\n")


def test_voter_set_changes_by_one_member_at_a_time(three_members: FleetRun) -> None:
    """A reload accepts a later voter set that differs by one member, and logs the reason if it rejects one."""
    three_members.start()
    member = three_members.members["a1"]
    path = member.folder / "fleet.yaml"
    rows = yaml.safe_load(path.read_text())

    def offer(version: int, names: list[str], event: str) -> dict[str, Any]:
        """Make the member reload with this voter set, and return the log line with this event."""
        seen = member.count_events(event)
        path.write_text(yaml.safe_dump({**rows, "electorate": {"version": version, "sites": {"a": names}}}))
        assert member.process is not None
        member.process.send_signal(signal.SIGHUP)
        until(lambda: member.count_events(event) > seen, event)
        return member.last_event(event) or {}

    assert "more than one" in offer(2, ["a1"], "fleet reload refused")["error"]
    assert "does not follow" in offer(1, ["a1", "a2"], "fleet reload refused")["error"]
    assert offer(2, ["a1", "a2", "a3", "a4"], "fleet: roll taken over")["roll"] == 2
    until(lambda: three_members.quorum_status("a1") == "majority", "the quorum status without a4")
    view = three_members.view("a1")
    assert view is not None
    assert view["roll"] == 2
    assert view["standing"]["fleet"]["of"] == 4


def test_start_is_rejected_if_another_program_has_the_address(three_members: FleetRun) -> None:
    """A start with an unusable address fails with status 2 and one line that names the key."""
    member = three_members.members["a1"]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
        other.bind(("127.0.1.1", three_members.port))
        line = start_error(member)
    assert line.startswith("bind: ")
    assert "another program" in line
    assert start_error(member, seeds=["localhost:1"]).startswith("seeds[0]: ")
