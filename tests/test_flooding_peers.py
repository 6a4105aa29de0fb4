"""Peers that send faster than the server reads must not delay other requests."""

from __future__ import annotations

import contextlib
import json
import threading
import time
from pathlib import Path

import pytest

from myrtlespar.fakes import ServerProcess, ThriftClient, server_process, until


@pytest.mark.parametrize("peer", ["kernel", "store", "roster", "client"])
def test_a_peer_that_sends_without_end_holds_up_nobody_else(tmp_path: Path, peer: str) -> None:
    """A reader that always finds data never waits, and so would let no other greenlet run."""
    with server_process(tmp_path) as running:
        client = ThriftClient(running.ports[0])
        assert client.ask("fetch", b"calls=1")[0] == "success"
        flood(running, peer)
        for _ in range(3):
            sent = time.time()
            # The engine's notices about this request may queue behind the flood; the answer is due in 2.7 s even so.
            assert client.ask("fetch")[0] in ("success", "refused")
            assert time.time() - sent < 2.7 + 0.3
        assert running.stop() == 0


def flood(running: ServerProcess, peer: str) -> None:
    """Start a thread that sends to the server without end, in the role of `peer`."""
    engine_line = json.dumps({"t": "DMESG", "status": "x"}).encode() + b"\n"
    if peer == "client":
        sock = ThriftClient(running.ports[0]).sock
        data = b"\xff" * 65536
    elif peer == "roster":
        running.registry.mode = "silent"
        sock = until(lambda: [link for link in running.registry.links if link.fileno() >= 0])[-1]
        data = b"HTTP/1.1 204 No Content\r\n" + b"X-More: 1\r\n" * 6000
    elif peer == "store":
        sock = running.dependency.links[-1]
        data = b"ffff BUSY\r\n" * 6000
    else:
        assert running.engine.link
        sock = running.engine.link
        data = engine_line * 2000

    lock = running.engine.lock if peer == "kernel" else threading.Lock()

    def send() -> None:
        with contextlib.suppress(OSError):
            while True:
                with lock:  # not within a line that the fake engine sends itself
                    sock.sendall(data)
                time.sleep(0.0001)

    threading.Thread(target=send, daemon=True).start()
