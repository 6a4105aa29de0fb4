"""An order that its AJP server declined is told as done (200) by the process that replaces the one that ran it.

The gateway's connection breaks before the answer; its client repeats the order with the same Idempotency-Key.
"""

from __future__ import annotations

import os
import time
from dataclasses import dataclass

from myrtlespar.fakes.ajp_peers import FakeAjpServer, FakeGateway
from review.second.harness import (
    BROKEN,
    HELD,
    CannotRunError,
    Record,
    Server,
    Site,
    athlone_settings,
    free_address,
    main,
    port_of,
    trouble,
    wait_for,
)

SECRET = "s3"
STATUSES = ("409", "402", "200", "422")  # what the AJP server answers to the orders, one after the other
OPERATOR = """
[idempotency]
ajp_header = "Idempotency-Key"
thrift_field = "idem"

[ajp]
listen = "{listen}"
secret = "{secret}"

[[ajp.map]]
path = "/orders"
class = "order"
worth = 0.8
memory_kb = 16
to = "node1"

[[worker]]
name = "node1"
address = "{worker}"
"""


@dataclass(slots=True)
class Order:
    """One order: its key, the status that its run made, and the status that its repeat got."""

    key: str
    body: bytes
    made: int
    told: int = 0


def break_mid_answer(port: int, record: Record, worker: FakeAjpServer, order: Order) -> None:
    """Send an order and break the connection before the answer is read."""
    seen = len(worker.seen)
    gateway = FakeGateway(port, SECRET)
    gateway.forward("/orders/new", order.body, Idempotency_Key=order.key)
    record.add(f"gateway: sent {order.body.decode()} with key {order.key[:8]}")
    wait_for(lambda: len(worker.seen) > seen, "the run at the AJP server", 5)
    record.add(f"AJP server: ran {order.body.decode()}, answer {order.made}")
    gateway.sock.close()
    record.add("gateway: its connection broke before it read the answer")


def repeat(port: int, record: Record, order: Order) -> None:
    """Repeat an order until it is not refused, and record the status."""
    for _ in range(100):
        gateway = FakeGateway(port, SECRET)
        status, _, body, _ = gateway.ask("/orders/new", order.body, Idempotency_Key=order.key)
        gateway.sock.close()
        record.add(f"gateway: repeated key {order.key[:8]}, answer {status} {body.decode('latin-1')!r}")
        if status != 503:
            order.told = status
            return
        time.sleep(0.2)
    raise CannotRunError("all repeats were refused")


def replace_process(server: Server) -> None:
    """Replace the process of a server and wait for the end of the old one."""
    old = server.process
    assert old is not None
    terminate = server.begin_replacement()
    terminate()
    wait_for(lambda: old.poll() is not None, "the end of the old process", 10)
    server.site.record.add(f"platform: the old process ended with status {old.returncode}")


def case(site: Site) -> int:
    """Play the case."""
    record = site.record
    worker = site.add(FakeAjpServer("node1"))
    listen = free_address()
    operator = OPERATOR.format(listen=listen, secret=SECRET, worker=worker.address)
    server = site.server("n1", athlone_settings(), operator=operator)
    server.start()
    orders = [Order(os.urandom(16).hex(), b"order %d" % n, int(status)) for n, status in enumerate(STATUSES)]
    for order in orders:
        worker.script.append(str(order.made))
        break_mid_answer(port_of(listen), record, worker, order)
    time.sleep(0.3)
    if trouble():
        replace_process(server)
    for order in orders:
        repeat(port_of(listen), record, order)
    runs = len(worker.seen)
    record.add(f"AJP server: {runs} runs of {len(orders)} orders")
    wrong = [order for order in orders if order.told < 500 and order.told != order.made]
    for order in wrong:
        record.add(f"key {order.key[:8]}: its run made {order.made}, its caller was told {order.told}")
    return BROKEN if wrong or runs > len(orders) else HELD


if __name__ == "__main__":
    main(__file__, case)
