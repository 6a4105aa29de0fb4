"""The operators' commands on the management address: replies, errors, and PAUSE."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from myrtlespar.admin.commands import MAX_LINE_BYTES, AdminCommands, AdminReply
from myrtlespar.fakes import ROOT, ThriftClient, server_process, settings


def test_commands_are_confirmed_and_invalid_lines_get_an_error() -> None:
    commands = AdminCommands()
    assert commands.handle_line(b"STATUS", 0.0, ready=False) == AdminReply(b"done no\n", close_connection=False)
    assert commands.handle_line(b"STATUS\r", 0.0, ready=True) == AdminReply(b"done yes\n", close_connection=False)
    # A RESUME without a PAUSE before is not an error.
    assert commands.handle_line(b"RESUME", 1.0, True).data.startswith(b"done")
    assert commands.handle_line(b"PAUSE", 2.0, True).data == b"done paused\n"
    assert commands.paused
    assert commands.paused_at == 2.0
    assert commands.handle_line(b"PAUSE", 3.0, True).data.startswith(b"done")
    assert commands.paused_at == 2.0
    assert commands.pause_count == 1
    assert not commands.is_healthy(True)
    assert commands.handle_line(b"RESUME", 4.0, True).data == b"done resumed\n"
    assert commands.is_healthy(True)
    assert not commands.is_healthy(False)
    assert commands.handle_line(b"", 5.0, True) == AdminReply(b"error empty line\n", close_connection=False)
    assert commands.handle_line(b"FLY away", 5.0, True) == AdminReply(
        b"error unknown call 'FLY away'\n", close_connection=False
    )
    assert commands.handle_line(b"X" * (MAX_LINE_BYTES + 1), 5.0, True) == AdminReply(
        b"error line longer than 256 bytes\n", close_connection=True
    )


def ask_admin_server(port: int, data: bytes) -> tuple[bytes, float]:
    """Return the reply to some bytes, and how many seconds it took."""
    began = time.monotonic()
    with socket.create_connection(("127.0.0.1", port), timeout=5) as sock:
        sock.sendall(data)
        reply = b""
        while chunk := sock.recv(65536):
            reply += chunk
    return reply, time.monotonic() - began


def test_commands_are_answered_despite_partial_lines_and_client_load(tmp_path: Path) -> None:
    with server_process(tmp_path, mgmt=True) as server:
        assert server.mgmt is not None
        assert server.ask(b"STATUS\n") == "done yes\n"
        partial_lines = [socket.create_connection(("127.0.0.1", server.mgmt)) for _ in range(50)]
        for connection in partial_lines:
            connection.sendall(b"STA")
        clients = [ThriftClient(server.ports[0]) for _ in range(4)]
        sent = [(client, client.send("render", b"ms=300")) for client in clients for _ in range(32)]
        waits = [ask_admin_server(server.mgmt, b"STATUS\n") for _ in range(10)]
        assert all(reply == b"done yes\n" for reply, _ in waits)
        assert max(took for _, took in waits) < 1.0, waits
        assert all(client.answer(seq)[0] for client, seq in sent)
        for connection in partial_lines:
            connection.close()
        reply, _ = ask_admin_server(server.mgmt, b"Z" * 400 + b"\n")
        assert reply.startswith(b"error line longer")


def test_health_checks_fail_at_once_after_pause_and_succeed_after_resume(tmp_path: Path) -> None:
    with server_process(tmp_path, mgmt=True) as server:
        client = ThriftClient(server.ports[0])
        assert client.answer(client.send_message("ping", full=True))[1].good
        assert server.ask(b"PAUSE\n") == "done paused\n"
        assert not client.answer(client.send_message("ping", full=True))[1].good
        assert client.ask("render", b"ms=5")[0] == "success"  # requests are still served
        assert server.ask(b"PAUSE\n").startswith("done")
        assert server.ask(b"RESUME\n") == "done resumed\n"
        assert client.answer(client.send_message("ping", full=True))[1].good


@pytest.mark.parametrize("value", ["nowhere", "taken"])
def test_an_unusable_management_address_is_one_error_line_and_exit_code_2(tmp_path: Path, value: str) -> None:
    config = {
        "name": "n",
        "listen": "127.0.0.1:0",
        "kernel": "127.0.0.1:9",
        "store": "127.0.0.1:9",
        "roster": "127.0.0.1:9",
        "seed": "1",
        "settings": settings(),
        "mgmt": value,
    }
    taken = socket.create_server(("127.0.0.1", 0))
    if value == "taken":
        config["mgmt"] = f"127.0.0.1:{taken.getsockname()[1]}"
    (tmp_path / "c.json").write_text(json.dumps(config))
    env = {**os.environ, "BALANCER_CONFIG": str(tmp_path / "c.json")}
    done = subprocess.run(
        [sys.executable, "-m", "myrtlespar"], cwd=ROOT, env=env, capture_output=True, text=True, timeout=60, check=False
    )
    assert done.returncode == 2, done.stderr
    assert done.stderr.startswith("mgmt"), done.stderr
    assert done.stderr.count("\n") == 1, done.stderr
    taken.close()
