"""Peers that send faster than they are read."""

from __future__ import annotations

import contextlib
import json
import threading
import time
from pathlib import Path

import pytest

from myrtlespar.fakes import ServerProcess, ThriftClient, server_process, until


@pytest.mark.parametrize("who", ["kernel", "store", "roster", "client"])
def test_a_peer_that_sends_without_end_holds_up_nobody_else(tmp_path: Path, who: str) -> None:
    """It sends faster than it is read: a reader that never waits lets nothing else run."""
    with server_process(tmp_path) as running:
        client = ThriftClient(running.ports[0])
        assert client.ask("fetch", b"calls=1")[0] == "success"
        flood(running, who)
        for _ in range(3):
            sent = time.time()
            # What it asks the engine stands behind the flood in one line: due in 2.7 s, like any other request.
            assert client.ask("fetch")[0] in ("success", "refused")
            assert time.time() - sent < 2.7 + 0.3
        assert running.stop() == 0


def flood(running: ServerProcess, who: str) -> None:
    """Begin to send without end, from a process's thread of its own."""
    remark = json.dumps({"t": "DMESG", "status": "x"}).encode() + b"\n"
    if who == "client":
        sock = ThriftClient(running.ports[0]).sock
        data = b"\xff" * 65536
    elif who == "roster":
        running.registry.mode = "silent"
        sock = until(lambda: [link for link in running.registry.links if link.fileno() >= 0])[-1]
        data = b"HTTP/1.1 204 No Content\r\n" + b"X-More: 1\r\n" * 6000
    elif who == "store":
        sock = running.dependency.links[-1]
        data = b"ffff BUSY\r\n" * 6000
    else:
        assert running.engine.link
        sock = running.engine.link
        data = remark * 2000

    lock = running.engine.lock if who == "kernel" else threading.Lock()

    def send() -> None:
        with contextlib.suppress(OSError):
            while True:
                with lock:  # whole lines, between those that belong there
                    sock.sendall(data)
                time.sleep(0.0001)

    threading.Thread(target=send, daemon=True).start()
