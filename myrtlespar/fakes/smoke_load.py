"""A short mixed load on the real program over both fronts, with a verdict on every invariant."""

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
SLACK_MS = 1000.0  # for a machine that runs both sides
MAX_OUTSTANDING = 30  # requests on one client connection
POLL_S = 0.005


@dataclass(slots=True)
class RequestRecord:
    """One request and its outcome. Times are Unix milliseconds."""

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
    """All requests that were sent, from several threads."""

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
        except (OSError, EOFError):  # the drain closes what carries nothing
            out.rows.remove(row)
            return
        row.outcome = STATUS.get(status, str(status))
        row.answered = time.time() * 1000
        row.answers = 1
        row.result = result
        if not reuse:
            return


def run_smoke_load(requests: int, seed: int, keep: Path | None) -> int:
    """Send the load, drain the server and print a table.

    Args:
        requests: The number of requests over both fronts.
        seed: Of the random source for classes, pauses and lengths of runs.
        keep: Where to write the server's log, if anywhere.

    Returns:
        0 if every invariant held, else 1.
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
        return _verdict(out.rows, server, status)


def _plan(requests: int, seed: int) -> list[tuple[str, bytes, float]]:
    """Class, body, and the pause in seconds before each request."""
    random_source = random.Random(seed)
    return [
        (
            random_source.choices([row[0] for row in CLASSES], [47, 36, 17])[0],
            f"n={n} ms={random_source.randrange(5, 90)} calls={random_source.randrange(3)}".encode(),
            random_source.uniform(0, 0.02),
        )
        for n in range(requests)
    ]


def _broken_rules(rows: list[RequestRecord], server: ServerProcess, status: int) -> dict[str, int]:
    """How often each invariant was broken."""
    due = {name: give_up for name, _, _, give_up, _ in CLASSES}
    starts = server.engine.starts_by_body
    return {
        "one final answer each": sum(row.answers != 1 for row in rows),
        "by the due time": sum(row.answered > row.sent + due[row.cls] + SLACK_MS for row in rows),
        "orders run once at the most": sum(starts[row.body] > 1 for row in rows if row.cls == "order"),
        "what ran is not refused": sum(row.outcome == "refused" and starts[row.body] > 0 for row in rows),
        "served is what the run made": sum(
            row.outcome == "served" and row.result != b"result of " + row.body for row in rows
        ),
        "the drain ends well": int(status != 0),
        "no impossible step": sum(
            count
            for name, count in (server.event("counters") or {}).items()
            if name.startswith("impossible.") and isinstance(count, int)
        ),
    }


def _verdict(rows: list[RequestRecord], server: ServerProcess, status: int) -> int:
    rules = _broken_rules(rows, server, status)
    console = Console()
    table = Table(title="A burst against the real server, drained at its end")
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
    for name, broken in rules.items():
        console.print(f"{'held  ' if not broken else 'BROKEN'} {name}{f': {broken} times' if broken else ''}")
    return int(any(rules.values()))
