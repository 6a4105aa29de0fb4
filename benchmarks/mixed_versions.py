"""Checks that an earlier version of the program works together with this one, as a rolling upgrade requires.

    python -m benchmarks.mixed_versions OLD_CHECKOUT           # about 15 s

OLD_CHECKOUT is a checkout of the earlier version. Its program is started there with this interpreter, so only what
processes exchange is mixed: hand-over files, datagrams and streams between members, the management address.

Checks:
  - a hand-over of idempotency keys from an old process to a new one, and from a new one to an old one;
  - a fleet of two new members and an old one: membership, a fleet-wide strict limit, and a graceful leave.

Prints a line per check and one JSON line; the exit status is 0 only if every check passed. All sockets are on
127.0.0.0/8.
"""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import click
import yaml

from myrtlespar.fakes import ROOT, ServerProcess, ThriftClient, server_process, until
from myrtlespar.quota.settings import GrantSettings, Limit

TIME_LIMIT_S = 180  # for all checks together; `until` bounds each single wait as well
STOP_TIMEOUT_S = 20.0
IDEMPOTENCY = '[idempotency]\nthrift_field = "key"\n'
MEMBERS = ("a1", "a2", "a3")
OLD_MEMBER = "a3"
STARTS_PER_S = 20
PRESENT_STATES = ("alive", "suspect")
QUORUM_COMPLETE = 'fleet_standing{scope="fleet"} 3'  # a line of METRICS; 3 is the value of a complete quorum
LOAD_S = 8.0  # the first leases are granted about three seconds after the start of a fleet
LOAD_PAUSE_S = 0.03  # pause of each client between two requests; gives about 100 requests per second for three members
CHECKED_WINDOW_SHARE = 0.7  # checked part of a limit's window; the rest allows for the time from admission to start


class CheckFailedError(Exception):
    """Raised when a check finds something else than it expects."""


def expect(holds: bool, what: str) -> None:
    """Raise CheckFailedError with the text `what` unless the condition holds."""
    if not holds:
        raise CheckFailedError(what)


# Hand-over of idempotency keys.


def check_handover(first_root: Path, second_root: Path, folder: Path) -> str:
    """Check that an order repeated at the successor of the process that ran it gets the same outcome and runs once."""
    shared = folder / "shared"
    first_folder = folder / "first"
    second_folder = folder / "second"
    for path in (shared, first_folder, second_folder):
        path.mkdir(parents=True)
    with server_process(first_folder, root=first_root, mgmt=True, shared=shared, operator=IDEMPOTENCY) as first:
        port = first.ports[0]
        kind, answer = ThriftClient(port).ask("order", b"ms=5 once", key="k-1")
        expect(kind == "success", f"the first process answered {kind}")
        with server_process(
            second_folder,
            root=second_root,
            mgmt=True,
            shared=shared,
            operator=IDEMPOTENCY,
            listen=f"127.0.0.1:{port}",
        ) as second:
            first.process.terminate()
            status = first.process.wait(STOP_TIMEOUT_S)
            expect(status == 0, f"the first process ended with status {status}")
            kind, repeated = ThriftClient(port).ask("order", b"ms=5 once", key="k-1")
            expect(kind == "success", f"the repeated order got {kind}")
            expect(repeated.body == answer.body, f"the repeated order got {repeated.body!r}, not {answer.body!r}")
            runs = first.engine.starts_by_body[b"ms=5 once"], second.engine.starts_by_body[b"ms=5 once"]
            expect(runs == (1, 0), f"runs at the first and second engine: {runs}")
            kind, _ = ThriftClient(port).ask("order", b"ms=5 other", key="k-2")
            expect(kind == "success", f"another order at the second process got {kind}")
            expect(second.engine.starts_by_body[b"ms=5 other"] == 1, "another order did not run at the second engine")
    return "known outcome returned, one run in all"


# A fleet with one member of the old version.


def free_port() -> int:
    """Return a port that is free over UDP at every member's address, and over TCP at the first one."""
    with contextlib.ExitStack() as stack:
        probe = stack.enter_context(socket.create_server(("127.0.1.1", 0)))
        port: int = probe.getsockname()[1]
        for number in range(1, len(MEMBERS) + 1):
            datagrams = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
            datagrams.bind((f"127.0.1.{number}", port))
        return port


