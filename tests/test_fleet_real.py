"""Whole fleets of the real program behind the fabric. Judged by order and generous bounds; exact times are in
`benchmarks/`.
"""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import yaml

from myrtlespar.fakes import ROOT, ThriftClient, until
from myrtlespar.fleet_tests.process_launcher import FleetRun, MemberProcess
from myrtlespar.fleet_tests.runner import play
from myrtlespar.fleet_tests.script import parse, read
from myrtlespar.membership.messages import ALIVE, MemberUpdate, Packet, Ping
from myrtlespar.net.codec.peer import encode

pytestmark = pytest.mark.fleet
SLACK_MS = 4000.0  # machines that run tests are slow now and then
THREE = "fleet: {sites: {a: 3}}\nlength_s: 5\n"


@pytest.mark.parametrize("path", sorted((ROOT / "fault_scenarios" / "membership").glob("*.yaml")), ids=lambda p: p.stem)
def test_a_rehearsal_keeps_every_promise(path: Path) -> None:
    done = play(read(path), 1, say=lambda line: None, slack_ms=SLACK_MS)
    assert done["broken"] == []
    assert done["checked"]["lives grow"] > 0
    assert done["checked"]["standing right"] > 0
    if path.stem == "half-cut":
        assert done["checked"].get("no false failure", 0) == 0  # nobody was failed at all
    if path.stem == "rolling":
        assert done["replaced"] == 6
        assert done["outcomes"].get("lost", 0) == 0


@pytest.mark.parametrize("path", sorted((ROOT / "fault_scenarios" / "limits").glob("*.yaml")), ids=lambda p: p.stem)
def test_a_rehearsal_keeps_every_limit(path: Path) -> None:
    done = play(read(path), 1, say=lambda line: None, slack_ms=SLACK_MS)
    assert done["broken"] == []
    for figures in done["limits"].values():
        assert figures["started"] > 0
        assert figures["most"] > figures["limit"] / 2


