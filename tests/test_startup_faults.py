"""Faults at the start: addresses in use, too few descriptors, and unusual configuration files."""

from __future__ import annotations

import json
import os
import resource
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from myrtlespar.fakes import ROOT, ThriftClient, server_process, settings, until
from myrtlespar.net.connections import connect
from tests.platform_configuration import minimal_configuration


@pytest.mark.parametrize("which", ["listen", "mgmt"])
def test_an_address_that_an_earlier_process_still_holds_is_waited_for(tmp_path: Path, which: str) -> None:
    with socket.create_server(("127.0.0.1", 0), reuse_port=False) as holder:
        address = f"127.0.0.1:{holder.getsockname()[1]}"
        start = tmp_path / "prints_address_taken.py"
        start.write_text(PRINTS_ADDRESS_TAKEN)
        with server_process(tmp_path, given={which: address}, start=str(start), wait=False) as running:
            until(lambda: running.event("address taken") or running.process.poll() is not None)
            holder.close()
            serving = until(lambda: running.event("serving"), "start")
            assert ThriftClient(serving["ports"][0]).ask("fetch")[0] == "success"
            assert running.stop() == 0


PRINTS_ADDRESS_TAKEN = """import os, runpy, sys
sys.path.insert(0, os.getcwd())
from gevent import socket
bind = socket.socket.bind
def bind_and_print(self, address):
    try:
        return bind(self, address)
    except OSError:
        os.write(1, b'{"event": "address taken"}\\n')
        raise
socket.socket.bind = bind_and_print
sys.argv[:] = ["myrtlespar"]
runpy.run_module("myrtlespar", run_name="__main__")
"""


def test_a_shutdown_signal_while_an_address_is_waited_for_ends_the_process(tmp_path: Path) -> None:
    start = tmp_path / "prints_address_taken.py"
    start.write_text(PRINTS_ADDRESS_TAKEN)
    with socket.create_server(("127.0.0.1", 0)) as holder:
        address = f"127.0.0.1:{holder.getsockname()[1]}"
        with server_process(tmp_path, listen=address, start=str(start), wait=False) as running:
            until(lambda: running.event("address taken"))
            running.process.terminate()
            assert running.process.wait(5) == 0


def can_connect(port: int) -> bool:
    """Return whether a connection to this port of the loopback address succeeds."""
    try:
        connect(("127.0.0.1", port), 1000)
    except OSError:
        return False
    return True


def test_a_tcp_self_connection_is_rejected() -> None:
    """A connection to an unused loopback port may get that same port as its local port, and so connect to itself.

    Such a connection never ends, and prevents the server of that address from listening.
    """
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        port = bound.getsockname()[1] & ~1  # the system assigns even local ports first
    end = time.monotonic() + 4
    while time.monotonic() < end:
        assert not can_connect(port)


def test_a_low_descriptor_limit_of_the_system_is_respected(tmp_path: Path) -> None:
    """The system allows fewer descriptors than the configuration: the smaller number limits the connections."""
    with server_process(tmp_path) as running:
        assert ThriftClient(running.ports[0]).ask("fetch")[0] == "success"
    command = ["/bin/sh", "-c", f"ulimit -n 64; exec {sys.executable} -m myrtlespar"]
    (tmp_path / "few").mkdir()
    with server_process(tmp_path / "few", command=command) as running:
        clients = []
        for _ in range(90):  # more than there are descriptors; each is served, and the longest idle ones are closed
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
def test_keys_may_be_absent_null_fractional_or_unknown(tmp_path: Path, given: dict[str, Any]) -> None:
    classes = given.get("settings", settings())["classes"]
    with server_process(tmp_path, given=given) as running:
        names = [row.get("name") or str(n) for n, row in enumerate(classes)]
        client = ThriftClient(running.ports[0])
        assert [client.ask(name, b"calls=1")[0] for name in names] == ["success"] * len(names)
        until(lambda: running.registry.reports)
        assert len(running.registry.reports[0][0].split("/")) == 3
        assert running.stop() == 0


def test_a_site_whose_classes_make_no_calls_needs_no_dependency(tmp_path: Path) -> None:
    given = settings()
    del given["family_info"]["calls_by_class"]
    config = {"name": "n", "listen": "127.0.0.1:0", "kernel": "127.0.0.1:1", "roster": "127.0.0.1:1"}
    assert startup_error(tmp_path, json.dumps({**config, "settings": settings()})).startswith("store: missing")
    with server_process(tmp_path, given={"settings": given, "store": None}) as running:
        client = ThriftClient(running.ports[0])
        assert client.ask("order")[0] == "success"
        # The run requests a call, which can't be made.
        assert client.ask("fetch", b"calls=1")[0] in ("failed", "refused")
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
def test_an_invalid_number_is_one_error_line_that_names_the_key(
    tmp_path: Path, change: dict[str, Any], text: str
) -> None:
    config = minimal_configuration(change)
    assert startup_error(tmp_path, json.dumps(config)).startswith(text)


def test_a_deeply_nested_file_is_one_error_line(tmp_path: Path) -> None:
    assert startup_error(tmp_path, "[" * 200_000).startswith("BALANCER_CONFIG: not JSON")


def startup_error(tmp: Path, text: str) -> str:
    """Return the one line on standard error with which the program rejects this configuration file."""
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
    assert done.returncode == 2, done.stderr[-300:]
    assert done.stderr.count("\n") == 1, done.stderr[-300:]
    return done.stderr