def fleet_file(number: int, port: int, folder: Path) -> Path:
    """Write the fleet settings of member `number`.

    The limit has no standing shares, so each start needs a lease that a majority of the members granted.
    """
    limit = {"per_s": STARTS_PER_S, "kind": "strict", "standing": 0}
    rows = {
        "fleet": "mixed-versions",
        "site": "a",
        "bind": f"127.0.1.{number}:{port}",
        "seeds": [f"127.0.1.1:{port}"],
        "electorate": {"version": 1, "sites": {"a": list(MEMBERS)}},
        "state": str(folder),
        "limits": {"starts": limit},
    }
    path = folder / "fleet.yaml"
    path.write_text(yaml.safe_dump(rows))
    return path


@contextlib.contextmanager
def mixed_fleet(old_root: Path, folder: Path) -> Iterator[dict[str, ServerProcess]]:
    """Run three members, the last of the old version; yields them by name."""
    port = free_port()
    with contextlib.ExitStack() as stack:
        members: dict[str, ServerProcess] = {}
        for number, name in enumerate(MEMBERS, 1):
            own_folder = folder / name
            own_folder.mkdir(parents=True)
            members[name] = stack.enter_context(
                server_process(
                    own_folder,
                    root=old_root if name == OLD_MEMBER else ROOT,
                    mgmt=True,
                    given={"name": name, "seed": f"{number:x}"},
                    env={"MYRTLESPAR_FLEET": str(fleet_file(number, port, own_folder))},
                )
            )
        yield members


def member_view(member: ServerProcess) -> dict[str, Any]:
    """Return the fleet view that the member's management address reports."""
    lines = member.ask(b"MEMBERS\n").split("\n")
    expect(lines[0] == "done", f"MEMBERS: expected 'done', got {lines[0]!r}")
    view: dict[str, Any] = json.loads(lines[1])
    return view


def peer_states(member: ServerProcess) -> dict[str, str]:
    """Return the states of the other members in this member's view."""
    return {row["name"]: row["state"] for row in member_view(member)["members"]}


def has_complete_quorum(member: ServerProcess) -> bool:
    """Return whether the member's metrics show that its quorum counts every voter."""
    return QUORUM_COMPLETE in member.ask(b"METRICS\n").split("\n")


def check_convergence(members: dict[str, ServerProcess]) -> str:
    """Check that every member believes all others alive and the quorum complete."""
    for name, member in members.items():
        expected = {peer: "alive" for peer in MEMBERS if peer != name}
        until(lambda: peer_states(member) == expected, f"{name} sees {expected}")  # noqa: B023
        until(lambda: has_complete_quorum(member), f"{name} has a complete quorum")  # noqa: B023
    return f"{len(members)} members alive in every view, quorum complete"


def offer_load(member: ServerProcess, end: float) -> None:
    """Send short requests to one member until `end` (monotonic seconds); their answers are ignored."""
    client = ThriftClient(member.ports[0])
    while time.monotonic() < end:
        client.send("render", b"ms=1")
        time.sleep(LOAD_PAUSE_S)  # sets the rate of the load
    client.sock.close()


def most_starts(begins: list[float], window_ms: float) -> int:
    """Return the largest number of starts within any window. Times are Unix milliseconds in ascending order."""
    most = 0
    first = 0
    for position, begin in enumerate(begins):
        while begins[first] <= begin - window_ms:
            first += 1
        most = max(most, position - first + 1)
    return most


def check_limit(members: dict[str, ServerProcess]) -> str:
    """Check that all engines together start no more than the fleet-wide limit allows, and that each starts some."""
    end = time.monotonic() + LOAD_S
    loaders = [threading.Thread(target=offer_load, args=(member, end)) for member in members.values()]
    for loader in loaders:
        loader.start()
    for loader in loaders:
        loader.join(LOAD_S + STOP_TIMEOUT_S)
    started = {name: len(member.engine.runs) for name, member in members.items()}
    expect(all(started.values()), f"expected runs at every member, got {started}")
    expect(sum(started.values()) >= 2 * STARTS_PER_S, f"too few runs in all, so leases were not renewed: {started}")
    limit = Limit(per_s=STARTS_PER_S)
    allowed = limit.amount + GrantSettings().max_excess(limit)
    begins = sorted(run[1] for member in members.values() for run in member.engine.runs)
    most = most_starts(begins, limit.window_ms * CHECKED_WINDOW_SHARE)
    expect(most <= allowed, f"{most} starts within a window, {allowed} allowed")
    return f"at most {most} starts within a window, {allowed} allowed; started by member: {json.dumps(started)}"


