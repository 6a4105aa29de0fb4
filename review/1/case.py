"""A process with a full table of keys and one slow request is replaced: it is killed before it has written its keys."""

from __future__ import annotations

import base64
import os
import threading
import time
from pathlib import Path
from typing import Any

from myrtlespar.fakes.server_process import ServerProcess
from myrtlespar.fakes.upstreams import FakeEngine
from review.common.case import Case, CaseNotRunError, free_address, port_of, run_case
from review.common.client import RecordedClient
from review.common.site import site_settings

KEYS = 4096  # `most` in deploy/ajp.toml
REMEMBER_S = 60.0  # `remember_ms` there
OPERATOR = f'[idempotency]\nthrift_field = "idem"\nremember_ms = {REMEMBER_S * 1000:.0f}\nmost = {KEYS}\n'
RESULT_BYTES = 4096  # the longest result that the protocol allows
ORDERS_PER_S = 190.0  # the first tries that a tile server receives
CONNECTIONS = 8
TRIES = 40  # of one order, while it is refused
SLOW_RUN = b"ms=5000 slow"  # of a render, whose deadline is 6.1 s
READY_LIMIT_S = 6.0  # SIGTERM reaches the old process within this time
MAX_DEADLINE_S = 3.0  # the longest deadline counts as this much, if it is longer
KILL_MARGIN_S = 0.7
REPEATED = range(KEYS - 5, KEYS)  # the orders that are sent again


class Kernel(FakeEngine):
    """A kernel whose successful runs have results of the greatest length."""

    def note(self, **row: Any) -> None:
        """Send a notice; a result is filled up."""
        if row.get("status") == "PASS":
            row["b64"] = base64.b64encode(base64.b64decode(row["b64"]).ljust(RESULT_BYTES, b".")).decode()
        super().note(**row)


def body_of(number: int) -> bytes:
    """Return the body of an order."""
    return b"ms=1 order %d" % number


def send_orders(case: Case, port: int, begin_at: float, numbers: range, keys: list[str], served: list[int]) -> None:
    """Send these orders over one connection, each at its time, and again while it is refused."""
    client = RecordedClient(case, f"client proxy {numbers.start}", port, peer=numbers.start)
    for number in numbers:
        time.sleep(max(0.0, begin_at + number / ORDERS_PER_S - time.monotonic()))
        for attempt in range(TRIES):
            again = {"again": "1"} if attempt else {}
            if client.ask_briefly("order", body_of(number), idem=keys[number], **again) != "refused":
                served.append(number)
                break
            time.sleep(0.05)
    client.close()


def fill(case: Case, server: ServerProcess, port: int, keys: list[str]) -> None:
    """Have the server run all orders."""
    served: list[int] = []
    begin_at = time.monotonic()
    threads = [
        threading.Thread(target=send_orders, args=(case, port, begin_at, range(n, KEYS, CONNECTIONS), keys, served))
        for n in range(CONNECTIONS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    taken_s = time.monotonic() - begin_at
    runs = sum(server.engine.starts_by_body[body_of(number)] for number in range(KEYS))
    case.note(f"{len(served)} orders were answered in {taken_s:.1f} s, {runs} were run")
    if runs != KEYS or taken_s > REMEMBER_S - 15.0:
        raise CaseNotRunError("the orders were not run once each in time")


def play(case: Case) -> None:
    """Fill the table of keys, replace the process, and repeat some orders."""
    shared = case.folder / "shared"
    shared.mkdir()
    listen = free_address()
    port = port_of(listen)
    given = {"settings": site_settings()}
    kernels = [Kernel(), Kernel()]
    old = case.start_server(
        "old", given=given, listen=listen, shared=shared, mgmt=True, engine=kernels[0], operator=OPERATOR
    )
    keys = [os.urandom(16).hex() for _ in range(KEYS)]
    fill(case, old, port, keys)
    slow = RecordedClient(case, "slow client proxy", port)
    slow_number = slow.send("render", SLOW_RUN)
    while kernels[0].starts_by_body[SLOW_RUN] == 0:
        if slow.thrift.answers:
            raise CaseNotRunError("the slow request does not run")
        time.sleep(0.01)
    if case.trouble:
        started_at = time.monotonic()
        new = case.start_server(
            "new", given=given, listen=listen, shared=shared, mgmt=True, engine=kernels[1], operator=OPERATOR
        )
        while new.ask(b"STATUS\n") != "done yes\n":
            if time.monotonic() > started_at + READY_LIMIT_S:
                raise CaseNotRunError("the new process does not say yes in time")
            time.sleep(0.02)
        case.note("new: says yes to STATUS")
        case.stop_as_the_platform("old", old, MAX_DEADLINE_S + KILL_MARGIN_S)
    slow.wait(slow_number, 6.3)
    for number in REPEATED:
        repeat = RecordedClient(case, "client proxy, new connection", port)
        kind = "refused"
        for _ in range(TRIES):
            kind = repeat.wait(repeat.send("order", body_of(number), idem=keys[number], again="1"), 5.0)
            if kind != "refused":
                break
            time.sleep(0.05)
        repeat.close()
        runs = sum(kernel.starts_by_body[body_of(number)] for kernel in kernels)
        if runs > 1:
            case.broken(f"order {number} ran {runs} times; the repeat was {kind}")


run_case(Path(__file__).parent, play)