@pytest.fixture
def three(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[FleetRun]:
    """Three members of one site; the parameter holds settings of single members."""
    run = FleetRun(parse(THREE), 1, tmp_path, own=getattr(request, "param", {}))
    try:
        yield run
    finally:
        run.close()


def start(run: FleetRun) -> None:
    for member in run.members.values():
        member.process = run.spawn(member)


def states(run: FleetRun, name: str) -> dict[str, str]:
    """What a member believes of the others."""
    view = run.view(name)
    return {row["name"]: row["state"] for row in view["members"]} if view and "members" in view else {}


@pytest.mark.parametrize("three", [{"a3": {"fleet": "another"}}], indirect=True)
def test_a_member_of_another_fleet_is_counted_and_stays_out(three: FleetRun) -> None:
    start(three)
    until(lambda: states(three, "a1") == {"a2": "alive"}, "the two of one fleet")
    until(lambda: states(three, "a2") == {"a1": "alive"}, "the two of one fleet")
    until(lambda: (three.view("a1") or {}).get("counts", {}).get("fleet.foreign", 0) > 0, "foreign ones counted")
    assert three.standing("a1") == "majority"
    assert states(three, "a3") == {}


def test_a_clock_set_back_or_forth_matters_for_lives_only(three: FleetRun) -> None:
    three.begin()
    member = three.members["a2"]
    seen = boot_of(three, "a1", "a2")
    for shift in (-3_600_000, 3_600_000, 0):
        path = member.folder / "fleet.yaml"
        path.write_text(yaml.safe_dump({**yaml.safe_load(path.read_text()), "wall_shift_ms": shift}))
        three.kill(member)
        three.up_again(member)
        before = seen
        until(lambda: boot_of(three, "a1", "a2") > before and boot_of(three, "a3", "a2") > before, "the new life")  # noqa: B023
        until(lambda: states(three, "a1").get("a2") == "alive" and states(three, "a2").get("a1") == "alive", "alive")
        until(three.whole, "whole again")
        seen = boot_of(three, "a1", "a2")


def boot_of(run: FleetRun, observer: str, name: str) -> int:
    view = run.view(observer) or {"members": []}
    return max((row["life"][0] for row in view["members"] if row["name"] == name), default=0)


def test_what_is_spoilt_foreign_replayed_or_too_much_changes_nothing(three: FleetRun) -> None:
    three.begin()
    target = ("127.0.1.1", three.port)
    view = three.view("a1")
    assert view is not None
    lie = MemberUpdate("a2", "a", f"127.8.0.2:{three.port}", 5, 0, ALIVE)  # an old life of a2
    packet = Packet("rehearsal", 1, lie, 0, 1, Ping(1))
    good = encode(packet)
    spoilt = [
        b"",
        b"x",
        os.urandom(400),
        good[:-3],
        good[:20] + b"\xff" + good[21:],
        good[:3] + b"\x09" + good[4:],
        good + b"\0" * 1500,
        encode(Packet("other", 1, lie, 0, 1, Ping(1))),
    ]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for data in (*spoilt, good, good):
            sock.sendto(data, target)
        with socket.create_connection(target) as stream:
            stream.sendall(b"\xff\xff\xff\xff")
        until(lambda: counted(three, "peers.spoilt") >= 5 and counted(three, "peers.other_version") == 1, "counts")
        until(lambda: counted(three, "fleet.replayed") >= 1 and counted(three, "peers.exchange_spoilt") == 1, "counts")
        for _ in range(6000):  # a flood: bounded, and most of it is not looked at
            sock.sendto(os.urandom(60), target)
    until(lambda: counted(three, "peers.spoilt") + counted(three, "peers.flooded") > 1000, "the flood counted")
    time.sleep(1.0)  # that nothing changes is checked over several rounds of the members' gossip
    after = three.view("a1")
    assert after is not None
    assert boot_of(three, "a1", "a2") > 5
    assert [row["state"] for row in after["members"]] == ["alive", "alive"]
    assert three.whole()


def counted(run: FleetRun, name: str) -> int:
    counts = (run.view("a1") or {}).get("counts", {})
    return sum(count for key, count in counts.items() if key.startswith(name))


def test_a_saturated_member_is_not_failed_and_fails_nobody(three: FleetRun) -> None:
    three.begin()
    host, port = three.listen("a1")
    end = time.monotonic() + 5

    def burn() -> None:
        client, sent = ThriftClient(port, host), 0
        while time.monotonic() < end and sent < 20_000:
            while sent - len(client.answers) < 30 and sent < 20_000:
                client.send("render", b"ms=1")
                sent += 1
            time.sleep(0.0005)  # the rate of the load

    threads = [threading.Thread(target=burn) for _ in range(3)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30)
    failed = [
        row
        for member in three.members.values()
        for row in member.log
        if row["event"] == "fleet member" and row["new"] == "failed"
    ]
    assert failed == []
    assert three.whole()


def test_status_and_figures_tell_the_view(three: FleetRun) -> None:
    three.begin()
    host, port = three.mgmt("a1")
    shown = subprocess.run(
        [sys.executable, "-m", "myrtlespar", "fleet", "status", f"{host}:{port}"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert shown.returncode == 0 and "whole" in shown.stdout and "a3" in shown.stdout, shown.stdout + shown.stderr
    watched = subprocess.run(
        [sys.executable, "-m", "myrtlespar", "fleet", "watch", f"{host}:{port}", "--seconds", "0.5"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert watched.returncode == 0
    assert "a2" in watched.stdout
    text = three.ask("a1", b"METRICS")
    assert 'fleet_members{state="alive"} 3' in text
    assert 'fleet_standing{scope="fleet"} 3' in text
    assert "app_outstanding" in text
    assert text.endswith("end\n")


def test_a_roll_changes_by_one_member_at_a_time(three: FleetRun) -> None:
    three.begin()
    member = three.members["a1"]
    path = member.folder / "fleet.yaml"
    rows = yaml.safe_load(path.read_text())

    def offer(version: int, names: list[str], event: str) -> dict[str, Any]:
        seen = member.count(event)
        path.write_text(yaml.safe_dump({**rows, "electorate": {"version": version, "sites": {"a": names}}}))
        assert member.process is not None
        member.process.send_signal(1)  # SIGHUP
        until(lambda: member.count(event) > seen, event)
        return member.last(event) or {}

    assert "more than one" in offer(2, ["a1"], "fleet reload refused")["error"]
    assert "does not follow" in offer(1, ["a1", "a2"], "fleet reload refused")["error"]
    assert offer(2, ["a1", "a2", "a3", "a4"], "fleet: roll taken over")["roll"] == 2
    until(lambda: three.standing("a1") == "majority", "a4 is missed")
    view = three.view("a1")
    assert view is not None
    assert view["roll"] == 2
    assert view["standing"]["fleet"]["of"] == 4


def refused(member: MemberProcess, run: FleetRun, **changes: Any) -> str:
    """The line with which a start is refused."""
    path = member.folder / "fleet.yaml"
    path.write_text(yaml.safe_dump({**yaml.safe_load(path.read_text()), **changes}))
    env = {
        **os.environ,
        "BALANCER_CONFIG": str(member.folder / "config.json"),
        "MYRTLESPAR_FLEET": str(path),
        "TMPDIR": str(member.folder),
    }
    done = subprocess.run(
        [sys.executable, "-m", "myrtlespar"], cwd=ROOT, env=env, capture_output=True, text=True, timeout=60, check=False
    )
    assert done.returncode == 2 and done.stderr.count("\n") == 1, done.stderr
    assert not any(json.loads(line)["event"] == "serving" for line in done.stdout.splitlines())
    return done.stderr


def test_an_address_taken_by_another_program_is_refused_at_the_start(three: FleetRun) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
        other.bind(("127.0.1.1", three.port))
        line = refused(three.members["a1"], three)
    assert line.startswith("bind: ")
    assert "another program" in line
    assert refused(three.members["a1"], three, seeds=["localhost:1"]).startswith("seeds[0]: ")
