"""Killed outright and started again at once, under load: what an earlier life left behind changes nothing."""

from __future__ import annotations

import contextlib
import time
from collections import Counter
from pathlib import Path

from myrtlespar.fakes import server_process, until
from myrtlespar.fakes.upstreams import FakeEngine
from tests.ports import free_port
from tests.traced_peers import TracedClient, TracedKernel

LIVES, CLIENTS = 5, 30


def crowd(port: int, kernel: FakeEngine, life: int) -> list[TracedClient]:
    """Clients that all connect at once and ask for much."""
    clients = [TracedClient(port) for _ in range(CLIENTS)]
    for n, client in enumerate(clients):
        with contextlib.suppress(OSError):
            for method in ("order", "fetch", "render"):
                client.request(method, b"life %d, %d, %s ms=%d calls=1" % (life, n, method.encode(), 5 + n))
    return clients


def test_lives_that_end_by_kill_leave_the_next_one_ready_and_nothing_to_run(tmp_path: Path) -> None:
    port, kernel = free_port(), TracedKernel()
    with server_process(tmp_path, listen=f"127.0.0.1:{port}", engine=kernel, wait=False) as running:
        everyone: list[TracedClient] = []
        ready_s: list[float] = []
        for life in range(LIVES):
            began = time.monotonic()
            until(lambda: running.event("serving") and running.event("kernel up"), "ready again")
            ready_s.append(time.monotonic() - began)
            probe = TracedClient(port)
            assert probe.answer(probe.request("order", b"probe %d" % life))[0] == "success"
            until(lambda: len(running.registry.reports) > life, "a report")  # noqa: B023
            everyone += [probe, *crowd(port, kernel, life)]
            until(lambda: any(b"life %d," % life in body for body in kernel.starts_by_body), "starts")  # noqa: B023
            if life < LIVES - 1:
                running.kill_and_start()
        last = everyone[-CLIENTS:]
        until(lambda: all(seq in client.answers for client in last for seq in client.sent), "all answers")
        assert running.stop() == 0
    assert max(ready_s) < 5.0, ready_s
    requests = {request.rid: request for client in everyone for request in client.sent.values()}
    starts = Counter(row["rid"] for row in kernel.history if row["t"] == "SCHED")
    assert set(starts) <= set(requests)
    assert set(starts.values()) == {1}
    life = -1
    for row in kernel.history:  # no life starts or answers for what another one was asked
        life += row["t"] == "OPEN" and row["no"] == 0
        if row["t"] in ("SCHED", "IODONE"):
            assert requests[row["rid"]].body.startswith((b"life %d," % life, b"probe %d" % life)), row
    assert all(count == 1 for client in everyone for count in client.count.values())
