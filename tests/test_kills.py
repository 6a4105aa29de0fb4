"""The process is killed under load and restarted at once: what an earlier process left behind has no effect."""

from __future__ import annotations

import contextlib
import time
from collections import Counter
from pathlib import Path

from myrtlespar.fakes import server_process, until
from myrtlespar.fakes.upstreams import FakeEngine
from tests.ports import free_port
from tests.traced_peers import TracedClient, TracedEngine

PROCESS_COUNT, CLIENT_COUNT = 5, 30


def send_load(port: int, engine: FakeEngine, process_number: int) -> list[TracedClient]:
    """Connect many clients at once, each of which sends a request of every class."""
    clients = [TracedClient(port) for _ in range(CLIENT_COUNT)]
    for n, client in enumerate(clients):
        with contextlib.suppress(OSError):
            for method in ("order", "fetch", "render"):
                client.request(
                    method, b"process %d, %d, %s ms=%d calls=1" % (process_number, n, method.encode(), 5 + n)
                )
    return clients


def test_after_a_kill_the_next_process_is_soon_ready_and_runs_only_its_own_requests(tmp_path: Path) -> None:
    port, engine = free_port(), TracedEngine()
    with server_process(tmp_path, listen=f"127.0.0.1:{port}", engine=engine, wait=False) as running:
        all_clients: list[TracedClient] = []
        ready_s: list[float] = []
        for process_number in range(PROCESS_COUNT):
            began = time.monotonic()
            until(lambda: running.event("serving") and running.event("kernel up"), "ready again")
            ready_s.append(time.monotonic() - began)
            probe = TracedClient(port)
            assert probe.answer(probe.request("order", b"probe %d" % process_number))[0] == "success"
            until(lambda: len(running.registry.reports) > process_number, "a report")  # noqa: B023
            all_clients += [probe, *send_load(port, engine, process_number)]
            until(lambda: any(b"process %d," % process_number in body for body in engine.starts_by_body), "starts")  # noqa: B023
            if process_number < PROCESS_COUNT - 1:
                running.kill_and_start()
        last = all_clients[-CLIENT_COUNT:]
        until(lambda: all(seq in client.answers for client in last for seq in client.sent), "all answers")
        assert running.stop() == 0
    assert max(ready_s) < 5.0, ready_s
    requests = {request.rid: request for client in all_clients for request in client.sent.values()}
    starts = Counter(row["rid"] for row in engine.history if row["t"] == "SCHED")
    assert set(starts) <= set(requests)
    assert set(starts.values()) == {1}
    process_number = -1
    for row in engine.history:  # no process sends a command for a request that another one received
        process_number += row["t"] == "OPEN" and row["no"] == 0
        if row["t"] in ("SCHED", "IODONE"):
            assert requests[row["rid"]].body.startswith(
                (b"process %d," % process_number, b"probe %d" % process_number)
            ), row
    assert all(count == 1 for client in all_clients for count in client.count.values())
