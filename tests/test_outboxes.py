"""Peers that do not read: what waits for them is bounded, one by one and together."""

from __future__ import annotations

import signal
import time
from pathlib import Path

import gevent
from gevent import socket

from myrtlespar.fakes import ThriftClient, server_process, until
from myrtlespar.net.outbox import Outbox, OutboxBudget
from tests.gates import Gate


def test_many_peers_that_do_not_read_hold_no_more_than_their_share_together() -> None:
    budget, pairs = OutboxBudget(100_000), [socket.socketpair() for _ in range(8)]
    outboxes = [Outbox(sock, 65_536, 5000.0, budget=budget) for sock, _ in pairs]
    message = b"x" * 4096
    for _ in range(1000):
        for outbox in outboxes:
            outbox.put(message)
        assert 0 <= budget.used_bytes <= budget.max_bytes
    gevent.sleep(0)
    assert all(outbox.closed for outbox in outboxes)
    assert budget.used_bytes == 0
    reader_and_writer = socket.socketpair()
    fast = Outbox(reader_and_writer[0], 65_536, 5000.0, budget=budget)
    for _ in range(100):
        assert fast.put(message)
        assert len(reader_and_writer[1].recv(4096, socket.MSG_WAITALL)) == 4096
    assert budget.used_bytes == 0
    assert not fast.closed


def test_a_kernel_whose_answers_came_while_the_process_stood_still_is_not_taken_for_silent(tmp_path: Path) -> None:
    """The watch may run before the reader: it found no answer for as long as the pause, and ended a link that was
    well, with the orders on it.
    """
    gate = Gate(
        tmp_path,
        "myrtlespar.net.engine_client:EngineClient.move",
        "False",  # it holds nothing up: for `first` alone
        "import dataclasses, myrtlespar.config.platform_file as c; f = c.size_limits\n"
        "c.size_limits = lambda *args: dataclasses.replace(f(*args), engine_silence_timeout_ms=400.0)",
    )
    with server_process(tmp_path, start=gate.start) as running:
        client = ThriftClient(running.ports[0])
        for _ in range(6):
            assert client.ask("fetch", b"ms=1")[0] == "success"
            running.process.send_signal(signal.SIGSTOP)
            time.sleep(0.7)  # the pause itself
            running.process.send_signal(signal.SIGCONT)
        assert client.ask("fetch", b"ms=1")[0] == "success"
        until(lambda: running.event("kernel up"))
        assert [row["t"] for row in running.kernel.commands].count("OPEN") == 1


def test_a_kernel_whose_answers_wait_to_be_read_is_not_taken_for_silent(tmp_path: Path) -> None:
    """The same, forced: the reader is always later than the watch."""
    slow_reader = """import gevent, myrtlespar.net.socket_reader as readers
receive = readers.SocketReader._receive
def late(self):
    if self._max_line_bytes > 100_000:  # the engine's
        gevent.sleep(0.7)
    return receive(self)
readers.SocketReader._receive = late
import dataclasses, myrtlespar.config.platform_file as c; f = c.size_limits
c.size_limits = lambda *args: dataclasses.replace(f(*args), engine_silence_timeout_ms=400.0)"""
    gate = Gate(tmp_path, "myrtlespar.net.engine_client:EngineClient.move", "False", slow_reader)
    with server_process(tmp_path, start=gate.start) as running:
        client = ThriftClient(running.ports[0])
        assert client.ask("order", b"ms=1")[0] == "success"
        assert client.ask("render", b"ms=1")[0] == "success"
        assert [row["t"] for row in running.kernel.commands].count("OPEN") == 1
