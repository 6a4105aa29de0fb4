"""What an earlier life, an operator or the system left behind at a start: the program starts all the same, or names
the key.
"""

from __future__ import annotations

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import time
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from myrtlespar.exchange import Answer, AnswerKind
from myrtlespar.fakes import ThriftClient, server_process, settings, until
from myrtlespar.fakes.server_process import ROOT
from myrtlespar.handover.folder import HandoverFolder
from myrtlespar.handover.keys_file import HandoverRejectedError, KnownKey, decode, encode, known_keys
from myrtlespar.net.connections import connect
from tests.gates import Gate
from tests.request_classes import KEYED_SETTINGS
from tests.test_standard_streams import free_port, reach


def keys_file(*entries: Any) -> bytes:
    """A hand-over file with a true checksum over entries of any kind."""
    rows = b"".join(json.dumps(entry).encode() + b"\n" for entry in entries)
    return b"myrtlespar-keys 1 %08x %d\n" % (zlib.crc32(rows), len(rows)) + rows


def missing(folder: Path) -> None:
    folder.rmdir()


def a_file(folder: Path) -> None:
    folder.rmdir()
    folder.write_text("")


def lock_is_a_folder(folder: Path) -> None:
    (folder / "myrtlespar-n3.lock").mkdir()


def keys_are_a_folder(folder: Path) -> None:
    (folder / "myrtlespar-n3.keys").mkdir()


def keys_are_a_pipe(folder: Path) -> None:
    os.mkfifo(folder / "myrtlespar-n3.keys")


def keys_are_endless(folder: Path) -> None:
    with open(folder / "myrtlespar-n3.keys", "wb") as file:
        file.truncate(1 << 40)


def keys_have_odd_numbers(folder: Path) -> None:
    (folder / "myrtlespar-n3.keys").write_bytes(keys_file([0, "k", "served", "", 0, 10**400]))


def keys_are_nested(folder: Path) -> None:
    rows = b"[" * 100_000 + b"\n"
    (folder / "myrtlespar-n3.keys").write_bytes(b"myrtlespar-keys 1 %08x %d\n" % (zlib.crc32(rows), len(rows)) + rows)


@pytest.mark.parametrize(
    "left",
    [
        missing,
        a_file,
        lock_is_a_folder,
        keys_are_a_folder,
        keys_are_a_pipe,
        keys_are_endless,
        keys_have_odd_numbers,
        keys_are_nested,
    ],
)
def test_a_folder_that_fails_is_named_counted_and_no_obstacle(tmp_path: Path, left: Callable[[Path], None]) -> None:
    shared = tmp_path / "shared"
    shared.mkdir()
    left(shared)
    with server_process(tmp_path, mgmt=True, shared=shared, given=KEYED_SETTINGS) as running:
        client = ThriftClient(running.ports[0])
        assert client.ask("tide", b"calls=1")[0] == "success"

        def booked() -> bool:
            return client.ask("booking", b"seat", token="t")[0] == "success"

        until(booked, "a keyed request that is taken")
        counts = running.counters()
        assert counts.get("handover.unusable", 0) + counts.get("handover.refused", 0) >= 1, counts
        running.process.send_signal(signal.SIGTERM)
        assert running.process.wait(20) == 0


@pytest.mark.parametrize(
    "entry",
    [
        [0, "k", "served", "", float("nan"), 1e15],
        [0, "k", "served", "", 0, float("inf")],
        [0, "k", "served", "", 10**400, 1e15],
        [0, "k", "served", "", -1, 1e15],
    ],
)
def test_an_entry_whose_times_are_none_is_refused_whole(entry: list[Any]) -> None:
    with pytest.raises(HandoverRejectedError):
        decode(keys_file(entry), 0.0, 1)


@pytest.mark.parametrize("name", ["n3", "n.3", "n/3", "../n3", "é ß", "n" * 300])
def test_the_names_of_two_servers_share_no_file(tmp_path: Path, name: str) -> None:
    one, other = HandoverFolder(str(tmp_path), name), HandoverFolder(str(tmp_path), name + ".b")
    assert one.acquire_lock()
    assert other.acquire_lock()
    assert not HandoverFolder(str(tmp_path), name).acquire_lock()
    one.write_keys(encode(known_keys([((0, "k"), Answer(AnswerKind.SERVED, b"r"), 9.0)])))
    assert other.read_keys() is None
    assert decode(one.read_keys() or b"", 0.0, 1) == [KnownKey(0, "k", "served", b"r", 0.0, 9.0)]
    assert all(path.parent == tmp_path for path in tmp_path.rglob("*"))


