"""Bounds on unsent bytes: of one connection, and of many together."""

from __future__ import annotations

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
