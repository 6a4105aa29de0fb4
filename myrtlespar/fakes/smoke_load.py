"""A short mixed load on the real program over both fronts, with a check of invariants."""

from __future__ import annotations

import json
import random
import tempfile
import threading
import time
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

from rich.console import Console
from rich.table import Table

from myrtlespar.fakes.ajp_peers import FakeGateway
from myrtlespar.fakes.server_process import CLASSES, ServerProcess, server_process
from myrtlespar.fakes.thrift_client import ThriftClient

OPERATOR = """
[idempotency]
ajp_header = "Idempotency-Key"
thrift_field = "idem"
[ajp]
listen = "127.0.0.1:0"
secret = "s3"
[[ajp.map]]
path = "/render"
class = "render"
[[ajp.map]]
path = "/fetch"
class = "fetch"
[[ajp.map]]
path = "/order"
class = "order"
worth = 0.8
[trace]
transitions = true
"""
STATUS = {200: "served", 503: "refused", 500: "failed", 504: "failed"}
SLACK_MS = 1000.0  # allowance for the delays of a machine that runs clients, engine and server at once
MAX_OUTSTANDING = 30  # unanswered requests on one client connection
POLL_S = 0.005


@dataclass(slots=True)
class RequestRecord:
    """One request and its outcome. Times are Unix ms."""

    front: str
    cls: str
    body: bytes
    sent: float
    outcome: str = "none"
    answered: float = 0.0
    answers: int = 0
    result: bytes = b""


@dataclass(slots=True)
class SmokeLoad:
    """The requests sent by all client threads."""

    rows: list[RequestRecord] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def add(self, row: RequestRecord) -> RequestRecord:
        """Add a request and return it."""
        with self.lock:
            self.rows.append(row)
        return row


def _gateway(port: int, plan: list[tuple[str, bytes, float]], out: SmokeLoad) -> None:
    gateway = FakeGateway(port)
    for cls, body, pause in plan:
        time.sleep(pause)
        row = out.add(RequestRecord("ajp", cls, body, time.time() * 1000))
        try:
            status, _, result, reuse = gateway.ask(f"/{cls}", body)
        except (OSError, EOFError):  # a draining server closes idle connections
            out.rows.remove(row)
            return
        row.outcome = STATUS.get(status, str(status))
        row.answered = time.time() * 1000
        row.answers = 1
        row.result = result
        if not reuse:
            return


def run_smoke_load(requests: int, seed: int, keep: Path | None) -> int:
    """Send the load, drain the server, and print a table of outcomes and the invariants.

    Args:
        requests: The total number of requests.
        seed: The seed for classes, pauses and lengths of runs.
        keep: The file to write the server's log to; None: it is discarded.

    Returns:
        The exit status: 0 if every invariant held, else 1.
    """
    out = SmokeLoad()
    with tempfile.TemporaryDirectory() as tmp, server_process(Path(tmp), operator=OPERATOR) as server:
        plan = _plan(requests, seed)
        third = len(plan) // 3
        gateways = [threading.Thread(target=_gateway, args=(server.ports[1], plan[n:third:2], out)) for n in (0, 1)]
        for thread in gateways:
            thread.start()
        client = ThriftClient(server.ports[0])
        sent: dict[int, RequestRecord] = {}
        for cls, body, pause in plan[third:]:
            time.sleep(pause)
            while len(sent) - len(client.answers) >= MAX_OUTSTANDING:
                time.sleep(POLL_S)
            sent[client.send(cls, body)] = out.add(RequestRecord("thrift", cls, body, time.time() * 1000))
        status = server.stop()
        client.ended.wait(5)
        for thread in gateways:
            thread.join(10)
        for seq, row in sent.items():
            kind, answer = client.answers.get(seq, ("none", None))
            row.outcome = {"success": "served"}.get(kind, kind)
            row.answered = client.times.get(seq, 0.0)
            row.answers = client.count[seq]
            row.result = answer.body if kind == "success" else b""
        if keep is not None:
            keep.write_text("".join(json.dumps(row) + "\n" for row in server.log))
        return _print_results(out.rows, server, status)


def _plan(requests: int, seed: int) -> list[tuple[str, bytes, float]]:
    """Return class, body, and the pause before it in seconds for each request."""
    random_source = random.Random(seed)
    return [
        (
            random_source.choices([row[0] for row in CLASSES], [47, 36, 17])[0],
            f"n={n} ms={random_source.randrange(5, 90)} calls={random_source.randrange(3)}".encode(),
            random_source.uniform(0, 0.02),
        )
        for n in range(requests)
    ]


def _violations(rows: list[RequestRecord], server: ServerProcess, status: int) -> dict[str, int]:
    """Return the number of violations of each invariant."""
    due = {name: give_up for name, _, _, give_up, _ in CLASSES}
    starts = server.engine.starts_by_body
    return {
        "one final answer for each request": sum(row.answers != 1 for row in rows),
        "answers by the due time": sum(row.answered > row.sent + due[row.cls] + SLACK_MS for row in rows),
        "orders run at most once": sum(starts[row.body] > 1 for row in rows if row.cls == "order"),
        "no started request is refused": sum(row.outcome == "refused" and starts[row.body] > 0 for row in rows),
        "served answers hold the result of the run": sum(
            row.outcome == "served" and row.result != b"result of " + row.body for row in rows
        ),
        "the drain ends with exit status 0": int(status != 0),
        "no impossible state transition": sum(
            count
            for name, count in (server.event("counters") or {}).items()
            if name.startswith("impossible.") and isinstance(count, int)
        ),
    }


def _print_results(rows: list[RequestRecord], server: ServerProcess, status: int) -> int:
    violations = _violations(rows, server, status)
    console = Console()
    table = Table(title="Mixed load on the real server, with a drain at the end")
    for name in ("class", "front", "served", "refused", "failed", "median ms", "slowest ms"):
        table.add_column(name, justify="left" if name in ("class", "front") else "right")
    groups: dict[tuple[str, str], list[RequestRecord]] = defaultdict(list)
    for row in rows:
        groups[row.cls, row.front].append(row)
    for (cls, front), group in sorted(groups.items()):
        times = sorted(row.answered - row.sent for row in group)
        table.add_row(
            cls,
            front,
            *(str(sum(row.outcome == kind for row in group)) for kind in ("served", "refused", "failed")),
            f"{times[len(times) // 2]:.0f}",
            f"{times[-1]:.0f}",
        )
    console.print(table)
    for name, broken in violations.items():
        console.print(f"{'held  ' if not broken else 'BROKEN'} {name}{f': {broken} times' if broken else ''}")
    return int(any(violations.values()))