def test_keys_that_are_left_between_two_looks_are_not_missed(tmp_path: Path) -> None:
    """The successor read the folder, then the old process left its keys and ended, then the successor saw it gone."""
    gate = Gate(
        tmp_path,
        "myrtlespar.handover.folder:HandoverFolder.acquire_lock",
        "calls.append(1) or len(calls) == 2",
        "calls = []",
    )
    port = free_port()
    (tmp_path / "old").mkdir()
    (tmp_path / "new").mkdir()
    with server_process(
        tmp_path / "old", mgmt=True, shared=tmp_path, given=KEYED_SETTINGS, listen=f"127.0.0.1:{port}"
    ) as old:
        assert ThriftClient(port).ask("booking", b"seat 1", token="t")[0] == "success"
        with server_process(
            tmp_path / "new",
            mgmt=True,
            shared=tmp_path,
            given={**KEYED_SETTINGS, "kernel": old.kernel.address},
            listen=f"127.0.0.1:{port}",
            start=gate.start,
            wait=False,
        ) as new:
            gate.reached(new)  # in its second look, with the old process alive in the first
            old.process.terminate()
            assert old.process.wait(20) == 0
            gate.open()
            until(lambda: new.event("serving"))
            until(
                lambda: new.event("hand-over taken: 1 keys")
                or new.event("the old process is gone; keys open without its hand-over")
            )
            assert new.event("hand-over taken: 1 keys") is not None
            client = reach(port)
            assert client.ask("booking", b"seat 1", token="t", again="1")[0] == "success"
        assert old.kernel.by_body[b"seat 1"] == 1


@pytest.mark.parametrize("which", ["listen", "mgmt"])
def test_an_address_that_an_earlier_life_still_holds_is_waited_for(tmp_path: Path, which: str) -> None:
    with socket.create_server(("127.0.0.1", 0), reuse_port=False) as holder:
        address, start = f"127.0.0.1:{holder.getsockname()[1]}", tmp_path / "telling.py"
        start.write_text(TELLS_A_TAKEN_ADDRESS)
        with server_process(tmp_path, given={which: address}, start=str(start), wait=False) as running:
            until(lambda: running.event("address taken") or running.process.poll() is not None)
            holder.close()
            serving = until(lambda: running.event("serving"), "start")
            assert ThriftClient(serving["ports"][0]).ask("fetch")[0] == "success"
            assert running.stop() == 0


TELLS_A_TAKEN_ADDRESS = """import os, runpy, sys
sys.path.insert(0, os.getcwd())
from gevent import socket
bind = socket.socket.bind
def telling(self, address):
    try:
        return bind(self, address)
    except OSError:
        os.write(1, b'{"event": "address taken"}\\n')
        raise
socket.socket.bind = telling
sys.argv[:] = ["myrtlespar"]
runpy.run_module("myrtlespar", run_name="__main__")
"""


def test_a_notice_to_leave_while_an_address_is_waited_for_is_heeded(tmp_path: Path) -> None:
    start = tmp_path / "telling.py"
    start.write_text(TELLS_A_TAKEN_ADDRESS)
    with socket.create_server(("127.0.0.1", 0)) as holder:
        address = f"127.0.0.1:{holder.getsockname()[1]}"
        with server_process(tmp_path, listen=address, start=str(start), wait=False) as running:
            until(lambda: running.event("address taken"))
            running.process.terminate()
            assert running.process.wait(5) == 0


def test_tcp_that_meets_itself_where_nobody_listens_is_no_connection() -> None:
    """On loopback a port from the range for outgoing connections that nobody listens on answers its own call, now and
    then: such a link never ends, and keeps the server that belongs there from listening.
    """
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1] & ~1  # connections get even ports first
    ended = time.monotonic() + 4
    while time.monotonic() < ended:
        with pytest.raises(OSError):
            connect(("127.0.0.1", port), 1000)