def check_leave(members: dict[str, ServerProcess]) -> str:
    """Check that the old member ends with status 0 on SIGTERM, and that the others record it as left, not as failed."""
    old = members[OLD_MEMBER]
    old.process.send_signal(signal.SIGTERM)
    status = old.process.wait(STOP_TIMEOUT_S)
    expect(status == 0, f"the old member ended with status {status}")
    for name, member in members.items():
        if name == OLD_MEMBER:
            continue
        until(lambda: peer_states(member).get(OLD_MEMBER) not in PRESENT_STATES, f"{name} sees {OLD_MEMBER} leave")  # noqa: B023
        seen = peer_states(member).get(OLD_MEMBER)
        expect(seen == "left", f"{name}: expected {OLD_MEMBER} to be 'left', got {seen!r}")
    return f"{OLD_MEMBER} left, no member believes it failed"


# The command line.


class CheckRunner:
    """Runs checks one by one and keeps their results."""

    def __init__(self) -> None:
        self.failures: dict[str, str] = {}
        self.passed: list[str] = []

    def run(self, name: str, check: Callable[[], str]) -> bool:
        """Run one check, print its line, and return whether it passed."""
        try:
            result = check()
        except (CheckFailedError, AssertionError, OSError) as error:
            self.failures[name] = str(error)
            print(f"FAILED  {name}: {error}", flush=True)
            return False
        self.passed.append(name)
        print(f"passed  {name}: {result}", flush=True)
        return True


def run_fleet_checks(runner: CheckRunner, old_root: Path, folder: Path) -> None:
    """Start a mixed fleet and run its checks in order, up to the first that fails: each relies on the one before."""
    with mixed_fleet(old_root, folder) as members:
        for name, check in (
            ("fleet: membership converges", check_convergence),
            ("fleet: strict limit kept", check_limit),
            ("fleet: old member leaves", check_leave),
        ):
            if not runner.run(name, lambda: check(members)):  # noqa: B023
                return


def stop_overdue(number: int, frame: object) -> None:
    """Signal handler for SIGALRM: ends the command when all checks together exceed the time limit."""
    raise CheckFailedError(f"checks not finished within {TIME_LIMIT_S} s")


@click.command()
@click.argument("old_checkout", type=click.Path(exists=True, file_okay=False, path_type=Path))
def main(old_checkout: Path) -> None:
    """Run all checks against the version in OLD_CHECKOUT."""
    old_root = old_checkout.resolve()
    if not (old_root / "myrtlespar" / "__main__.py").is_file():
        raise click.BadParameter(
            f"{old_root}: not a checkout, myrtlespar/__main__.py is missing", param_hint="OLD_CHECKOUT"
        )
    signal.signal(signal.SIGALRM, stop_overdue)
    signal.alarm(TIME_LIMIT_S)
    runner = CheckRunner()
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="mixed-versions-") as name:
        folder = Path(name)
        runner.run("hand-over: old to new", lambda: check_handover(old_root, ROOT, folder / "old-to-new"))
        runner.run("hand-over: new to old", lambda: check_handover(ROOT, old_root, folder / "new-to-old"))
        try:
            run_fleet_checks(runner, old_root, folder / "fleet")
        except (CheckFailedError, AssertionError, OSError) as error:
            runner.failures["fleet: start"] = str(error)
            print(f"FAILED  fleet: start: {error}", flush=True)
    signal.alarm(0)
    seconds = round(time.monotonic() - began, 1)
    print(json.dumps({"passed": len(runner.passed), "failures": runner.failures, "seconds": seconds}))
    sys.exit(int(bool(runner.failures)))


if __name__ == "__main__":
    main()
