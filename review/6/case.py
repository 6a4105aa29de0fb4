"""A guarded order over AJP whose connection breaks is run a second time when its retry arrives over Thrift.

Both tries carry the same key, in the header and in the field that the operator's file names, and the same body. The
retry carries it as the platform's token too.
"""

from __future__ import annotations

import os
import time
from dataclasses import dataclass

from myrtlespar.fakes.ajp_peers import FakeGateway
from myrtlespar.fakes.thrift_client import ThriftClient
from review.second.harness import (
    BROKEN,
    HELD,
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
RUN_MS = 600
ORDERS = 3
OPERATOR = """
[idempotency]
ajp_header = "Idempotency-Key"
thrift_field = "idem"
remember_ms = 60000

[ajp]
listen = "{listen}"
secret = "{secret}"

[[ajp.map]]
path = "/orders"
class = "order"
worth = 0.8
memory_kb = 16
"""


@dataclass(frozen=True, slots=True)
class Order:
    """One order: its key and its body."""

    key: str
    body: bytes


def place_over_ajp(port: int, record: Record, server: Server, order: Order) -> FakeGateway:
    """Send an order through a gateway, and wait until the kernel runs it."""
    gateway = FakeGateway(port, SECRET)
    gateway.forward("/orders/new", order.body, Idempotency_Key=order.key)
    record.add(f"gateway: sent {order.body.decode()}, Idempotency-Key {order.key[:8]}")
    wait_for(lambda: runs_of(server, order), "the run of the order", 5)
    return gateway


def retry_over_thrift(record: Record, server: Server, order: Order) -> None:
    """Send the same order through a client proxy, as a further try."""
    client = ThriftClient(port_of(server.listen))
    number = client.send("order", order.body, again="1", idem=order.key, token=order.key)
    record.add(f"client proxy: sent {order.body.decode()} again, idem and token {order.key[:8]}")
    record.add(f"n1: answered the retry of {order.key[:8]} with {client.answer(number)[0]}")
    client.sock.close()


def runs_of(server: Server, order: Order) -> int:
    """Return how often the kernel was told to run an order."""
    return sum(engine.starts_by_body[order.body] for engine in server.engines)


def case(site: Site) -> int:
    """Play the case."""
    record = site.record
    listen = free_address()
    operator = OPERATOR.format(listen=listen, secret=SECRET)
    server = site.server("n1", athlone_settings("guarded"), operator=operator)
    server.start()
    orders = [Order(os.urandom(16).hex(), b"ms=%d order=%d" % (RUN_MS, number)) for number in range(ORDERS)]
    for order in orders:
        gateway = place_over_ajp(port_of(listen), record, server, order)
        if trouble():
            gateway.sock.close()
            record.add(f"gateway: its connection broke during the run of {order.key[:8]}")
            retry_over_thrift(record, server, order)
        else:
            record.add(f"n1: answered the gateway with {gateway.answer()[0]}")
            gateway.sock.close()
    time.sleep(2 * RUN_MS / 1000.0)
    for order in orders:
        record.add(f"kernel: ran order {order.key[:8]} {runs_of(server, order)} times")
    return BROKEN if any(runs_of(server, order) > 1 for order in orders) else HELD


if __name__ == "__main__":
    main(__file__, case)