def test_few_descriptors_of_the_system_are_heeded(tmp_path: Path) -> None:
    """The system grants fewer than the platform's file names: places follow the smaller number."""
    with server_process(tmp_path) as running:
        assert ThriftClient(running.ports[0]).ask("fetch")[0] == "success"
    command = ["/bin/sh", "-c", f"ulimit -n 64; exec {sys.executable} -m myrtlespar"]
    (tmp_path / "few").mkdir()
    with server_process(tmp_path / "few", command=command) as running:
        clients = []
        for _ in range(90):  # more than there are descriptors; each is served, the idlest make room
            clients.append(ThriftClient(running.ports[0]))
            assert clients[-1].ask("fetch", b"calls=1")[0] == "success"
        soft, _ = resource.prlimit(running.process.pid, resource.RLIMIT_NOFILE)
        assert soft == 64
        assert not running.counters().get("uncaught")


@pytest.mark.parametrize(
    "given",
    [
        {"mgmt": None},
        {"limits": None},
        {"limits": {"cores": None, "memory_mb": None, "sockets": None}},
        {"stop_ms": None},
        {"stop_ms": 0},
        {"stop_ms": 0.5},
        {"seed": None},
        {"seed": "f" * 64},
        {"unknown": [1]},
        {"limits": {"memory_mb": 40.5, "sockets": 100.9}},
        {"name": "tile server/3 é"},
        {
            "settings": settings(
                classes=[
                    {"name": None, "effect": "free", "aim_ms": 100, "give_up_ms": 1000},
                    {"effect": "single_shot", "aim_ms": 100, "give_up_ms": 1e300},
                ]
            )
        },
    ],
    ids=lambda given: next(iter(given)),
)
def test_what_may_be_absent_null_fractional_or_unknown_is_no_obstacle(tmp_path: Path, given: dict[str, Any]) -> None:
    classes = given.get("settings", settings())["classes"]
    with server_process(tmp_path, given=given) as running:
        names = [row.get("name") or str(n) for n, row in enumerate(classes)]
        client = ThriftClient(running.ports[0])
        assert [client.ask(name, b"calls=1")[0] for name in names] == ["success"] * len(names)
        until(lambda: running.roster.reports)
        assert len(running.roster.reports[0][0].split("/")) == 3
        assert running.stop() == 0


def test_a_site_whose_classes_make_no_calls_needs_no_store(tmp_path: Path) -> None:
    given = settings()
    del given["family_info"]["calls_by_class"]
    config = {"name": "n", "listen": "127.0.0.1:0", "kernel": "127.0.0.1:1", "roster": "127.0.0.1:1"}
    assert refusal(tmp_path, json.dumps({**config, "settings": settings()})).startswith("store: missing")
    with server_process(tmp_path, given={"settings": given, "store": None}) as running:
        client = ThriftClient(running.ports[0])
        assert client.ask("order")[0] == "success"
        assert client.ask("fetch", b"calls=1")[0] in ("failed", "refused")  # it asks all the same: no call can run
        assert client.ask("order")[0] == "success"
        assert running.stop() == 0


@pytest.mark.parametrize(
    ("change", "text"),
    [
        ({"settings": settings(servers=10**400)}, "settings.servers:"),
        (
            {"settings": settings(classes=[{"effect": "free", "aim_ms": 10**400, "give_up_ms": 1}])},
            "settings.classes[0].aim_ms:",
        ),
        ({"stop_ms": 10**400}, "stop_ms:"),
        ({"seed": [[]]}, "seed:"),
    ],
)
def test_numbers_that_are_none_are_one_line_that_names_the_key(
    tmp_path: Path, change: dict[str, Any], text: str
) -> None:
    config = {
        "name": "n",
        "listen": "127.0.0.1:0",
        "kernel": "127.0.0.1:1",
        "store": "127.0.0.1:1",
        "roster": "127.0.0.1:1",
        "settings": settings(),
        **change,
    }
    assert refusal(tmp_path, json.dumps(config)).startswith(text)


def test_a_file_that_nests_without_end_is_one_line(tmp_path: Path) -> None:
    assert refusal(tmp_path, "[" * 200_000).startswith("BALANCER_CONFIG: not JSON")


def refusal(tmp: Path, text: str) -> str:
    """The one line with which the program refuses this file."""
    (tmp / "c.json").write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "myrtlespar"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, "BALANCER_CONFIG": str(tmp / "c.json")},
        check=False,
    )
    assert done.returncode == 2 and done.stderr.count("\n") == 1, done.stderr[-300:]
    return done.stderr
