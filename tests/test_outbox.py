"""Limits on unsent bytes, of one connection and of several together, and the send timeout."""

from __future__ import annotations

import contextlib
import os
import time

import gevent
from gevent import socket

from myrtlespar.net.outbox import Outbox, OutboxBudget


def test_many_peers_that_do_not_read_hold_no_more_than_their_budget_together() -> None:
    budget = OutboxBudget(100_000)
    pairs = [socket.socketpair() for _ in range(8)]
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


def test_a_peer_that_reads_while_the_process_is_paused_loses_nothing() -> None:
    """A pause of this process is not taken for a peer that does not read: gevent handles sockets before timeouts."""
    ours, peer = socket.socketpair()
    outbox = Outbox(ours, 4_000_000, 200.0)
    messages = [bytes([number]) * 50_000 for number in range(60)]
    for message in messages:
        assert outbox.put(message)
    gevent.sleep(0.05)  # the writer has filled the socket's buffer and waits
    received = bytearray()
    time.sleep(0.5)  # longer than the send timeout; no greenlet runs
    with contextlib.suppress(BlockingIOError):  # meanwhile the peer reads all that was sent
        while True:
            received += os.read(peer.fileno(), 100_000)
    gevent.sleep(0.02)  # some turns of the event loop
    assert not outbox.closed
    while len(received) < sum(map(len, messages)):
        received += peer.recv(100_000)
    assert bytes(received) == b"".join(messages)


def test_a_peer_that_never_reads_is_closed_after_the_send_timeout() -> None:
    ours, _peer = socket.socketpair()
    outbox = Outbox(ours, 4_000_000, 200.0)
    outbox.put(b"x" * 3_000_000)
    began = time.monotonic()
    while not outbox.closed:
        assert time.monotonic() - began < 5.0
        gevent.sleep(0.01)
    assert time.monotonic() - began >= 0.2
