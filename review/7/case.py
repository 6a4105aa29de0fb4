"""A repeat of an order that has run is refused while the tile server is replaced, and runs a second time elsewhere.

A client proxy waits for a while, gives up a try with `abort` and sends a further try with the same token to the same
tile server. After a refusal it goes on to the next tile server of its list.
"""

from __future__ import annotations

import os
import threading
import time
from dataclasses import dataclass

from myrtlespar.fakes.thrift_client import ThriftClient
from review.second.harness import (
    BROKEN,
    HELD,
    CannotRunError,
    Record,
    Server,
    Site,
    athlone_settings,
    main,
    port_of,
    trouble,
)

PATIENCE_S = 0.3  # how long the client proxy waits for the first try of an order
ORDERS = 3
RENDERS = 2  # other requests that the tile server still owes an answer


@dataclass(slots=True)
class Order:
    """One order: its token, body, and how its second try was answered."""

    token: str
    body: bytes
    sequence_number: int = 0
    first: str = ""
    second: str = ""
    third: str = ""


def send(client: ThriftClient, record: Record, order: Order, again: bool) -> int:
    """Send a try of an order."""
    fields = {"token": order.token, **({"again": "1"} if again else {})}
    number = client.send("order", order.body, **fields)
    record.add(f"client proxy: sent {order.token[:8]} {order.body.decode()} {'again ' if again else ''}")
    return number


def try_again(server: Server, record: Record, order: Order) -> str:
    """Send a further try to a server and return the kind of its answer."""
    client = ThriftClient(port_of(server.listen))
    kind = client.answer(send(client, record, order, again=True))[0]
    record.add(f"{server.name}: answered the further try of {order.token[:8]} with {kind}")
    client.sock.close()
    return kind


def case(site: Site) -> int:
    """Play the case."""
    record = site.record
    settings = athlone_settings("guarded")
    first, second = site.server("n1", settings), site.server("n2", settings)
    first.start()
    second.start()
    terminate = first.begin_replacement() if trouble() else lambda: None
    # The old process is the one that serves: the connections of the client proxy were opened before the replacement.
    client = connect_to_first_process(first)
    renders = [client.send("render", b"ms=1800 number=%d" % number) for number in range(RENDERS)]
    record.add(f"client proxy: sent {RENDERS} renders")
    orders = [Order(os.urandom(16).hex(), b"ms=900 order=%d" % number) for number in range(ORDERS)]
    for order in orders:
        order.sequence_number = send(client, record, order, again=False)
    time.sleep(0.1)
    terminate()
    time.sleep(PATIENCE_S - 0.1)
    give_up(client, record, orders)
    threads = [threading.Thread(target=follow_up, args=(first, second, record, order)) for order in orders]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(20)
    for number in renders:
        record.add(f"n1: answered a render with {client.answer(number)[0]}")
    return judge(record, first, second, orders)


def connect_to_first_process(server: Server) -> ThriftClient:
    """Return a connection that the first process of a server accepted."""
    for _ in range(200):
        client = ThriftClient(port_of(server.listen))
        body = b"ms=1 probe=%s" % os.urandom(4).hex().encode()
        client.ask("fetch", body)
        if server.engines[0].starts_by_body[body]:
            return client
        client.sock.close()
    raise CannotRunError("no connection reached the first process")


def give_up(client: ThriftClient, record: Record, orders: list[Order]) -> None:
    """Give up the first tries that are not answered."""
    for order in orders:
        answer = client.answers.get(order.sequence_number)
        order.first = answer[0] if answer else ""
        if not answer:
            client.send_message("abort", seqid=order.sequence_number)
            record.add(f"client proxy: gave up the first try of {order.token[:8]}")
        else:
            record.add(f"n1: answered the first try of {order.token[:8]} with {order.first}")


def follow_up(first: Server, second: Server, record: Record, order: Order) -> None:
    """Try again at the same server, and after a refusal at the next one."""
    if order.first:
        return
    order.second = try_again(first, record, order)
    if order.second == "refused":
        order.third = try_again(second, record, order)


def judge(record: Record, first: Server, second: Server, orders: list[Order]) -> int:
    """Return whether an order was refused after it had run."""
    broken = 0
    for order in orders:
        here = sum(engine.starts_by_body[order.body] for engine in first.engines)
        there = second.engines[0].starts_by_body[order.body]
        record.add(f"order {order.token[:8]}: runs at n1 {here}, at n2 {there}, second try {order.second or 'none'}")
        broken += here > 0 and order.second == "refused"
        broken += here > 1
    record.add(f"{broken} of {len(orders)} orders were refused by n1 after they had run there")
    return BROKEN if broken else HELD


if __name__ == "__main__":
    main(__file__, case)
